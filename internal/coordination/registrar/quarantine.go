package registrar

import (
	"context"
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/internal/coordination/quarantine"
	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// quarantineInterval is the time between two checks for quarantines that have
// ended, and for evidence that arrived before this registrar became the leader.
const quarantineInterval = 500 * time.Millisecond

// quarantinedParts are the parts of prompts that entries must refuse.
type quarantinedParts struct {
	index uint64 // log index of the last change
	parts []*peer.QuarantinedPart
}

// activeParts returns the parts that are quarantined.
func activeParts(q registry.Quarantine) quarantinedParts {
	active := quarantinedParts{index: q.Index}
	for _, r := range q.Records {
		if r.Active {
			active.parts = append(active.parts, &peer.QuarantinedPart{Part: r.Part, UntilMs: r.UntilMs})
		}
	}
	return active
}

// settleEnded drops the evidence against parts whose quarantine has ended. The
// caller holds r.mu.
func (r *Registrar) settleEnded(now time.Time, previous quarantinedParts) {
	for _, p := range previous.parts {
		if !slices.ContainsFunc(r.quarantined.parts, func(q *peer.QuarantinedPart) bool { return q.Part == p.Part }) {
			r.evidence.Settle(now, p.Part)
		}
	}
}

// recordEvidence adds what an entry has observed.
func (r *Registrar) recordEvidence(req *peer.FollowRequest) {
	if len(req.Evidence) == 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	for _, e := range req.Evidence {
		at := now.Add(-time.Duration(e.AgeMs) * time.Millisecond)
		if e.Crashed == "" {
			r.evidence.AddSound(at, e.Parts)
			continue
		}
		r.evidence.AddCrash(at, quarantine.Incarnation{ID: e.Crashed, StartedMS: e.BornMs}, e.Parts)
	}
	r.mu.Unlock()
	select {
	case r.evidenceAdded <- struct{}{}:
	default: // a check is due already
	}
}

// maintainQuarantine begins and ends quarantines while this registrar is the
// leader.
func (r *Registrar) maintainQuarantine(ctx context.Context) {
	ticker := time.NewTicker(quarantineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.evidenceAdded:
		}
		log, state, err := r.supervisor.get()
		if err != nil || !log.Status().IsLeader {
			continue
		}
		for _, change := range r.quarantineChanges(time.Now(), state.Quarantine()) {
			r.proposeQuarantine(ctx, log, change)
		}
	}
}

// quarantineChange is one change that the evidence calls for.
type quarantineChange struct {
	action registry.QuarantineChange_Action
	// until is set for a begin.
	until     time.Time
	suspicion quarantine.Suspicion
}

func (r *Registrar) quarantineChanges(now time.Time, current registry.Quarantine) []quarantineChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []quarantineChange
	for _, s := range r.evidence.Decide(now, func(part string) quarantine.Status {
		switch record := current.Record(part); {
		case record == nil:
			return quarantine.Free
		case record.Active:
			return quarantine.Active
		}
		return quarantine.Expired
	}) {
		length := quarantine.Duration(int(current.Record(s.Part).GetCount()) + 1)
		changes = append(changes, quarantineChange{action: registry.QuarantineChange_ACTION_BEGIN, until: now.Add(length), suspicion: s})
	}
	for _, record := range current.Records {
		sound := r.evidence.LastSound(record.Part)
		s := quarantine.Suspicion{Part: record.Part, LastSound: sound}
		switch {
		case !record.Active:
		case !sound.IsZero() && registry.UnixMilliseconds(sound) > record.SinceMs, r.evidence.IsRefuted(record.Part):
			changes = append(changes, quarantineChange{action: registry.QuarantineChange_ACTION_CLEAR, suspicion: s})
		case registry.UnixMilliseconds(now) >= record.UntilMs:
			changes = append(changes, quarantineChange{action: registry.QuarantineChange_ACTION_EXPIRE, suspicion: s})
		}
	}
	return changes
}

func (r *Registrar) proposeQuarantine(ctx context.Context, log *replica.Replica, change quarantineChange) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	s := change.suspicion
	result, err := log.Propose(ctx, registry.QuarantineCommand(time.Now(), change.action, s.Part, change.until))
	if err == nil {
		err = registry.DecodeQuarantineResult(result)
	}
	r.log.Info("quarantine changed", "action", change.action.String(), "prompt_part", s.Part, "until", change.until,
		"crashes", s.Crashes, "occasions", s.Occasions, "first_crash", s.First, "last_crash", s.Last, "last_sound", s.LastSound, "error", err)
}

// Quarantine lists the parts that are or were quarantined, after it has ended the
// quarantine of one if the request asks for it. A quorum has confirmed the list.
func (r *Registrar) Quarantine(ctx context.Context, req *peer.QuarantineRequest) (*peer.QuarantineResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if req.Clear != "" && !req.Forwarded {
		if err := r.checkWanted(ctx); err != nil {
			return nil, r.refuse("quarantine", err)
		}
	}
	var res *peer.QuarantineResponse
	err := r.onLeader(ctx, req.Forwarded, func(log *replica.Replica, state *registry.Registry) error {
		if req.Clear != "" {
			if state.Quarantine().Record(req.Clear) == nil {
				return fault.New(fault.NotFound, "part %q is not and was not quarantined", req.Clear)
			}
			result, err := log.Propose(ctx, registry.QuarantineCommand(time.Now(), registry.QuarantineChange_ACTION_CLEAR, req.Clear, time.Time{}))
			if err != nil {
				return err
			}
			if err := registry.DecodeQuarantineResult(result); err != nil {
				return err
			}
		} else if _, err := log.ConfirmLeadership(ctx); err != nil {
			return err
		}
		res = &peer.QuarantineResponse{}
		for _, record := range state.Quarantine().Records {
			res.Parts = append(res.Parts, &peer.QuarantineState{
				Part: record.Part, Active: record.Active, Count: record.Count, SinceMs: record.SinceMs, UntilMs: record.UntilMs,
			})
		}
		return nil
	}, func(leader peer.Directory) (err error) {
		res, err = leader.Quarantine(ctx, &peer.QuarantineRequest{Clear: req.Clear, Forwarded: true})
		return err
	})
	if req.Clear != "" {
		r.log.Info("quarantine clear request", "prompt_part", req.Clear, "forwarded", req.Forwarded, "error", err)
	}
	if err != nil {
		return nil, r.refuse("quarantine", err)
	}
	return res, nil
}
