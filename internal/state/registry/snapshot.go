package registry

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/state/ledger"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// snapshotFormat is increased when a snapshot can no longer be read by older
// versions of the program.
const snapshotFormat = 1

// Snapshot encodes the complete state. Equal states give equal bytes.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := &SnapshotData{
		Format:     snapshotFormat,
		NowMs:      r.nowMS,
		Revision:   r.revision,
		Intent:     r.current.Canonical,
		Operations: r.ops.order,
		History:    r.history,
		Groups:     sortedByName(r.groups),
		Ledger:     ledgerData(r.ledger.State()),

		CatalogVersion: r.catalog.Version,
		Catalog:        r.catalog.Data,
		DrainIndex:     r.drained.Index,
		Drained:        r.drained.FailureDomains,

		QuarantineIndex: r.quarantineIndex,
		Quarantine:      r.quarantine,

		Duty: r.duty,
	}
	for _, target := range slices.Sorted(maps.Keys(r.fencing)) {
		s.Fencing = append(s.Fencing, &FencingNumber{Target: target, Number: r.fencing[target]})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "registry: snapshot cannot be encoded")
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot. Errors are of kind
// CorruptData and leave the state unchanged.
func (r *Registry) Restore(snapshot []byte) error {
	s := &SnapshotData{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return fault.Wrap(err, fault.CorruptData, "registry: snapshot cannot be decoded")
	}
	next, err := fromSnapshot(s)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nowMS, r.revision, r.current = next.nowMS, next.revision, next.current
	r.ops, r.history = next.ops, next.history
	r.groups, r.fencing, r.ledger = next.groups, next.fencing, next.ledger
	r.catalog, r.drained = next.catalog, next.drained
	r.drainChanges, r.restoredDrainIndex = map[string]uint64{}, next.drained.Index
	r.quarantineIndex, r.quarantine = next.quarantineIndex, next.quarantine
	r.duty = next.duty
	return nil
}

func fromSnapshot(s *SnapshotData) (*Registry, error) {
	if s.Format != snapshotFormat {
		return nil, fault.New(fault.CorruptData, "registry: snapshot has format %d, want %d", s.Format, snapshotFormat)
	}
	r := New()
	r.nowMS, r.revision, r.history = s.NowMs, s.Revision, s.History
	r.catalog = Catalog{Version: s.CatalogVersion, Data: s.Catalog}
	r.drained = DrainedDomains{Index: s.DrainIndex, FailureDomains: s.Drained}
	r.quarantineIndex, r.quarantine = s.QuarantineIndex, s.Quarantine
	r.duty = s.Duty
	if r.revision > 0 {
		last := len(s.History) - 1
		if last < 0 || s.History[last].Revision != s.Revision {
			return nil, fault.New(fault.CorruptData, "registry: snapshot has no history of revision %d", s.Revision)
		}
		r.current = newCurrentIntent(r.revision, s.History[last].Index, s.Intent)
	}
	for _, op := range s.Operations {
		r.ops.put(op)
	}
	for _, g := range s.Groups {
		r.groups[g.Group] = g
	}
	for _, f := range s.Fencing {
		r.fencing[f.Target] = f.Number
	}
	var err error
	r.ledger, err = ledger.FromState(ledgerState(s.Ledger))
	return r, err
}

func ledgerData(s ledger.State) *LedgerData {
	d := &LedgerData{NowSeconds: s.NowSeconds, WallSeconds: s.WallSeconds, Records: s.Records}
	for _, o := range s.Unresolved {
		d.Open = append(d.Open, &OpenAttempt{Key: o.Key, Attempt: o.Attempt})
	}
	for _, a := range s.Answers {
		d.Answers = append(d.Answers, &KeyAnswer{Key: a.Key, Data: a.Data})
	}
	return d
}

func ledgerState(d *LedgerData) ledger.State {
	s := ledger.State{NowSeconds: d.GetNowSeconds(), WallSeconds: d.GetWallSeconds(), Records: d.GetRecords()}
	for _, o := range d.GetOpen() {
		s.Unresolved = append(s.Unresolved, ledger.UnresolvedAttempt{Key: o.Key, Attempt: o.Attempt})
	}
	for _, a := range d.GetAnswers() {
		s.Answers = append(s.Answers, ledger.Answer{Key: a.Key, Data: a.Data})
	}
	return s
}

func sortedByName(groups map[string]*GroupRecord) []*GroupRecord {
	list := make([]*GroupRecord, 0, len(groups))
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		list = append(list, groups[name])
	}
	return list
}
