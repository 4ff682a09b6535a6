package runner

import (
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/admission"
	"oleanderrack.example/oleanderrack/internal/coordination/expertmap"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Timeouts of a backend server, from its last announcement.
const (
	// announcementTimeout is the time after which the announcement has expired
	// and the backend server counts as gone.
	announcementTimeout = 3 * time.Second
	// removeTimeout is the time after which its state is removed, if nothing is
	// in flight.
	removeTimeout = time.Minute
)

// slot is the share of a backend server that a request occupies, from its
// arrival until the backend server no longer holds it.
type slot struct {
	id      uint64
	backend *backend
	// admitted is closed when the request may be sent.
	admitted chan struct{}
	// refused receives the refusal of a request that waited for its slot.
	refused chan admission.Refuse
	// preempt is closed when the stream has to be cancelled and wait.
	preempt chan struct{}
}

// backend is the agent's state of one backend server.
type backend struct {
	name string
	now  func() time.Time

	mu          sync.Mutex
	info        engine.Announcement
	announcedAt time.Time
	expired     bool
	adm         *admission.Controller
	slots       map[uint64]*slot
	lastID      uint64
	// follower is set for a backend server with ranks of a group.
	follower *expertmap.Follower
	orders   chan engineOrder
	prompts  recentPrompts
	// loadOrderedAt is when an order to load was last queued.
	loadOrderedAt time.Time
}

func newBackend(name string, now func() time.Time) *backend {
	return &backend{name: name, now: now, adm: admission.New(), slots: map[uint64]*slot{}, orders: make(chan engineOrder, maxOrders)}
}

// step passes an input to the admission and applies the effects. The caller
// holds mu.
func (b *backend) step(in admission.Input) *admission.Refuse {
	var refusal *admission.Refuse
	for _, effect := range b.adm.Step(b.now(), in) {
		switch e := effect.(type) {
		case admission.Admit:
			close(b.slots[e.ID].admitted)
		case admission.Preempt:
			close(b.slots[e.ID].preempt)
		case admission.Refuse:
			sl := b.slots[e.ID]
			delete(b.slots, e.ID)
			sl.refused <- e
			refusal = &e
		}
	}
	return refusal
}

// arrive requests a slot. Without a.Wait it returns an admitted slot or a
// refusal.
func (b *backend) arrive(a admission.Arrive) (*slot, *admission.Refuse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	a.ID = b.lastID
	sl := &slot{
		id: a.ID, backend: b,
		admitted: make(chan struct{}), refused: make(chan admission.Refuse, 1), preempt: make(chan struct{}),
	}
	b.slots[a.ID] = sl
	refusal := b.step(a)
	if refusal != nil && refusal.ID == a.ID {
		return nil, refusal
	}
	return sl, nil
}

// progress passes an engine's statistics to the admission.
func (sl *slot) progress(stats engine.Stats) {
	sl.backend.mu.Lock()
	defer sl.backend.mu.Unlock()
	sl.backend.step(admission.Progress{
		ID: sl.id, PromptTokens: stats.PromptTokens, CachedTokens: stats.CachedTokens, Tokens: stats.Tokens, StepUS: stats.StepUS,
	})
}

// connectionFailed reports to the admission that a connection broke or could
// not be opened.
func (sl *slot) connectionFailed() {
	sl.backend.mu.Lock()
	defer sl.backend.mu.Unlock()
	sl.backend.step(admission.ConnectionFailed{})
}

// release frees the slot: the backend server no longer holds the request.
func (sl *slot) release(finished bool) { sl.end(admission.Release{ID: sl.id, Finished: finished}) }

// abandon keeps the capacity reserved until announcements show that the request
// has ended.
func (sl *slot) abandon() { sl.end(admission.Abandon{ID: sl.id}) }

// cancelWait ends the wait for a slot, and frees a slot that was admitted
// meanwhile.
func (sl *slot) cancelWait() {
	sl.backend.mu.Lock()
	defer sl.backend.mu.Unlock()
	sl.backend.step(admission.CancelWait{ID: sl.id})
	select {
	case <-sl.admitted:
		sl.backend.step(admission.Release{ID: sl.id})
	default:
	}
	delete(sl.backend.slots, sl.id)
}

func (sl *slot) end(in admission.Input) {
	sl.backend.mu.Lock()
	defer sl.backend.mu.Unlock()
	sl.backend.step(in)
	delete(sl.backend.slots, sl.id)
}

// announce applies an announcement. It returns whether the change should be
// reported to the entries soon.
func (b *backend) announce(a engine.Announcement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := admission.Limits{MaxConcurrent: a.MaxConcurrent, ColdConcurrent: a.ColdConcurrent, MinBytesPerToken: a.MinBytesPerToken}
	if a.Kind == engine.KindModel {
		limits.MemoryTokens = a.MemoryTokens
	}
	b.step(admission.Announce{
		Incarnation: a.Incarnation, Model: a.Model + "@" + a.Version, Limits: limits, Cold: a.Temperature == engine.TemperatureCold,
		Running: a.Load.Running, TokensHeld: a.Load.TokensHeld,
	})
	if b.adm.Incarnation() != a.Incarnation {
		return false
	}
	if a.Incarnation != b.info.Incarnation {
		b.prompts = recentPrompts{}
	}
	changed := b.announcedAt.IsZero() || b.expired || a.Incarnation != b.info.Incarnation ||
		a.Leaving != b.info.Leaving || a.Temperature != b.info.Temperature || a.Model != b.info.Model || a.Version != b.info.Version
	b.announceRanks(a)
	b.info, b.announcedAt, b.expired = a, b.now(), false
	return changed
}

// tick advances the time. It returns whether the announcement has expired since
// the last call, and whether the backend server's state can be removed.
func (b *backend) tick() (expired, removable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := b.now().Sub(b.announcedAt)
	if age > announcementTimeout && !b.expired {
		b.expired, expired = true, true
		b.step(admission.AnnouncementExpired{})
	}
	b.step(admission.Tick{})
	return expired, b.expired && age > removeTimeout && len(b.slots) == 0
}

// snapshot returns the newest announcement and whether the backend server is
// present.
func (b *backend) snapshot() (engine.Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.info, !b.expired && !b.announcedAt.IsZero()
}

// report returns the backend server as it is reported to the entries, unless its
// announcement has expired.
func (b *backend) report(window uint64, leaving bool) (*peer.BackendServer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired || b.announcedAt.IsZero() {
		return nil, false
	}
	temperature := peer.Temperature_TEMPERATURE_WARM
	if b.info.Temperature == engine.TemperatureCold {
		temperature = peer.Temperature_TEMPERATURE_COLD
	}
	return &peer.BackendServer{
		Name: b.info.Name, Incarnation: b.info.Incarnation, Service: b.info.Service,
		Model: b.info.Model, Version: b.info.Version, Adapters: b.info.Adapters,
		MemoryTokens: b.info.MemoryTokens, MaxConcurrent: b.info.MaxConcurrent, Temperature: temperature,
		ChecksFencing: b.info.ChecksFencing, Resumes: b.info.Resumes, Group: b.info.Group, Ranks: b.info.Ranks,
		Leaving: b.info.Leaving || leaving, Load: b.load(window),
	}, true
}

// load returns the figures that entries use to choose a backend server. The
// caller holds mu.
func (b *backend) load(window uint64) *peer.Load {
	v := b.adm.View(b.now())
	return &peer.Load{
		Running: v.Running + uint32(v.Waiting), Limit: v.Limit, TokensReserved: v.TokensReserved,
		TokensLimit: v.TokensLimit, StepUs: v.StepUS, Window: window,
	}
}

func (b *backend) currentLoad(window uint64) *peer.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(window)
}
