package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
)

// TestQuarantine guards against a quarantine that begins twice, is forgotten at its
// end or in a snapshot, or counts after it was a mistake.
func TestQuarantine(t *testing.T) {
	begin, expire, forget := QuarantineChange_ACTION_BEGIN, QuarantineChange_ACTION_EXPIRE, QuarantineChange_ACTION_CLEAR
	active := func(count uint32, since, until uint64) []*QuarantineRecord {
		return []*QuarantineRecord{{Part: "bad", Active: true, Count: count, SinceMs: since, UntilMs: until}}
	}
	ended := []*QuarantineRecord{{Part: "bad", Count: 1, SinceMs: 1, UntilMs: 100}}
	tests := map[string]struct {
		actions []QuarantineChange_Action
		want    Quarantine
	}{
		"begin":               {[]QuarantineChange_Action{begin}, Quarantine{1, active(1, 1, 100)}},
		"begin twice":         {[]QuarantineChange_Action{begin, begin}, Quarantine{1, active(1, 1, 100)}},
		"expire":              {[]QuarantineChange_Action{begin, expire}, Quarantine{2, ended}},
		"expire twice":        {[]QuarantineChange_Action{begin, expire, expire}, Quarantine{2, ended}},
		"begin again":         {[]QuarantineChange_Action{begin, expire, begin}, Quarantine{3, active(2, 3, 100)}},
		"clear":               {[]QuarantineChange_Action{begin, forget}, Quarantine{2, nil}},
		"clear after the end": {[]QuarantineChange_Action{begin, expire, forget}, Quarantine{3, nil}},
		"nothing to end":      {[]QuarantineChange_Action{expire, forget}, Quarantine{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			for i, action := range test.actions {
				if err := DecodeQuarantineResult(r.Apply(uint64(i+1), QuarantineCommand(time.UnixMilli(int64(i+1)), action, "bad", time.UnixMilli(100)))); err != nil {
					t.Fatal(err)
				}
			}
			snapshot, err := r.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := New()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			for _, state := range []*Registry{r, restored} {
				got := state.Quarantine()
				if len(got.Records) == 0 {
					got.Records = nil
				}
				if diff := cmp.Diff(test.want, got, protocmp.Transform()); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
	if err := DecodeQuarantineResult(New().Apply(1, QuarantineCommand(start, begin, "", start))); err == nil {
		t.Error("a quarantine without a part was accepted")
	}
}

var start = time.Unix(1_000_000, 0)

// TestQuarantineRecords guards against records without bound, and against an active
// quarantine that is dropped for one that has ended.
func TestQuarantineRecords(t *testing.T) {
	r := New()
	index := uint64(0)
	apply := func(action QuarantineChange_Action, part string) {
		index++
		r.Apply(index, QuarantineCommand(start.Add(time.Duration(index)*time.Second), action, part, start.Add(time.Hour)))
	}
	apply(QuarantineChange_ACTION_BEGIN, "oldest")
	for i := range maxQuarantineRecords {
		part := fmt.Sprint("p", i)
		apply(QuarantineChange_ACTION_BEGIN, part)
		if i == 5 {
			apply(QuarantineChange_ACTION_EXPIRE, part)
		}
	}
	q := r.Quarantine()
	got := []any{len(q.Records), q.Record("oldest").GetActive(), q.Record("p5") == nil, q.Record("p6").GetActive()}
	if diff := cmp.Diff([]any{maxQuarantineRecords, true, true, true}, got); diff != "" {
		t.Error(diff)
	}
}
