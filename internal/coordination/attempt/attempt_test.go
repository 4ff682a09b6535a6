package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// simulation is an agent that restarts and an entry that sends each attempt once,
// over a network that duplicates, delays and reorders messages. It counts runs
// and records for which attempts the agent reported that they do not run.
type simulation struct {
	t           *rapid.T
	now         time.Time
	incarnation uint64
	table       *Table
	// pending holds messages in flight, including copies.
	pending []message
	sent    int
	// running holds the attempts that run in this incarnation.
	running []Key
	runs    map[Key]int
	// notRun maps an attempt to the source of the report that it does not run.
	notRun     map[Key]string
	phases     map[Key]Phase
	duplicated map[Key]bool
}

type message struct {
	in Input
	// awaited is set if the sender waits for the answer. The answer to a copy
	// reaches nobody.
	awaited bool
}

// isProof reports whether a refusal proves that the attempt does not run. A
// refusal for another incarnation is no proof if there are copies: the other
// incarnation may have run one of them. An entry sends an attempt once, and TCP
// delivers it to one process, so copies violate the protocol; every other refusal
// is proof in spite of them.
func (sim *simulation) isProof(in Dispatch, err *fault.Error) bool {
	return err.Ran == fault.RanNo && !(err.Kind == fault.StaleIncarnation && sim.duplicated[in.Key])
}

func (sim *simulation) restart() {
	sim.incarnation++
	sim.table = New(sim.incarnation, sim.now)
	sim.running = nil
}

// send queues a dispatch or a cancellation for delivery, with copies.
func (sim *simulation) send(in Input) {
	sim.pending = append(sim.pending, message{in: in, awaited: true})
	for range rapid.IntRange(0, 2).Draw(sim.t, "copies") {
		sim.pending = append(sim.pending, message{in: in})
		if d, ok := in.(Dispatch); ok {
			sim.duplicated[d.Key] = true
		}
	}
}

func (sim *simulation) recordNotRun(key Key, source string) {
	if sim.runs[key] > 0 {
		sim.t.Fatalf("%v: %s reports that it does not run, but it has run", key, source)
	}
	sim.notRun[key] = source
}

// deliver passes one pending message to the agent.
func (sim *simulation) deliver() {
	if len(sim.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.pending)-1).Draw(sim.t, "message")
	m := sim.pending[i]
	sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
	effect := sim.table.Step(sim.now, m.in)
	switch in := m.in.(type) {
	case Dispatch:
		sim.handleDispatch(in, effect, m.awaited)
	case Cancel:
		if effect.State == peer.AttemptState_ATTEMPT_STATE_NOT_RUN {
			sim.recordNotRun(in.Key, "a cancellation")
		}
		if effect.State == peer.AttemptState_ATTEMPT_STATE_FINISHED && sim.phases[in.Key] != Finished {
			sim.t.Fatalf("%v: reported as finished in phase %v", in.Key, sim.phases[in.Key])
		}
	}
}

func (sim *simulation) handleDispatch(in Dispatch, effect Effect, awaited bool) {
	if effect.Verdict == Reject {
		if awaited && sim.isProof(in, effect.Fault) {
			sim.recordNotRun(in.Key, effect.Fault.Kind.String())
		}
		return
	}
	// Some attempts are refused by the admission, or cancelled before they
	// are forwarded.
	switch rapid.IntRange(0, 3).Draw(sim.t, "course") {
	case 0:
		sim.table.Step(sim.now, Refuse{Key: in.Key, Kind: fault.Overloaded})
		sim.recordNotRun(in.Key, "the admission")
		return
	case 1:
		sim.table.Step(sim.now, Cancel{Key: in.Key, Incarnation: sim.incarnation, Window: in.Window})
	}
	if sim.table.Step(sim.now, Begin{Key: in.Key}).Verdict != Run {
		return
	}
	if rapid.IntRange(0, 9).Draw(sim.t, "dial") == 0 {
		sim.table.Step(sim.now, Unsent{Key: in.Key, Kind: fault.Unavailable})
		sim.recordNotRun(in.Key, "a failed dial")
		return
	}
	sim.runs[in.Key]++
	if sim.runs[in.Key] > 1 {
		sim.t.Fatalf("%v: runs %d times", in.Key, sim.runs[in.Key])
	}
	if source, ok := sim.notRun[in.Key]; ok {
		sim.t.Fatalf("%v: runs, but %s reported that it does not", in.Key, source)
	}
	sim.phases[in.Key] = Running
	sim.running = append(sim.running, in.Key)
}

// finish ends one running attempt.
func (sim *simulation) finish() {
	if len(sim.running) == 0 {
		return
	}
	key := sim.running[0]
	sim.running = sim.running[1:]
	if rapid.Bool().Draw(sim.t, "whole") {
		sim.phases[key] = Finished
		sim.table.Step(sim.now, Finish{Key: key, Answer: &peer.StoredAnswer{Status: 200}})
		return
	}
	sim.phases[key] = Stopped
	sim.table.Step(sim.now, Stop{Key: key})
}

// Guards against an attempt that runs twice, and against a report of "not run"
// that is or becomes wrong, when messages are duplicated, delayed or reordered
// or the agent restarts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: time.Unix(1000, 0), runs: map[Key]int{}, notRun: map[Key]string{}, phases: map[Key]Phase{}, duplicated: map[Key]bool{}}
		sim.restart()
		var seen []Dispatch
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				sim.sent++
				d := Dispatch{
					Key: Key{RequestID: fmt.Sprint("r-", sim.sent), Number: 1}, Incarnation: sim.incarnation,
					Window: sim.table.Window(sim.now), Repeatable: rapid.Bool().Draw(t, "repeatable"),
				}
				seen = append(seen, d)
				sim.send(d)
			case 3:
				if len(seen) > 0 {
					d := rapid.SampledFrom(seen).Draw(t, "cancel")
					sim.send(Cancel{Key: d.Key, Incarnation: d.Incarnation, Window: d.Window, KeepRunning: rapid.Bool().Draw(t, "keep")})
				}
			case 4, 5, 6:
				sim.deliver()
			case 7:
				sim.finish()
			case 8:
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "seconds")) * time.Second)
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					sim.restart()
				}
			}
		}
		for len(sim.pending) > 0 {
			sim.deliver()
		}
	})
}

// Guards against a wrong answer to a dispatch or a cancellation in each phase.
func TestAnswers(t *testing.T) {
	key := Key{RequestID: "r", Number: 1}
	dispatch := Dispatch{Key: key, Incarnation: 7, Window: 1}
	repeatable := Dispatch{Key: key, Incarnation: 7, Window: 1, Repeatable: true}
	cancel := Cancel{Key: key, Incarnation: 7, Window: 1}
	answer := &peer.StoredAnswer{Status: 200, Body: []byte("done")}
	type step struct {
		after time.Duration
		in    Input
	}
	tests := map[string]struct {
		steps []step
		kind  string
		want  Effect
	}{
		"run":                   {[]step{{0, dispatch}}, "", Effect{Verdict: Run}},
		"twice":                 {[]step{{0, dispatch}, {0, dispatch}}, "duplicate_attempt/unknown", Effect{Verdict: Reject}},
		"again after its end":   {[]step{{0, dispatch}, {0, Begin{key}}, {0, Finish{Key: key}}, {0, dispatch}}, "duplicate_attempt/yes", Effect{Verdict: Reject}},
		"again after a refusal": {[]step{{0, dispatch}, {0, Refuse{Key: key, Kind: fault.NoLease}}, {0, dispatch}}, "no_lease/no", Effect{Verdict: Reject}},
		"after a tombstone":     {[]step{{0, cancel}, {0, dispatch}}, "cancelled/no", Effect{Verdict: Reject}},
		"other incarnation":     {[]step{{0, Dispatch{Key: key, Incarnation: 6, Window: 1}}}, "stale_incarnation/no", Effect{Verdict: Reject}},
		"oldest window":         {[]step{{29 * time.Second, dispatch}}, "", Effect{Verdict: Run}},
		"old window":            {[]step{{30 * time.Second, dispatch}}, "stale_window/no", Effect{Verdict: Reject}},
		"very old window":       {[]step{{50 * time.Second, dispatch}}, "stale_window/unknown", Effect{Verdict: Reject}},
		"future window":         {[]step{{0, Dispatch{Key: key, Incarnation: 7, Window: 2}}}, "stale_window/unknown", Effect{Verdict: Reject}},
		"no number":             {[]step{{0, Dispatch{Key: Key{RequestID: "r"}, Incarnation: 7, Window: 1}}}, "bad_request/no", Effect{Verdict: Reject}},
		"begin after a cancel":  {[]step{{0, dispatch}, {0, cancel}, {0, Begin{key}}}, "cancelled/no", Effect{Verdict: Reject}},
		"cancel unknown":        {[]step{{0, cancel}}, "", Effect{State: peer.AttemptState_ATTEMPT_STATE_NOT_RUN}},
		"cancel after removal":  {[]step{{50 * time.Second, cancel}}, "", Effect{State: peer.AttemptState_ATTEMPT_STATE_FORGOTTEN}},
		"cancel other":          {[]step{{0, Cancel{Key: key, Incarnation: 6, Window: 1}}}, "", Effect{State: peer.AttemptState_ATTEMPT_STATE_FORGOTTEN}},
		"cancel repeatable":     {[]step{{0, repeatable}, {0, Begin{key}}, {0, cancel}}, "", Effect{Verdict: Interrupt, State: peer.AttemptState_ATTEMPT_STATE_STOPPED}},
		"cancel once":           {[]step{{0, dispatch}, {0, Begin{key}}, {0, cancel}}, "", Effect{State: peer.AttemptState_ATTEMPT_STATE_RUNNING}},
		"keep running": {[]step{{0, repeatable}, {0, Cancel{Key: key, Incarnation: 7, Window: 1, KeepRunning: true}}}, "",
			Effect{State: peer.AttemptState_ATTEMPT_STATE_RUNNING}},
		"cancel finished": {[]step{{0, dispatch}, {0, Begin{key}}, {0, Finish{Key: key, Answer: answer}}, {35 * time.Second, cancel}}, "",
			Effect{State: peer.AttemptState_ATTEMPT_STATE_FINISHED, Answer: answer}},
		"cancel lost": {[]step{{0, dispatch}, {0, Begin{key}}, {0, Stop{Key: key}}, {0, cancel}}, "", Effect{State: peer.AttemptState_ATTEMPT_STATE_FORGOTTEN}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := New(7, now)
			var got Effect
			for _, s := range test.steps {
				now = now.Add(s.after)
				got = table.Step(now, s.in)
			}
			kind := ""
			if got.Fault != nil {
				kind = got.Fault.Kind.String() + "/" + got.Fault.Ran.String()
			}
			got.Fault = nil
			if diff := cmp.Diff(test.want, got, protocmp.Transform()); diff != "" || kind != test.kind {
				t.Errorf("fault %q, want %q\n%s", kind, test.kind, diff)
			}
		})
	}
}

// Guards against memory that grows with time or with the size of answers, and
// against a table that drops records when it is full.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(7, now)
	body := make([]byte, 60<<10)
	for i := range 400 {
		key := Key{RequestID: fmt.Sprint("r-", i), Number: 1}
		table.Step(now, Dispatch{Key: key, Incarnation: 7, Window: table.Window(now)})
		table.Step(now, Begin{Key: key})
		table.Step(now, Finish{Key: key, Answer: &peer.StoredAnswer{Status: 200, Body: body}})
		now = now.Add(200 * time.Millisecond)
	}
	if n, size := table.Len(), table.AnswersBytes(); n > 250 || size > MaxAnswersBytes || size < MaxAnswersBytes/2 {
		t.Errorf("%d records, %d bytes of answers", n, size)
	}
	now = now.Add(time.Minute)
	table.Step(now, Cancel{})
	if n, size := table.Len(), len(table.answerKeys); n != 0 || size != 0 || table.AnswersBytes() != 0 {
		t.Errorf("%d records and %d answers are left", n, size)
	}
	window := table.Window(now)
	for i := range MaxRecords {
		table.Step(now, Dispatch{Key: Key{RequestID: fmt.Sprint("f-", i), Number: 1}, Incarnation: 7, Window: window})
	}
	refused := Dispatch{Key: Key{RequestID: "late", Number: 1}, Incarnation: 7, Window: window}
	if got := table.Step(now, refused); got.Fault == nil || got.Fault.Ran != fault.RanNo {
		t.Errorf("full table: %v", got.Fault)
	}
	for i := range MaxRecords {
		table.Step(now, Refuse{Key: Key{RequestID: fmt.Sprint("f-", i), Number: 1}})
	}
	if got := table.Step(now, refused); got.Verdict == Run {
		t.Error("an attempt that was refused by a full table runs later")
	}
}
