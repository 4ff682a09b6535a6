package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// fakeControl answers renewals as its fields specify.
type fakeControl struct {
	peer.Control
	mu       sync.Mutex
	revision uint64
	intent   string
	delay    time.Duration // before the answer
	err      error
	hang     bool // no answer is sent
	// checked delays the first answer until it is closed; nil delays none.
	checked  chan struct{}
	renewals []*peer.RenewRequest
}

const drainedIntent = "region = \"maghreb\"\n[[failure_domain]]\nname = \"fes\"\nstate = \"drained\"\n"

func (f *fakeControl) Renew(ctx context.Context, req *peer.RenewRequest) (*peer.RenewResponse, error) {
	f.mu.Lock()
	f.renewals = append(f.renewals, req)
	res := &peer.RenewResponse{LeaseMs: 3000, Revision: f.revision}
	if req.RunningRevision < f.revision {
		res.Config = &peer.NodeConfig{Revision: f.revision, Intent: []byte(f.intent)}
	}
	delay, hang, err, checked := f.delay, f.hang, f.err, f.checked
	f.mu.Unlock()
	if checked != nil {
		<-checked
	}
	if hang {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "silent")
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "slow")
	}
	return res, err
}

func (f *fakeControl) set(change func(*fakeControl)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// clock is the node's clock, which a test can advance, as a freeze does.
type clock struct {
	mu    sync.Mutex
	ahead time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.ahead)
}

// run starts a session in a synctest bubble, where time is simulated, waits for
// the first renewal and calls check.
func run(t *testing.T, f *fakeControl, check func(t *testing.T, s *Session, c *clock)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := &clock{}
		checked := make(chan struct{})
		f.set(func(f *fakeControl) { f.checked = checked })
		s := New(ctx, Config{
			Node: &peer.Node{Id: "n"}, Control: f, Now: c.now, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		})
		if err := s.CheckLease(); !fault.Is(err, fault.NoLease) {
			t.Fatalf("lease before the first renewal: %v", err)
		}
		close(checked)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		check(t, s, c)
		cancel()
		<-s.Done()
	})
}

// TestLeaseEnds guards against a node that works without contact to control: the
// lease must end 3 s after the last answered renewal was sent, however late the
// answer arrived.
func TestLeaseEnds(t *testing.T) {
	f := &fakeControl{delay: 60 * time.Millisecond}
	run(t, f, func(t *testing.T, s *Session, _ *clock) {
		if err := s.CheckLease(); err != nil {
			t.Fatal(err)
		}
		f.set(func(f *fakeControl) { f.hang = true })
		time.Sleep(2890 * time.Millisecond)
		if err := s.CheckLease(); err != nil {
			t.Fatalf("2.99 s after the first renewal was sent: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
		if err := s.CheckLease(); !fault.Is(err, fault.NoLease) {
			t.Fatalf("3.01 s after the last renewal was sent: %v", err)
		}
		f.set(func(f *fakeControl) { f.hang = false })
		time.Sleep(2 * time.Second)
		if err := s.CheckLease(); err != nil {
			t.Fatalf("control answers again: %v", err)
		}
	})
}

// TestFreeze guards against a process that accepts work right after a freeze, with
// the lease that it held before.
func TestFreeze(t *testing.T) {
	run(t, &fakeControl{}, func(t *testing.T, s *Session, c *clock) {
		c.mu.Lock()
		c.ahead = 10 * time.Second
		c.mu.Unlock()
		if err := s.CheckLease(); !fault.Is(err, fault.NoLease) {
			t.Fatalf("after a freeze of 10 s: %v", err)
		}
		time.Sleep(RenewInterval)
		synctest.Wait()
		if err := s.CheckLease(); err != nil {
			t.Fatalf("after the next renewal: %v", err)
		}
	})
}

// TestRevisions guards against a node that returns to a lower revision, and
// against a lease for a revision that the node could not adopt.
func TestRevisions(t *testing.T) {
	f := &fakeControl{revision: 3, intent: drainedIntent}
	run(t, f, func(t *testing.T, s *Session, c *clock) {
		steps := []struct {
			name     string
			change   func(*fakeControl)
			running  uint64
			hasLease bool
		}{
			{"adopts", func(*fakeControl) {}, 3, true},
			{"lower revision", func(f *fakeControl) { f.revision = 2 }, 3, false},
			{"higher revision that cannot be read", func(f *fakeControl) { f.revision, f.intent = 4, "region = 1" }, 3, false},
			{"higher revision", func(f *fakeControl) { f.intent = drainedIntent }, 4, true},
		}
		for _, step := range steps {
			f.set(step.change)
			time.Sleep(4 * time.Second) // longer than the previous lease
			synctest.Wait()
			if v := s.View(); v.Revision != step.running || (v.LeaseErr == nil) != step.hasLease {
				t.Errorf("%s: revision %d, lease %v", step.name, v.Revision, v.LeaseErr)
			}
		}
		if in := s.Intent(); !in.IsDrained("fes", "b") {
			t.Error("the drain is not in the intent")
		}
	})
}

// TestRenewSoon guards against a change of the report that waits for the next
// interval, and against a caller that makes the session renew without pause.
func TestRenewSoon(t *testing.T) {
	f := &fakeControl{}
	run(t, f, func(t *testing.T, s *Session, _ *clock) {
		count := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.renewals)
		}
		before := count()
		s.RenewSoon()
		time.Sleep(minInterval)
		synctest.Wait()
		if got := count() - before; got != 1 {
			t.Errorf("%d renewals right after RenewSoon, want 1", got)
		}
		before = count()
		for range 100 {
			s.RenewSoon()
			time.Sleep(10 * time.Millisecond)
		}
		if got := count() - before; got < 10 || got > 21 {
			t.Errorf("%d renewals in a second of calls to RenewSoon", got)
		}
	})
}
