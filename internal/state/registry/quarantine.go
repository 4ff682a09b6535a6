package registry

import (
	"slices"
	"strings"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxQuarantineRecords bounds the parts that are or were quarantined. The record
// with the oldest begin is removed first, one that has ended before an active one.
const maxQuarantineRecords = 1024

// Quarantine lists the parts of prompts that are or were quarantined.
type Quarantine struct {
	// Index is the log index of the last change.
	Index uint64
	// Records is sorted by part and must not be modified.
	Records []*QuarantineRecord
}

// Record returns the record of a part, or nil.
func (q Quarantine) Record(part string) *QuarantineRecord {
	i, found := findRecord(q.Records, part)
	if !found {
		return nil
	}
	return q.Records[i]
}

func findRecord(records []*QuarantineRecord, part string) (int, bool) {
	return slices.BinarySearchFunc(records, part, func(r *QuarantineRecord, part string) int { return strings.Compare(r.Part, part) })
}

// QuarantineCommand encodes the begin or the end of the quarantine of a part.
// until is used by its begin only.
func QuarantineCommand(now time.Time, action QuarantineChange_Action, part string, until time.Time) []byte {
	body := &QuarantineChange{Action: action, Part: part}
	if action == QuarantineChange_ACTION_BEGIN {
		body.UntilMs = UnixMilliseconds(until)
	}
	return encodeCommand(now, &Command{Command: &Command_Quarantine{Quarantine: body}})
}

// DecodeQuarantineResult returns the error in the result of a QuarantineCommand, if
// any.
func DecodeQuarantineResult(result []byte) error {
	_, err := decodeResult(result)
	return err
}

// Quarantine returns the quarantined parts.
func (r *Registry) Quarantine() Quarantine {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return Quarantine{Index: r.quarantineIndex, Records: r.quarantine}
}

func (r *Registry) changeQuarantine(index, nowMS uint64, c *QuarantineChange) *Result {
	if c.Part == "" {
		return failedResult(fault.New(fault.BadRequest, "quarantine command without a part"))
	}
	i, found := findRecord(r.quarantine, c.Part)
	var record *QuarantineRecord
	if found {
		record = r.quarantine[i]
	}
	// Readers may still hold the old slice and its records.
	next := slices.Clone(r.quarantine)
	switch {
	case c.Action == QuarantineChange_ACTION_BEGIN && !record.GetActive():
		begun := &QuarantineRecord{Part: c.Part, Active: true, Count: record.GetCount() + 1, SinceMs: nowMS, UntilMs: c.UntilMs}
		if found {
			next[i] = begun
		} else {
			next = dropOldest(slices.Insert(next, i, begun))
		}
	case c.Action == QuarantineChange_ACTION_EXPIRE && record.GetActive():
		next[i] = &QuarantineRecord{Part: c.Part, Count: record.Count, SinceMs: record.SinceMs, UntilMs: record.UntilMs}
	case c.Action == QuarantineChange_ACTION_CLEAR && found:
		next = slices.Delete(next, i, i+1)
	default:
		return &Result{Result: &Result_Quarantine{Quarantine: &QuarantineResult{Index: r.quarantineIndex}}}
	}
	r.quarantine, r.quarantineIndex = next, index
	return &Result{Result: &Result_Quarantine{Quarantine: &QuarantineResult{Index: index}}}
}

// dropOldest removes a record if there are too many.
func dropOldest(records []*QuarantineRecord) []*QuarantineRecord {
	if len(records) <= maxQuarantineRecords {
		return records
	}
	oldest := 0
	for i, r := range records {
		o := records[oldest]
		if (o.Active && !r.Active) || (o.Active == r.Active && r.SinceMs < o.SinceMs) {
			oldest = i
		}
	}
	return slices.Delete(records, oldest, oldest+1)
}
