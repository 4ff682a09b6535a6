package membership

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// TestSameClientAccounts guards against an entry that loses its client accounts,
// or keeps outdated ones, when control omits them from a configuration.
func TestSameClientAccounts(t *testing.T) {
	in, err := intent.Parse([]byte(drainedIntent))
	if err != nil {
		t.Fatal(err)
	}
	complete := in
	complete.ClientAccounts = []intent.ClientAccount{{Name: "a", KeySHA256: "00"}}
	tests := map[string]struct {
		digest   string
		want     fault.Kind
		accounts int
	}{
		"the node's own": {"one", 0, 1},
		"other accounts": {"two", fault.Conflict, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Session{cfg: Config{Now: time.Now, Log: hclog.NewNullLogger(), Scope: tally.NoopScope},
				revision: 1, intent: complete, accountsDigest: []byte("one")}
			if got := string(s.renewRequest().ClientAccountsDigest); got != "one" {
				t.Errorf("the renewal has digest %q, want one", got)
			}
			err := s.accept(time.Now(), &peer.RenewResponse{LeaseMs: 3000, Revision: 2, Config: &peer.NodeConfig{
				Revision: 2, Intent: []byte(drainedIntent), ClientAccountsDigest: []byte(test.digest), SameClientAccounts: true,
			}})
			if (err != nil) != (test.want != 0) || err != nil && !fault.Is(err, test.want) {
				t.Errorf("got %v", err)
			}
			if got := len(s.Intent().ClientAccounts); got != test.accounts {
				t.Errorf("%d client accounts, want %d", got, test.accounts)
			}
		})
	}
}
