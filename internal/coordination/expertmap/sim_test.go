package expertmap

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// sim runs one group with its agents, backend servers and control leaders in
// virtual time. It loses, delays, repeats and reorders messages as net specifies.
type sim struct {
	rng            *rand.Rand
	now            time.Time
	queue          events
	count          uint64 // events run
	onEvent        func(n uint64)
	cfg            Config
	net            network
	maxCommitDelay time.Duration // longest time from a proposal to the log
	stageTime      time.Duration
	stepTime       time.Duration

	rec     Record
	leader  *leader // nil during an election
	hosts   []*host
	ranks   int
	history map[uint64]uint64 // step to map version
	// stepLost: all ranks have restarted and none has the step of the group.
	stepLost    bool
	firstExpert map[uint64]uint32 // map version to the first expert of rank 0
	violations  []string          // of the protocol
	ended       map[Reason]int
	longestHold time.Duration // longest wait of a next step for a decision
}

// network holds the delays and faults of messages between processes.
type network struct {
	delay, jitter time.Duration
	loss, repeat  float64
}

type leader struct{ c *Coordinator }

// host is an agent with one backend server.
type host struct {
	id               int
	ranks            []uint32
	unchecked        bool
	engine           backend // nil while stopped
	incarnation      uint64
	finished         uint64
	running          bool
	stalledUntil     time.Time
	follower         *Follower // nil while the agent is stopped
	partitionedUntil time.Time
	holdSince        time.Time
}

// backend holds the methods of an Engine that the simulation uses.
type backend interface {
	HandleOrder(*peer.GroupOrder) Answer
	MayStart(step uint64) (uint64, bool)
	Start(step uint64)
	Step() uint64
	MapVersion() uint64
	Join(step uint64)
	NewestSwitchStep() uint64
	Holding() bool
	Promised() (version, switchStep uint64)
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type events struct {
	list []event
	seq  uint64
}

func (q *events) Len() int { return len(q.list) }
func (q *events) Less(i, j int) bool {
	if !q.list[i].at.Equal(q.list[j].at) {
		return q.list[i].at.Before(q.list[j].at)
	}
	return q.list[i].seq < q.list[j].seq
}
func (q *events) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *events) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *events) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

const (
	renewEvery    = 500 * time.Millisecond
	announceEvery = time.Second
	tickEvery     = 100 * time.Millisecond
)

func newSim(seed uint64, ranks, perHost int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), cfg: DefaultConfig(),
		net:       network{delay: 500 * time.Microsecond},
		stageTime: 300 * time.Millisecond, stepTime: 20 * time.Millisecond,
		rec: Record{Group: "g"}, ranks: ranks, history: map[uint64]uint64{}, firstExpert: map[uint64]uint32{}, ended: map[Reason]int{},
	}
	s.cfg.StageTimeout = 5 * time.Second
	for first := 0; first < ranks; first += perHost {
		h := &host{id: len(s.hosts)}
		for r := first; r < min(first+perHost, ranks); r++ {
			h.ranks = append(h.ranks, uint32(r))
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.startEngine(h)
		s.startAgent(h)
	}
	s.elect()
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.queue.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.queue.seq, run: run})
}

// runFor runs the events of the next d.
func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for s.queue.Len() > 0 && !s.queue.list[0].at.After(end) && len(s.violations) == 0 {
		ev := heap.Pop(&s.queue).(event)
		s.now = ev.at
		ev.run()
		s.count++
		if s.onEvent != nil {
			s.onEvent(s.count)
		}
	}
	s.now = end
}

// send delivers a message with the delays and faults of the network.
func (s *sim) send(deliver func()) {
	n := 1
	if s.rng.Float64() < s.net.repeat {
		n = 2
	}
	for range n {
		if s.rng.Float64() < s.net.loss {
			continue
		}
		s.after(s.net.delay+time.Duration(s.rng.Int64N(int64(s.net.jitter)+1)), deliver)
	}
}

func (s *sim) placement(shift int) []*peer.RankPlacement {
	var p []*peer.RankPlacement
	for r := range s.ranks {
		p = append(p, &peer.RankPlacement{Rank: uint32(r), Experts: []uint32{uint32(r + shift)}})
	}
	return p
}

// elect creates a new leader from the committed record alone.
func (s *sim) elect() {
	l := &leader{c: New(s.cfg, []Record{s.rec})}
	s.leader = l
	var tick func()
	tick = func() {
		if s.leader != l {
			return
		}
		s.handleEffects(l, l.c.Step(s.now, Tick{}))
		s.after(tickEvery, tick)
	}
	tick()
}

func (s *sim) depose(election time.Duration) {
	s.leader = nil
	s.after(election, func() {
		if s.leader == nil {
			s.elect()
		}
	})
}

func (s *sim) propose(shift int) {
	if l := s.leader; l != nil {
		s.handleEffects(l, l.c.Step(s.now, Proposed{Group: "g", Placement: s.placement(shift)}))
	}
}

// handleEffects carries out a leader's effects. A proposal may reach the log at
// any later time, even after its leader is deposed, or never.
func (s *sim) handleEffects(l *leader, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Decide:
			wait := time.Duration(s.rng.Int64N(int64(s.maxCommitDelay) + 1))
			s.after(wait, func() { s.send(func() { s.apply(e.Decision) }) })
		case Finished:
			s.ended[e.Reason]++
		}
	}
}

func (s *sim) apply(d Decision) {
	s.rec, _ = s.rec.Apply(d)
	if l := s.leader; l != nil {
		s.handleEffects(l, l.c.Step(s.now, Applied{Record: s.rec}))
	}
}

func (s *sim) startAgent(h *host) {
	f := NewFollower("g", h.ranks)
	h.follower = f
	var renew func()
	renew = func() {
		if h.follower != f {
			return
		}
		s.renew(h, f)
		s.after(renewEvery, renew)
	}
	s.after(time.Duration(s.rng.Int64N(int64(renewEvery))), renew)
}

// renew sends one renewal: report, confirmation of leadership, orders. The
// orders are made after the confirmation, even if the leader is deposed
// between the two.
func (s *sim) renew(h *host, f *Follower) {
	ack := f.Ack()
	if ack == nil || s.now.Before(h.partitionedUntil) {
		return
	}
	server := &peer.BackendServer{Group: "g", Ranks: h.ranks, Incarnation: ack.Incarnation}
	s.send(func() {
		l := s.leader
		if l == nil {
			return
		}
		s.handleEffects(l, l.c.Step(s.now, Reported{Acks: []*peer.GroupAck{ack}}))
		s.send(func() {
			if s.leader != l {
				return // not confirmed
			}
			s.send(func() { s.reply(h, f, l, server) })
		})
	})
}

func (s *sim) reply(h *host, f *Follower, l *leader, server *peer.BackendServer) {
	orders := l.c.Orders([]*peer.BackendServer{server})
	fencing := l.c.Record("g").Fencing
	s.send(func() {
		if h.follower != f || s.now.Before(h.partitionedUntil) {
			return
		}
		s.handleActions(h, f, f.Step(FencingUpdated{Fencing: fencing}))
		for _, o := range orders {
			s.handleActions(h, f, f.Step(OrderReceived{Order: o}))
		}
	})
}

func (s *sim) handleActions(h *host, f *Follower, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Forward:
			s.forward(h, f, a.Order)
		case RenewSoon:
			s.after(time.Millisecond, func() {
				if h.follower == f {
					s.renew(h, f)
				}
			})
		case Drop:
			if a.Reason == MissedSwitch {
				s.violations = append(s.violations, fmt.Sprintf("host %d missed its switch step", h.id))
			}
		}
	}
}

// forward calls the backend server that is at the address when the call
// arrives, which may be a later incarnation. The answer may be lost.
func (s *sim) forward(h *host, f *Follower, o *peer.GroupOrder) {
	work := time.Duration(0)
	if len(o.Placement) > 0 {
		work = s.stageTime
	}
	s.after(s.net.delay+work, func() {
		lost := h.engine == nil || s.rng.Float64() < s.net.loss
		var answer Answer
		if h.engine != nil {
			answer = h.engine.HandleOrder(o)
			s.tryStart()
		}
		s.after(s.net.delay, func() {
			switch {
			case h.follower != f:
			case lost:
				s.handleActions(h, f, f.Step(Unanswered{Order: o}))
			default:
				s.handleActions(h, f, f.Step(Answered{Order: o, Answer: answer}))
			}
		})
	})
}

// startEngine starts a new incarnation. It joins at the step that its group
// has finished last.
func (s *sim) startEngine(h *host) {
	h.incarnation = s.rng.Uint64()
	var e backend = &Engine{Incarnation: h.incarnation, ChecksFencing: s.rng.IntN(2) == 0}
	if h.unchecked {
		e = &uncheckedEngine{incarnation: h.incarnation}
	}
	h.engine, h.running = e, false
	group := s.finishedByAll()
	h.finished = group
	e.Join(group)
	var announce func()
	announce = func() {
		if h.engine != e {
			return
		}
		if f := h.follower; f != nil {
			version, at := e.Promised()
			s.handleActions(h, f, f.Step(Announced{
				Incarnation: h.incarnation, Step: e.Step(), MapVersion: e.MapVersion(),
				PromisedVersion: version, PromisedStep: at, StepUs: uint32(s.stepTime / time.Microsecond),
			}))
		}
		s.after(announceEvery, announce)
	}
	s.after(time.Duration(s.rng.Int64N(int64(announceEvery))), announce)
}

func (s *sim) finishedByAll() uint64 {
	least := s.hosts[0].finished
	for _, h := range s.hosts {
		least = min(least, h.finished)
	}
	return least
}

// tryStart starts the next step wherever all ranks have finished the one
// before it. Every start is checked against the history.
func (s *sim) tryStart() {
	if s.stepLost && !s.resume() {
		return
	}
	done := s.finishedByAll()
	for _, h := range s.hosts {
		if h.engine == nil || h.running || h.finished != done || s.now.Before(h.stalledUntil) {
			continue
		}
		step := done + 1
		version, ok := h.engine.MayStart(step)
		if !ok {
			if h.holdSince.IsZero() && h.engine.Holding() && h.engine.MapVersion() != 0 {
				h.holdSince = s.now
			}
			continue
		}
		if !h.holdSince.IsZero() {
			s.longestHold = max(s.longestHold, s.now.Sub(h.holdSince))
			h.holdSince = time.Time{}
		}
		s.checkStep(h, step, version)
		h.engine.Start(step)
		s.checkPlacement(h)
		h.running = true
		e := h.engine
		s.after(s.stepTime, func() {
			if h.engine == e {
				h.running, h.finished = false, step
				s.tryStart()
			}
		})
	}
}

// resume continues a group whose ranks have all restarted at the greatest switch
// step that they have received, once each of them has a map.
func (s *sim) resume() bool {
	newest := uint64(0)
	for _, h := range s.hosts {
		if h.engine == nil || h.engine.NewestSwitchStep() == 0 {
			return false
		}
		newest = max(newest, h.engine.NewestSwitchStep())
	}
	for _, h := range s.hosts {
		h.finished = newest - 1
		h.engine.Join(newest - 1)
	}
	s.stepLost = false
	return true
}

func (s *sim) checkStep(h *host, step, version uint64) {
	if v, ok := s.history[step]; ok && v != version {
		s.violations = append(s.violations, fmt.Sprintf("step %d: host %d uses map %d, another host map %d", step, h.id, version, v))
	}
	s.history[step] = version
}

// checkPlacement asserts that each version has one placement only.
func (s *sim) checkPlacement(h *host) {
	e, ok := h.engine.(*Engine)
	if !ok {
		return
	}
	first := e.current.Placement[0].Experts[0]
	if p, ok := s.firstExpert[e.current.Version]; ok && p != first {
		s.violations = append(s.violations, fmt.Sprintf("host %d uses another placement than an earlier one for map %d", h.id, e.current.Version))
	}
	s.firstExpert[e.current.Version] = first
}
