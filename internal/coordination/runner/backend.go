package runner

import (
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/admission"
	"oleanderrack.example/oleanderrack/internal/coordination/expertmap"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// Times of a backend server's announcements.
const (
	// goneTime without an announcement means that a backend server is gone.
	goneTime = 3 * time.Second
	// forgetTime after that its state is dropped, if nothing is in flight.
	forgetTime = time.Minute
)

// place is a request's place at a backend server, from its arrival until the
// backend server holds it no longer.
type place struct {
	id      uint64
	backend *backend
	// admitted is closed when the request may be sent.
	admitted chan struct{}
	// refused gets the refusal of a place that was waited for.
	refused chan admission.Refuse
	// preempt is closed when the stream is to be cancelled and to wait.
	preempt chan struct{}
}

// backend is the agent's state of one backend server.
type backend struct {
	name string
	now  func() time.Time

	mu     sync.Mutex
	info   engine.Announcement
	seen   time.Time
	gone   bool
	adm    *admission.Controller
	places map[uint64]*place
	lastID uint64
	// follower is set for a backend server with ranks of a group.
	follower *expertmap.Follower
	orders   chan engineOrder
	// loadTried is when an order to load was last sent.
	loadTried time.Time
}

func newBackend(name string, now func() time.Time) *backend {
	return &backend{name: name, now: now, adm: admission.New(), places: map[uint64]*place{}, orders: make(chan engineOrder, maxOrders)}
}

// step passes an input to the admission and carries out the effects. The
// caller holds mu.
func (b *backend) step(in admission.Input) *admission.Refuse {
	var refusal *admission.Refuse
	for _, effect := range b.adm.Step(b.now(), in) {
		switch e := effect.(type) {
		case admission.Admit:
			close(b.places[e.ID].admitted)
		case admission.Preempt:
			close(b.places[e.ID].preempt)
		case admission.Refuse:
			p := b.places[e.ID]
			delete(b.places, e.ID)
			p.refused <- e
			refusal = &e
		}
	}
	return refusal
}

// arrive asks for a place. Without a.Wait the place is admitted or there is a
// refusal.
func (b *backend) arrive(a admission.Arrive) (*place, *admission.Refuse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	a.ID = b.lastID
	p := &place{
		id: a.ID, backend: b,
		admitted: make(chan struct{}), refused: make(chan admission.Refuse, 1), preempt: make(chan struct{}),
	}
	b.places[a.ID] = p
	refusal := b.step(a)
	if refusal != nil && refusal.ID == a.ID {
		return nil, refusal
	}
	return p, nil
}

// progress passes an engine's figures on.
func (p *place) progress(f engine.Figures) {
	p.backend.mu.Lock()
	defer p.backend.mu.Unlock()
	p.backend.step(admission.Progress{
		ID: p.id, PromptTokens: f.PromptTokens, CachedTokens: f.CachedTokens, Tokens: f.Tokens, StepUS: f.StepUS,
	})
}

// broken tells the admission that a connection broke or could not be opened.
func (p *place) broken() {
	p.backend.mu.Lock()
	defer p.backend.mu.Unlock()
	p.backend.step(admission.ConnectionFailed{})
}

// release frees the place: the backend server holds the request no longer.
func (p *place) release(finished bool) { p.leave(admission.Release{ID: p.id, Finished: finished}) }

// abandon keeps the room until announcements show that the request is gone.
func (p *place) abandon() { p.leave(admission.Abandon{ID: p.id}) }

// withdraw gives up a place that was waited for.
func (p *place) withdraw() {
	p.backend.mu.Lock()
	defer p.backend.mu.Unlock()
	p.backend.step(admission.CancelWait{ID: p.id})
	select {
	case <-p.admitted:
		p.backend.step(admission.Release{ID: p.id})
	default:
	}
	delete(p.backend.places, p.id)
}

func (p *place) leave(in admission.Input) {
	p.backend.mu.Lock()
	defer p.backend.mu.Unlock()
	p.backend.step(in)
	delete(p.backend.places, p.id)
}

// announce takes an announcement over. It says whether entries should hear of
// the change soon.
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
	changed := b.seen.IsZero() || b.gone || a.Incarnation != b.info.Incarnation ||
		a.Leaving != b.info.Leaving || a.Temperature != b.info.Temperature || a.Model != b.info.Model || a.Version != b.info.Version
	b.announceRanks(a)
	b.info, b.seen, b.gone = a, b.now(), false
	return changed
}

// tick lets time pass. It says whether the backend server is gone since, and
// whether its state can be dropped.
func (b *backend) tick() (left, forget bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	silent := b.now().Sub(b.seen)
	if silent > goneTime && !b.gone {
		b.gone, left = true, true
		b.step(admission.AnnouncementExpired{})
	}
	b.step(admission.Tick{})
	return left, b.gone && silent > forgetTime && len(b.places) == 0
}

// snapshot returns the newest announcement and whether the backend server is
// there.
func (b *backend) snapshot() (engine.Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.info, !b.gone && !b.seen.IsZero()
}

// report returns the backend server as entries see it.
func (b *backend) report(window uint64, leaving bool) (*peer.BackendServer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gone || b.seen.IsZero() {
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

// load returns the figures that entries choose by. The caller holds mu.
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
