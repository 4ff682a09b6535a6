package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/membership"
	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// New returns an entry that listens and renews its lease with control. It
// serves when Run is called and ends when ctx does.
func New(ctx context.Context, s Settings, log hclog.Logger) (*Role, error) {
	if problems := s.Check(); len(problems) > 0 {
		return nil, fault.New(fault.BadSettings, "entry: %s", strings.Join(problems, "; "))
	}
	token, err := auth.Load(s.TokenFile)
	if err != nil {
		return nil, err
	}
	return newRole(ctx, s, log, networkDependencies(token, log))
}

// networkDependencies returns dependencies that reach other processes over the
// network.
func networkDependencies(token auth.Token, log hclog.Logger) dependencies {
	control := &http.Client{Transport: auth.Client{Token: token, Base: controlTransport()}}
	return dependencies{
		transport: auth.Client{Token: token, Base: NewTransport()},
		now:       time.Now,
		connect: func(ctx context.Context, region string, addresses []string, node *peer.Node, scope tally.Scope) (peer.Control, Session) {
			api := controlapi.New(addresses, control)
			return api, membership.New(ctx, membership.Config{
				Node: node, Control: api, Now: time.Now, Log: log.Named("membership").With("region", region),
				Scope: scope.Tagged(map[string]string{"region": region}),
			})
		},
	}
}

// controlTransport returns a transport that reuses connections to control: all
// of its calls may be sent twice, and the ledger's answers name the attempt or
// key that they are about.
func controlTransport() *http1.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return http1.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	})
}
