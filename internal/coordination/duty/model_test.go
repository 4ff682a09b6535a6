package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
)

// Times of the model, which are those of the sites.
const (
	modelHosts  = 3
	modelLease  = 3 * time.Second
	modelAction = time.Second
)

// model is a log, hosts that follow it, and the platform. Times are true times unless
// they are said to be a host's.
type model struct {
	t *rapid.T
	// random draws the actions. The integers of rapid are small more often than not,
	// with which the holder hardly ever changes.
	random *rand.Rand

	now   time.Duration
	index uint64
	state *registry.Registry
	hosts []*modelHost
	// log holds the record after each committed command.
	log    []*registry.DutyRecord
	leader *modelHost
	// pending are commands that were proposed and are neither committed nor lost.
	pending []*modelProposal
	calls   []modelCall // under way

	// What the platform has seen.
	highest  uint64
	holders  map[uint64]string
	accepted map[uint64]uint64
	turns    []modelTurn // the last call of each turn
	arrivals int
}

type modelTurn struct {
	host string
	at   time.Duration
}

type modelHost struct {
	name   string
	holder *Holder
	// believes is set while the host takes itself for the leader.
	believes bool
	view     int // number of commands that it has applied
	// rate and offset are those of its clock.
	rate        float64
	offset      time.Duration
	frozen      bool
	interrupted time.Duration // on its clock
	restarts    int
}

type modelProposal struct {
	host      *modelHost
	restarts  int
	proposed  time.Duration // on the host's clock
	command   []byte
	committed bool
	applied   bool
}

type modelCall struct {
	host           string
	token          uint64
	window, count  uint64
	arrives, wrote time.Duration
}

func (m *model) clock(h *modelHost) time.Duration {
	return h.offset + time.Duration(float64(m.now)*h.rate)
}

func newModel(t *rapid.T, seed, run uint64) *model {
	m := &model{t: t, random: rand.New(rand.NewPCG(seed, run)), state: registry.New(), holders: map[uint64]string{}, accepted: map[uint64]uint64{}, log: []*registry.DutyRecord{nil}}
	for i := range modelHosts {
		h := &modelHost{
			name: fmt.Sprintf("host-%d", i), interrupted: -1,
			rate:   sample(m, 0.99, 1, 1.01),
			offset: time.Duration(m.between(0, 100)) * time.Hour,
		}
		h.holder = New(h.name, Terms{Lease: modelLease, Action: modelAction})
		m.hosts = append(m.hosts, h)
	}
	return m
}

// between draws a number from low to high.
func (m *model) between(low, high int) int { return low + m.random.IntN(high-low+1) }

func sample[T any](m *model, values ...T) T { return values[m.random.IntN(len(values))] }

func (m *model) record(h *modelHost) *registry.DutyRecord { return m.log[h.view] }

func (m *model) observe(h *modelHost) {
	d := m.record(h)
	h.holder.Observe(m.clock(h), Record{Host: d.GetHost(), Token: d.GetToken(), Renewal: d.GetRenewal()})
}

// propose sends a command to the log. Its fate is drawn now or later; that of a host
// that was replaced as the leader is lost.
func (m *model) propose(h *modelHost, command []byte) {
	if h != m.leader {
		return
	}
	p := &modelProposal{host: h, restarts: h.restarts, proposed: m.clock(h), command: command}
	m.pending = append(m.pending, p)
	if m.between(0, 3) > 0 {
		m.commit(p)
		m.respond(p)
	}
}

func (m *model) commit(p *modelProposal) {
	if p.committed {
		return
	}
	p.committed = true
	m.index++
	applied, _, err := registry.DecodeDutyResult(m.state.Apply(m.index, p.command))
	if err != nil {
		m.t.Fatal(err)
	}
	p.applied = applied
	m.log = append(m.log, m.state.Duty())
}

// respond tells the host that its command was committed, unless it has restarted.
func (m *model) respond(p *modelProposal) {
	m.pending = slices.DeleteFunc(m.pending, func(q *modelProposal) bool { return q == p })
	h := p.host
	if !p.committed || h.frozen || h.restarts != p.restarts {
		return
	}
	h.view = len(m.log) - 1
	m.observe(h)
	if p.applied {
		d := m.record(h)
		h.holder.Renewed(m.clock(h), p.proposed, Record{Host: d.GetHost(), Token: d.GetToken(), Renewal: d.GetRenewal()})
	}
}

// step does what the reporter of a host does about the duty.
func (m *model) step(h *modelHost) {
	if !h.believes {
		return
	}
	m.observe(h)
	d := m.record(h)
	switch next := h.holder.Next(m.clock(h), false).(type) {
	case Grant:
		m.propose(h, registry.GrantDutyCommand(time.UnixMilli(0), h.name, next.Expected.Token, next.Expected.Renewal, 1))
	case Hold:
		if m.random.IntN(2) == 0 {
			window := d.GetFloor() + uint64(m.between(0, 3))
			count := m.random.Uint64N(10)
			m.propose(h, registry.CloseUsageCommand(time.UnixMilli(0), d.GetToken(), window, []*peer.AccountCount{{Account: "a", Count: count}}))
			return
		}
		m.propose(h, registry.RenewDutyCommand(time.UnixMilli(0), d.GetToken()))
	}
}

// act sends a report, as the reporter does immediately after its check.
func (m *model) act(h *modelHost) {
	m.observe(h)
	windows := m.record(h).GetWindows()
	if !h.believes || len(windows) == 0 || !h.holder.MayAct(m.clock(h), h.interrupted) {
		return
	}
	w := windows[m.between(0, len(windows)-1)]
	m.calls = append(m.calls, modelCall{
		host: h.name, token: h.holder.Record().Token, window: w.Window, count: w.Counts[0].Count, wrote: m.now,
		arrives: m.now + sample(m, 0, modelAction/2, modelAction),
	})
}

// untilEdge returns the time until just before the end of the last moment at which a
// host may act, or until the leader need not wait any longer.
func (m *model) untilEdge() time.Duration {
	h := m.hosts[m.between(0, modelHosts-1)]
	edge := h.holder.renewed + scale(modelLease, 1-clockMargin) - modelAction - time.Millisecond
	if wait, ok := h.holder.Next(m.clock(h), false).(Wait); ok {
		edge = wait.Until + time.Millisecond
	}
	left := time.Duration(float64(edge-m.clock(h)) / h.rate)
	if left < 0 || left > 2*modelLease {
		return time.Millisecond
	}
	return left
}

// advance lets time pass and delivers calls.
func (m *model) advance() {
	switch m.random.IntN(4) {
	case 0:
		m.now += m.untilEdge()
	default:
		m.now += sample[time.Duration](m, 1, 50, 300, 1000, 1900, 3100) * time.Millisecond
	}
	slices.SortStableFunc(m.calls, func(a, b modelCall) int { return int(a.arrives - b.arrives) })
	for len(m.calls) > 0 && m.calls[0].arrives <= m.now {
		m.arrive(m.calls[0])
		m.calls = m.calls[1:]
	}
}

func (m *model) arrive(c modelCall) {
	m.arrivals++
	if old, known := m.holders[c.token]; known && old != c.host {
		m.t.Fatalf("token %d was used by %s and %s", c.token, old, c.host)
	}
	m.holders[c.token] = c.host
	if c.token < m.highest {
		m.t.Fatalf("token %d arrived after token %d", c.token, m.highest)
	}
	m.highest = c.token
	if old, known := m.accepted[c.window]; known && old != c.count {
		m.t.Fatalf("window %d was accepted with %d and %d", c.window, old, c.count)
	}
	m.accepted[c.window] = c.count
	if n := len(m.turns); n > 0 && m.turns[n-1].host == c.host {
		m.turns[n-1].at = c.arrives
		return
	}
	if n := len(m.turns); n > 1 && m.turns[n-2].host == c.host && c.arrives-m.turns[n-2].at < modelLease {
		m.t.Fatalf("%s, %s, %s within %s", c.host, m.turns[n-1].host, c.host, c.arrives-m.turns[n-2].at)
	}
	m.turns = append(m.turns, modelTurn{host: c.host, at: c.arrives})
}

// modelRuns is the number of runs of the model for each seed, and modelSteps that of
// actions of a run. With fewer, some rules can be removed without a failure.
const (
	modelRuns  = 50
	modelSteps = 1000
)

// modelActions are the actions of the model, those that bring it on more than once.
var modelActions = slices.Concat(
	slices.Repeat([]string{"advance", "act"}, 8), slices.Repeat([]string{"step"}, 12), slices.Repeat([]string{"elect", "follow", "thaw"}, 3),
	[]string{"depose", "commit", "respond", "lose", "freeze", "lose the disk"},
)

// do does one action, or nothing if it is not possible now.
func (m *model) do(action string) {
	h := m.hosts[m.between(0, modelHosts-1)]
	var pending *modelProposal
	if len(m.pending) > 0 {
		pending = m.pending[m.between(0, len(m.pending)-1)]
	}
	switch {
	case action == "advance":
		m.advance()
	case action == "thaw" && h.frozen:
		h.frozen, h.interrupted = false, m.clock(h)
	case action == "commit" && pending != nil:
		m.commit(pending)
	case action == "respond" && pending != nil:
		m.respond(pending)
	case action == "lose" && pending != nil:
		m.pending = slices.DeleteFunc(m.pending, func(q *modelProposal) bool { return q == pending })
	case h.frozen:
	case action == "step":
		m.step(h)
	case action == "act":
		m.act(h)
	case action == "elect":
		// The earlier leader may take itself for the leader for as long as it likes.
		for _, p := range m.pending {
			if m.random.IntN(2) == 0 {
				m.commit(p) // the new leader had received it
			}
		}
		m.pending = slices.DeleteFunc(m.pending, func(p *modelProposal) bool { return !p.committed })
		// It has all that was committed, but may not have applied it yet.
		m.leader, h.believes, h.view = h, true, m.between(h.view, len(m.log)-1)
		m.observe(h)
		h.holder.BeginLeading(m.clock(h))
	case action == "depose":
		h.believes = false
	case action == "follow" && m.random.IntN(2) == 0:
		for _, other := range m.hosts {
			if !other.frozen {
				other.view = len(m.log) - 1
				m.observe(other)
			}
		}
	case action == "follow":
		h.view = m.between(h.view, len(m.log)-1)
		m.observe(h)
	case action == "freeze":
		h.frozen = true
	case action == "lose the disk":
		h.restarts++
		h.holder = New(h.name, Terms{Lease: modelLease, Action: modelAction})
		h.believes, h.view, h.interrupted = false, 0, -1
	}
}

// TestHolders guards against two holders at a time, a token that two hosts use or that
// falls, holders that alternate within a lease, and reports of a window with different
// counts: with late, lost and unanswered proposals, leaders that do not know that they
// were replaced, clocks that differ, and hosts that freeze or lose what they know.
func TestHolders(t *testing.T) {
	arrivals, changes, returns := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for run := range uint64(modelRuns) {
			m := newModel(t, seed, run)
			for range modelSteps {
				m.do(sample(m, modelActions...))
			}
			arrivals += m.arrivals
			changes += max(0, len(m.turns)-1)
			for i := range m.turns {
				if i > 1 && m.turns[i].host == m.turns[i-2].host {
					returns++
				}
			}
		}
	})
	t.Logf("%d calls arrived, the holder changed %d times, %d times to the one before", arrivals, changes, returns)
	if arrivals == 0 || changes == 0 {
		t.Error("the model made no calls, or its holder never changed")
	}
}
