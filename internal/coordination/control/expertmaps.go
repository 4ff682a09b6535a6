package control

import (
	"context"
	"sync"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/expertmap"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Times and limits of expert map changes.
const (
	mapTickInterval = 100 * time.Millisecond
	// decisionQueueLength bounds the decisions that wait for the log. The
	// coordinator repeats those that do not fit.
	decisionQueueLength = 64
	// maxCachedResponses bounds the operation ids whose responses are cached
	// within a term.
	maxCachedResponses = 1024
)

// ExpertMapCoordinator returns the value of HandlerConfig.NewGroupCoordinator
// that runs package expertmap.
func ExpertMapCoordinator(cfg expertmap.Config) func(context.Context, *Handler) GroupCoordinator {
	return func(ctx context.Context, h *Handler) GroupCoordinator {
		m := &expertMapManager{cfg: cfg, handler: h, decisions: make(chan queuedDecision, decisionQueueLength)}
		go m.run(ctx)
		go m.proposeDecisions(ctx)
		return GroupCoordinator{ObserveRenewal: m.observeRenewal, Orders: m.orders, Propose: m.propose}
	}
}

// expertMapManager runs a coordinator while this replica is the leader.
type expertMapManager struct {
	cfg       expertmap.Config
	handler   *Handler
	decisions chan queuedDecision

	mu          sync.Mutex
	term        uint64
	coordinator *expertmap.Coordinator              // nil while this replica is not the leader
	pending     map[string]pendingProposal          // by group
	responses   map[string]*peer.ProposeMapResponse // by operation id
}

type queuedDecision struct {
	term     uint64
	decision expertmap.Decision
}

// pendingProposal is a ProposeMap call that waits for its change to start.
type pendingProposal struct {
	operation string
	result    chan proposalResult // has a buffer of one
}

type proposalResult struct {
	response *peer.ProposeMapResponse
	err      error
}

// run creates a coordinator when this replica becomes the leader, sends it
// ticks, and drops it when leadership ends.
func (m *expertMapManager) run(ctx context.Context) {
	ticker := time.NewTicker(mapTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := m.handler.log.Status()
		switch {
		case !st.IsLeader:
			m.stopCoordinator()
		case m.currentTerm() != st.Term:
			m.startCoordinator(ctx)
		default:
			m.step(st.Term, expertmap.Tick{})
		}
	}
}

func (m *expertMapManager) currentTerm() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

func (m *expertMapManager) stopCoordinator() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset(0, nil)
}

// startCoordinator creates a coordinator from records that include every
// decision of earlier terms, since GroupRecords confirms the leader after all of
// them have been applied.
func (m *expertMapManager) startCoordinator(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	term, records, err := m.handler.GroupRecords(ctx)
	if err != nil {
		return
	}
	var list []expertmap.Record
	for _, r := range records {
		list = append(list, recordOf(r))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset(term, expertmap.New(m.cfg, list))
}

// reset replaces the coordinator and fails all pending proposals. The caller
// holds m.mu.
func (m *expertMapManager) reset(term uint64, c *expertmap.Coordinator) {
	for _, p := range m.pending {
		p.result <- proposalResult{err: fault.New(fault.Unavailable, "leadership changed before the map change started").WithRan(fault.RanUnknown)}
	}
	m.term, m.coordinator = term, c
	m.pending, m.responses = map[string]pendingProposal{}, map[string]*peer.ProposeMapResponse{}
}

// step passes an input to the coordinator of the given term, if it is still
// running.
func (m *expertMapManager) step(term uint64, in expertmap.Input) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator != nil && m.term == term {
		m.execute(m.coordinator.Step(m.handler.now(), in))
	}
}

// execute carries out the effects of a step. The caller holds m.mu.
func (m *expertMapManager) execute(effects []expertmap.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Decide:
			select {
			case m.decisions <- queuedDecision{term: m.term, decision: e.Decision}:
			default:
				m.handler.scope.Counter("map_decisions_dropped").Inc(1)
			}
		case expertmap.Opened:
			m.finishProposal(e.Group, proposalResult{response: &peer.ProposeMapResponse{MapVersion: e.Version, Fencing: e.Fencing}})
		case expertmap.Refused:
			m.finishProposal(e.Group, proposalResult{err: fault.New(fault.Conflict, "the map of group %q cannot be changed now: %v", e.Group, e.Reason)})
		case expertmap.Finished:
			m.handler.scope.Tagged(map[string]string{"reason": e.Reason.String()}).Counter("map_changes").Inc(1)
			m.handler.logger.Info("map change ended", "group", e.Group, "version", e.Version, "reason", e.Reason.String())
		}
	}
}

// finishProposal returns a result to the pending proposal of a group, if there
// is one. The caller holds m.mu.
func (m *expertMapManager) finishProposal(group string, result proposalResult) {
	p, ok := m.pending[group]
	if !ok {
		return
	}
	delete(m.pending, group)
	if result.err == nil {
		m.cacheResponse(p.operation, result.response)
	}
	p.result <- result
}

// proposeDecisions proposes queued decisions to the log, one at a time. Errors
// are only counted, since the coordinator repeats a decision until the record
// shows one.
func (m *expertMapManager) proposeDecisions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-m.decisions:
			d := q.decision
			record, _, err := m.handler.Decide(ctx, &registry.GroupDecision{
				Group: d.Group, MapVersion: d.Version, Abandon: !d.Commit, SwitchStep: d.SwitchStep, Placement: d.Placement,
			})
			if err != nil {
				m.handler.scope.Tagged(map[string]string{"reason": fault.From(err).Kind.String()}).Counter("map_decisions_failed").Inc(1)
				continue
			}
			m.step(q.term, expertmap.Applied{Record: recordOf(record)})
		}
	}
}

func (m *expertMapManager) observeRenewal(req *peer.RenewRequest) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator == nil {
		return 0
	}
	if len(req.GroupAcks) > 0 {
		m.execute(m.coordinator.Step(m.handler.now(), expertmap.Reported{Acks: req.GroupAcks}))
	}
	return m.term
}

func (m *expertMapManager) orders(term uint64, req *peer.RenewRequest) []*peer.GroupOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator == nil || m.term != term {
		return nil
	}
	return m.coordinator.Orders(req.BackendServers)
}

// propose starts a change. A repeated call in the same term gets the first
// response; in a later term it starts a new change to the same placement.
func (m *expertMapManager) propose(ctx context.Context, req *peer.ProposeMapRequest) (*peer.ProposeMapResponse, error) {
	if st := m.handler.log.Status(); !st.IsLeader {
		return nil, notLeader(st)
	}
	cached, result, err := m.submit(req)
	if cached != nil || err != nil {
		return cached, err
	}
	select {
	case r := <-result:
		return r.response, r.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "the map change may have started")
	}
}

// submit passes a proposal to the coordinator and returns a channel for its
// result, or the cached response if its operation id already got one.
func (m *expertMapManager) submit(req *peer.ProposeMapRequest) (*peer.ProposeMapResponse, chan proposalResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator == nil {
		return nil, nil, fault.New(fault.NoQuorum, "the leader has not loaded the expert maps yet").WithRetryAfter(mapTickInterval)
	}
	if cached := m.responses[req.OperationId]; cached != nil {
		return cached, nil, nil
	}
	if _, busy := m.pending[req.Group]; busy {
		return nil, nil, fault.New(fault.Conflict, "another change of group %q is being started", req.Group)
	}
	result := make(chan proposalResult, 1)
	m.pending[req.Group] = pendingProposal{operation: req.OperationId, result: result}
	m.execute(m.coordinator.Step(m.handler.now(), expertmap.Proposed{Group: req.Group, Placement: req.Placement}))
	return nil, result, nil
}

// cacheResponse stores the response to an operation id. If the cache is full, it
// is cleared first. The caller holds m.mu.
func (m *expertMapManager) cacheResponse(operation string, res *peer.ProposeMapResponse) {
	if len(m.responses) >= maxCachedResponses {
		clear(m.responses)
	}
	m.responses[operation] = res
}

func recordOf(r *registry.GroupRecord) expertmap.Record {
	return expertmap.Record{
		Group: r.Group, Version: r.Version, Fencing: r.Fencing, Current: mapOf(r.Current), Previous: mapOf(r.Previous),
	}
}

func mapOf(m *registry.ExpertMap) expertmap.Map {
	return expertmap.Map{Version: m.GetVersion(), SwitchStep: m.GetSwitchStep(), Placement: m.GetPlacement()}
}
