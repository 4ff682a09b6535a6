package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxBackends bounds the backend servers of one host.
const maxBackends = 256

// backends is the set of backend servers that have announced themselves.
type backends struct {
	now func() time.Time

	mu     sync.Mutex
	byName map[string]*backend
	// stop holds the functions that end the goroutines of the backend servers.
	stop map[string]context.CancelFunc
}

func newBackends(now func() time.Time) *backends {
	return &backends{now: now, byName: map[string]*backend{}, stop: map[string]context.CancelFunc{}}
}

func (s *backends) get(name string) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// all returns the backend servers sorted by name.
func (s *backends) all() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*backend, 0, len(s.byName))
	for _, b := range s.byName {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *backend) int { return strings.Compare(a.name, b.name) })
	return out
}

// add returns the backend server of a name, and starts run in a goroutine for a
// new one. It returns nil if there are too many.
func (s *backends) add(ctx context.Context, name string, run func(context.Context, *backend)) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.byName[name]; b != nil {
		return b
	}
	if len(s.byName) >= maxBackends {
		return nil
	}
	b := newBackend(name, s.now)
	ctx, stop := context.WithCancel(ctx)
	s.byName[name], s.stop[name] = b, stop
	go run(ctx, b)
	return b
}

// tick advances the time of all backend servers and removes those that are past
// removeTimeout and hold no requests. It returns whether an announcement has
// expired since the last call.
func (s *backends) tick() bool {
	changed := false
	for _, b := range s.all() {
		expired, removable := b.tick()
		changed = changed || expired
		if removable {
			s.mu.Lock()
			s.stop[b.name]()
			delete(s.byName, b.name)
			delete(s.stop, b.name)
			s.mu.Unlock()
		}
	}
	return changed
}

// announce handles an announcement. Only processes of the same host may send
// one, since a backend server has no token.
func (r *Role) announce(c echo.Context) error {
	if !isSameHost(c.Request()) {
		r.countRefusal(fault.Forbidden)
		return writeFault(c, fault.New(fault.Forbidden, "announcements are accepted from the same host only"))
	}
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, engine.MaxAnnouncementBytes+1))
	if err != nil {
		return writeFault(c, fault.New(fault.BadRequest, "announcement cannot be read"))
	}
	a, err := engine.DecodeAnnouncement(data)
	if err != nil {
		r.scope.Counter("announcement_refusals").Inc(1)
		r.log.Warn("announcement refused", "error", err)
		return writeFault(c, err)
	}
	b := r.backends.add(r.serveCtx, a.Name, r.orders.run)
	if b == nil {
		return writeFault(c, fault.New(fault.Overloaded, "more than %d backend servers", maxBackends))
	}
	if b.announce(a) {
		r.log.Info("backend server changed", "name", a.Name, "incarnation", a.Incarnation, "temperature", a.Temperature, "leaving", a.Leaving)
		r.session.RenewSoon()
	}
	return c.NoContent(http.StatusNoContent)
}

func writeFault(c echo.Context, err error) error {
	e := fault.From(err)
	return c.JSON(e.Kind.Status(), e.Body(""))
}

// isSameHost reports whether a request comes from this host: from loopback, or
// from the address that it was sent to.
func isSameHost(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	remote := net.ParseIP(host)
	if remote.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ok && remote != nil && local.IP.Equal(remote)
}
