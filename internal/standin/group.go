package standin

import (
	"context"
	"sync"
	"time"
)

// Group keeps the engines that carry its ranks in lockstep: a step begins
// when all of them have finished the one before and the rules for expert maps
// let all of them start it. A group to which control has never given a map
// runs with map 0.
type Group struct {
	Name string

	mu      sync.Mutex
	members []*Engine
	step    uint64
	// mapped says that a step was run with a map of control.
	mapped bool
	// arrived holds the members that wait to start the next step; opened is
	// closed when they may.
	arrived map[*Engine]bool
	opened  chan struct{}
}

// NewGroup returns a group without members.
func NewGroup(name string) *Group {
	return &Group{Name: name, arrived: map[*Engine]bool{}, opened: make(chan struct{})}
}

func (g *Group) join(e *Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, e)
}

// holdCheck is how often a member that waits looks again whether a hold has
// ended.
const holdCheck = 2 * time.Millisecond

// barrier waits until all members may start the next step. It returns false
// when ctx ends.
func (g *Group) barrier(ctx context.Context, e *Engine) bool {
	g.mu.Lock()
	g.arrived[e] = true
	opened := g.opened
	g.mu.Unlock()
	ticker := time.NewTicker(holdCheck)
	defer ticker.Stop()
	for {
		g.tryOpen()
		select {
		case <-opened:
			return true
		default:
		}
		select {
		case <-opened:
			return true
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// tryOpen starts the next step if all members wait for it and may start it.
func (g *Group) tryOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.arrived) < len(g.members) {
		return
	}
	step, ok := g.next()
	if !ok {
		return
	}
	g.step = step
	for _, m := range g.members {
		m.startStep(step)
	}
	clear(g.arrived)
	close(g.opened)
	g.opened = make(chan struct{})
}

// next returns the step that the members may start. If none of them has a map,
// as after a restart of all, the group goes on at the greatest switch step
// that they know.
func (g *Group) next() (uint64, bool) {
	step, newest, without := g.step+1, uint64(0), 0
	for _, m := range g.members {
		version, known := m.mapState()
		newest = max(newest, known)
		if version == 0 {
			without++
		}
	}
	if without == len(g.members) {
		if newest == 0 && !g.mapped {
			return step, g.noneHolds()
		}
		step = max(step, newest)
	}
	for _, m := range g.members {
		if !m.mayStart(step) {
			return 0, false
		}
	}
	g.mapped = true
	return step, true
}

// noneHolds says whether no member is stopped or waits for a decision.
func (g *Group) noneHolds() bool {
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
	return e.dead || e.stalled || e.rules.Holding()
}

// mapState returns the map in use and the newest switch step known.
func (e *Engine) mapState() (version, newestSwitch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rules.MapVersion(), e.rules.NewestSwitchStep()
}

func (e *Engine) mayStart(step uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || e.stalled {
		return false
	}
	e.rules.Join(step - 1)
	_, ok := e.rules.MayStart(step)
	return ok
}

func (e *Engine) startStep(step uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules.Start(step)
	e.record.useMap(e.cfg.Group.Name, step, e.rules.MapVersion())
}
