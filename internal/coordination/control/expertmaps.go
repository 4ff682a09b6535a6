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
	mapTick = 100 * time.Millisecond
	// decisionQueue bounds the decisions that wait for the log. The coordinator
	// repeats those that do not fit.
	decisionQueue = 64
	// maxProposals bounds the operation ids of a term whose answers are kept.
	maxProposals = 1024
)

// ExpertMapCoordinator returns the value of HandlerConfig.NewGroupCoordinator
// that runs package expertmap.
func ExpertMapCoordinator(cfg expertmap.Config) func(context.Context, *Handler) GroupCoordinator {
	return func(ctx context.Context, c *Handler) GroupCoordinator {
		m := &expertMaps{cfg: cfg, calls: c, decisions: make(chan queuedDecision, decisionQueue)}
		go m.keep(ctx)
		go m.decide(ctx)
		return GroupCoordinator{ObserveRenewal: m.reported, Orders: m.orders, Propose: m.propose}
	}
}

// expertMaps holds the coordinator for the time of one leadership.
type expertMaps struct {
	cfg       expertmap.Config
	calls     *Handler
	decisions chan queuedDecision

	mu          sync.Mutex
	term        uint64
	coordinator *expertmap.Coordinator              // nil while this replica does not lead
	waiting     map[string]proposal                 // by group
	answers     map[string]*peer.ProposeMapResponse // by operation id
}

type queuedDecision struct {
	term     uint64
	decision expertmap.Decision
}

// proposal is a call that waits for its change to begin.
type proposal struct {
	operation string
	done      chan opening // room for one
}

// opening is what became of a proposal.
type opening struct {
	response *peer.ProposeMapResponse
	err      error
}

// keep makes a coordinator when this replica begins to lead, lets time pass for
// it, and drops it afterwards.
func (m *expertMaps) keep(ctx context.Context) {
	ticker := time.NewTicker(mapTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := m.calls.log.Status()
		switch {
		case !st.IsLeader:
			m.drop()
		case m.current() != st.Term:
			m.begin(ctx)
		default:
			m.step(st.Term, expertmap.Tick{})
		}
	}
}

func (m *expertMaps) current() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

func (m *expertMaps) drop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset(0, nil)
}

// begin makes a coordinator from records that hold everything decided in
// earlier terms: the round confirms the leader after all of it was applied.
func (m *expertMaps) begin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	term, records, err := m.calls.GroupRecords(ctx)
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

// reset ends all proposals that wait. The caller holds m.mu.
func (m *expertMaps) reset(term uint64, c *expertmap.Coordinator) {
	for _, w := range m.waiting {
		w.done <- opening{err: fault.New(fault.Unavailable, "leadership changed before the map change had begun").WithRan(fault.RanUnknown)}
	}
	m.term, m.coordinator = term, c
	m.waiting, m.answers = map[string]proposal{}, map[string]*peer.ProposeMapResponse{}
}

// step passes an input to the coordinator of a term, if it is still there.
func (m *expertMaps) step(term uint64, in expertmap.Input) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator != nil && m.term == term {
		m.handle(m.coordinator.Step(m.calls.now(), in))
	}
}

// handle carries effects out. The caller holds m.mu.
func (m *expertMaps) handle(effects []expertmap.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Decide:
			select {
			case m.decisions <- queuedDecision{term: m.term, decision: e.Decision}:
			default:
				m.calls.scope.Counter("map_decisions_dropped").Inc(1)
			}
		case expertmap.Opened:
			m.answer(e.Group, opening{response: &peer.ProposeMapResponse{MapVersion: e.Version, Fencing: e.Fencing}})
		case expertmap.Refused:
			m.answer(e.Group, opening{err: fault.New(fault.Conflict, "the map of group %q cannot be changed now: %v", e.Group, e.Reason)})
		case expertmap.Finished:
			m.calls.scope.Tagged(map[string]string{"reason": e.Reason.String()}).Counter("map_changes").Inc(1)
			m.calls.logger.Info("map change ended", "group", e.Group, "version", e.Version, "reason", e.Reason.String())
		}
	}
}

// answer ends a proposal that waits. The caller holds m.mu.
func (m *expertMaps) answer(group string, o opening) {
	w, ok := m.waiting[group]
	if !ok {
		return
	}
	delete(m.waiting, group)
	if o.err == nil {
		m.remember(w.operation, o.response)
	}
	w.done <- o
}

// decide proposes decisions one after the other. An error is left to the
// coordinator, which repeats a decision until the record shows one.
func (m *expertMaps) decide(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-m.decisions:
			d := q.decision
			record, _, err := m.calls.Decide(ctx, &registry.GroupDecision{
				Group: d.Group, MapVersion: d.Version, Abandon: !d.Commit, SwitchStep: d.SwitchStep, Placement: d.Placement,
			})
			if err != nil {
				m.calls.scope.Tagged(map[string]string{"reason": fault.From(err).Kind.String()}).Counter("map_decisions_failed").Inc(1)
				continue
			}
			m.step(q.term, expertmap.Applied{Record: recordOf(record)})
		}
	}
}

func (m *expertMaps) reported(req *peer.RenewRequest) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator == nil {
		return 0
	}
	if len(req.GroupAcks) > 0 {
		m.handle(m.coordinator.Step(m.calls.now(), expertmap.Reported{Acks: req.GroupAcks}))
	}
	return m.term
}

func (m *expertMaps) orders(term uint64, req *peer.RenewRequest) []*peer.GroupOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator == nil || m.term != term {
		return nil
	}
	return m.coordinator.Orders(req.BackendServers)
}

// propose begins a change. A resend in the same term gets the first answer; in
// a later term it is a new change to the same placement.
func (m *expertMaps) propose(ctx context.Context, req *peer.ProposeMapRequest) (*peer.ProposeMapResponse, error) {
	if st := m.calls.log.Status(); !st.IsLeader {
		return nil, notLeader(st)
	}
	first, wait, err := m.open(req)
	if first != nil || err != nil {
		return first, err
	}
	select {
	case o := <-wait:
		return o.response, o.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "the map change may have begun")
	}
}

// open passes a proposal to the coordinator, or returns the answer that its
// operation id got before.
func (m *expertMaps) open(req *peer.ProposeMapRequest) (*peer.ProposeMapResponse, chan opening, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator == nil {
		return nil, nil, fault.New(fault.NoQuorum, "the leader has not read the expert maps yet").WithRetryAfter(mapTick)
	}
	if first := m.answers[req.OperationId]; first != nil {
		return first, nil, nil
	}
	if _, busy := m.waiting[req.Group]; busy {
		return nil, nil, fault.New(fault.Conflict, "another change of group %q is being begun", req.Group)
	}
	wait := make(chan opening, 1)
	m.waiting[req.Group] = proposal{operation: req.OperationId, done: wait}
	m.handle(m.coordinator.Step(m.calls.now(), expertmap.Proposed{Group: req.Group, Placement: req.Placement}))
	return nil, wait, nil
}

// remember keeps the answer to an operation id. The caller holds m.mu.
func (m *expertMaps) remember(operation string, res *peer.ProposeMapResponse) {
	if len(m.answers) >= maxProposals {
		clear(m.answers)
	}
	m.answers[operation] = res
}

func recordOf(r *registry.GroupRecord) expertmap.Record {
	return expertmap.Record{
		Group: r.Group, Version: r.Version, Fencing: r.Fencing, Current: mapOf(r.Current), Previous: mapOf(r.Previous),
	}
}

func mapOf(m *registry.ExpertMap) expertmap.Map {
	return expertmap.Map{Version: m.GetVersion(), SwitchStep: m.GetSwitchStep(), Placement: m.GetPlacement()}
}
