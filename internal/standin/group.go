package standin

import (
	"context"
	"sync"
	"time"
)

// Group keeps the engines that run its ranks in lockstep: a step begins when
// all of them have finished the previous one and the expert map rules allow all
// of them to start it. A group that has never received a map from control runs
// with map 0.
type Group struct {
	Name string

	mu      sync.Mutex
	members []*Engine
	step    uint64
	// usedMap is set once a step was run with a map from control.
	usedMap bool
	// waiting holds the members that wait to start the next step; started is
	// closed when it starts.
	waiting map[*Engine]bool
	started chan struct{}
}

// NewGroup returns a group without members.
func NewGroup(name string) *Group {
	return &Group{Name: name, waiting: map[*Engine]bool{}, started: make(chan struct{})}
}

func (g *Group) join(e *Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, e)
}

// holdPollInterval is how often a waiting member checks whether a hold has ended.
const holdPollInterval = 2 * time.Millisecond

// barrier waits until all members may start the next step. It returns false
// when ctx ends.
func (g *Group) barrier(ctx context.Context, e *Engine) bool {
	g.mu.Lock()
	g.waiting[e] = true
	started := g.started
	g.mu.Unlock()
	ticker := time.NewTicker(holdPollInterval)
	defer ticker.Stop()
	for {
		g.tryStart()
		select {
		case <-started:
			return true
		default:
		}
		select {
		case <-started:
			return true
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// tryStart starts the next step if all members wait for it and are allowed to
// start it.
func (g *Group) tryStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) < len(g.members) {
		return
	}
	step, ok := g.nextStep()
	if !ok {
		return
	}
	g.step = step
	for _, m := range g.members {
		m.startStep(step)
	}
	clear(g.waiting)
	close(g.started)
	g.started = make(chan struct{})
}

// nextStep returns the step that the members may start, and false if one of them
// may not start it. If no member has a map, as after a restart of all, the group
// continues at the highest switch step that the members have received.
func (g *Group) nextStep() (uint64, bool) {
	step, newest, withoutMap := g.step+1, uint64(0), 0
	for _, m := range g.members {
		version, newestSwitch := m.mapState()
		newest = max(newest, newestSwitch)
		if version == 0 {
			withoutMap++
		}
	}
	if withoutMap == len(g.members) {
		if newest == 0 && !g.usedMap {
			return step, g.noneHolding()
		}
		step = max(step, newest)
	}
	for _, m := range g.members {
		if !m.mayStart(step) {
			return 0, false
		}
	}
	g.usedMap = true
	return step, true
}

// noneHolding reports whether no member is stopped or waits for a decision.
func (g *Group) noneHolding() bool {
	for _, m := range g.members {
		if m.isHolding() {
			return false
		}
	}
	return true
}

func (e *Engine) isHolding() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited || e.stalled || e.expertMaps.Holding()
}

// mapState returns the version of the map in use and the newest switch step
// received.
func (e *Engine) mapState() (version, newestSwitch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expertMaps.MapVersion(), e.expertMaps.NewestSwitchStep()
}

func (e *Engine) mayStart(step uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exited || e.stalled {
		return false
	}
	e.expertMaps.Join(step - 1)
	_, ok := e.expertMaps.MayStart(step)
	return ok
}

func (e *Engine) startStep(step uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expertMaps.Start(step)
	e.record.useMap(e.cfg.Group.Name, step, e.expertMaps.MapVersion())
}
