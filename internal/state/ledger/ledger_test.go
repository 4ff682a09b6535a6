package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	granted    = peer.ClaimState_CLAIM_STATE_GRANTED
	inProgress = peer.ClaimState_CLAIM_STATE_IN_PROGRESS
	isDone     = peer.ClaimState_CLAIM_STATE_DONE
	isDropped  = peer.ClaimState_CLAIM_STATE_DONE_DROPPED
	reused     = peer.ClaimState_CLAIM_STATE_KEY_REUSED
	isUnknown  = peer.ClaimState_CLAIM_STATE_UNKNOWN
	absent     = peer.ClaimState_CLAIM_STATE_ABSENT

	refused   = peer.NotRunEvidence_NOT_RUN_EVIDENCE_REFUSED
	tombstone = peer.NotRunEvidence_NOT_RUN_EVIDENCE_TOMBSTONE
	notSent   = peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT
)

func key(name string) *peer.KeyRef {
	return &peer.KeyRef{ClientAccount: "a", Service: "s", Key: name}
}

func attempt(request string, number uint32) *peer.AttemptRef {
	return &peer.AttemptRef{RequestId: request, Number: number, AgentId: "n", AgentIncarnation: 1, BackendServer: "b"}
}

func digest(b byte) []byte { return []byte{b, 0, 0, 0, 0, 0, 0, 0, 31: 0} }

func answer(size int) *peer.CompleteRequest_Answer {
	return &peer.CompleteRequest_Answer{Answer: &peer.StoredAnswer{Status: 200, Body: make([]byte, size)}}
}

// model is a reference implementation of the ledger for one key.
type model struct {
	state   peer.ClaimState // granted while an attempt runs
	current string
	digest  byte
	last    string // the attempt that was released last
	changed uint64 // second of the last change
}

// history checks the invariant itself: at most one attempt of a key may run at a
// time. An attempt may run once it was granted, until there is evidence that it
// did not run.
type history struct {
	mayRun map[string]bool
}

func (h *history) recordGrant(t *rapid.T, id string) {
	for other, may := range h.mayRun {
		if may && other != id {
			t.Fatalf("attempt %s is granted while attempt %s may run", id, other)
		}
	}
	h.mayRun[id] = true
}

func name(a *peer.AttemptRef) string { return fmt.Sprint(a.RequestId, "/", a.Number) }

// Guards against two attempts of one key that may both run, and against any
// result that differs from the model, under random resends, late duplicates,
// wrong evidence, and snapshots at any time.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now := uint64(100 * 24 * 3600 * 1000)
		passed := uint64(0) // seconds of the ledger's time
		l.advance(now)
		models, histories := map[string]*model{}, map[string]*history{}
		pick := func(t *rapid.T) (string, *model, *history) {
			k := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
			if models[k] == nil {
				models[k], histories[k] = &model{state: absent}, &history{mayRun: map[string]bool{}}
			}
			return k, models[k], histories[k]
		}
		// Half of the attempts drawn are the current one of the key, so that
		// states are reached that need several steps.
		draw := func(t *rapid.T, m *model) *peer.AttemptRef {
			if m.current != "" && rapid.Bool().Draw(t, "current") {
				request, number, _ := strings.Cut(m.current, "/")
				return attempt(request, uint32(number[0]-'0'))
			}
			return attempt(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request"), rapid.Uint32Range(1, 3).Draw(t, "number"))
		}
		expire := func() {
			for k, m := range models {
				// An unresolved key never expires.
				if m.state != granted && m.state != isUnknown && passed-m.changed >= RetentionSeconds {
					*m, *histories[k] = model{state: absent}, history{mayRun: map[string]bool{}}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				k, m, h := pick(t)
				a, d := draw(t, m), byte(rapid.IntRange(1, 2).Draw(t, "digest"))
				if h.mayRun[name(a)] && m.current != name(a) {
					t.Skip("attempts have unique names")
				}
				want := m.claim(passed, name(a), d)
				got := l.Claim(now, &peer.ClaimRequest{Key: key(k), Digest: digest(d), Attempt: a}).State
				if got != want {
					t.Fatalf("claim %s: got %v, want %v", name(a), got, want)
				}
				if got == granted {
					h.recordGrant(t, name(a))
				}
			},
			"reassign": func(t *rapid.T) {
				k, m, h := pick(t)
				failed := draw(t, m)
				next := attempt(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "next"), failed.Number+uint32(rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "step")))
				if next.Number > 9 {
					t.Skip("names have one digit")
				}
				e := rapid.SampledFrom([]peer.NotRunEvidence{refused, tombstone, notSent, 0}).Draw(t, "evidence")
				d := byte(rapid.IntRange(1, 2).Draw(t, "digest"))
				want := m.reassign(passed, failed, next, d, e)
				if m.current == name(next) && want == granted && name(failed) != name(next) && failed.Number+1 == next.Number {
					// Evidence is true: the failed attempt did not run.
					h.mayRun[name(failed)] = false
				}
				got := l.Reassign(now, &peer.ReassignRequest{Key: key(k), Digest: digest(d), Failed: failed, Next: next, Evidence: e}).State
				if got != want {
					t.Fatalf("reassign %s to %s: got %v, want %v", name(failed), name(next), got, want)
				}
				if got == granted {
					h.recordGrant(t, name(next))
				}
			},
			"complete": func(t *rapid.T) {
				k, m, h := pick(t)
				req := &peer.CompleteRequest{Key: key(k), Attempt: draw(t, m)}
				before := m.state
				switch rapid.IntRange(0, 3).Draw(t, "outcome") {
				case 0:
					req.Outcome = answer(1)
				case 1:
					req.Outcome = answer(MaxAnswerBytes)
				case 2:
					req.Outcome = &peer.CompleteRequest_NotRun{NotRun: rapid.SampledFrom([]peer.NotRunEvidence{refused, tombstone, notSent}).Draw(t, "evidence")}
				case 3:
					req.Outcome = &peer.CompleteRequest_Unknown{Unknown: true}
				}
				want, ok := m.complete(passed, req)
				got, err := l.Complete(now, req)
				if (err == nil) != ok || ok && got != want {
					t.Fatalf("complete %s: got %v and %v, want %v and %v", name(req.Attempt), got, err, want, ok)
				}
				if ok && m.state == absent && before != absent {
					h.mayRun[name(req.Attempt)] = false
				}
			},
			"time": func(t *rapid.T) {
				for range rapid.IntRange(0, 2*RetentionSeconds/maxStepSeconds).Draw(t, "steps") {
					now += maxStepSeconds * 1000
					passed += maxStepSeconds
					l.advance(now)
				}
				expire()
			},
			"clock is set": func(t *rapid.T) {
				// The leader's clock is wrong by days; a forward step counts for at
				// most maxStepSeconds.
				days := rapid.IntRange(-20, 20).Draw(t, "days")
				now = uint64(int64(now) + int64(days)*24*3600*1000)
				if days > 0 {
					passed += maxStepSeconds
				}
				l.advance(now)
				expire()
			},
			"restore": func(t *rapid.T) {
				before := l.State()
				next, err := FromState(before)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(before.Records, next.State().Records); diff != "" {
					t.Fatal(diff)
				}
				l = next
			},
			"": func(t *rapid.T) {
				for k, m := range models {
					want := m.state
					if want == granted {
						want = inProgress
					}
					if got := l.Lookup(now, key(k)).State; got != want {
						t.Fatalf("lookup %s: got %v, want %v", k, got, want)
					}
				}
			},
		})
	})
}

func (m *model) claim(now uint64, id string, d byte) peer.ClaimState {
	switch {
	case m.state == absent && m.last == id:
		return absent
	case m.state == absent:
		*m = model{state: granted, current: id, digest: d, changed: now}
		return granted
	case m.digest != d:
		return reused
	case m.state == granted && m.current != id:
		return inProgress
	}
	return m.state
}

func (m *model) reassign(now uint64, failed, next *peer.AttemptRef, d byte, e peer.NotRunEvidence) peer.ClaimState {
	switch {
	case m.state == absent:
		return absent
	case m.digest != d:
		return reused
	case m.state == granted && m.current == name(next):
		return granted
	}
	allowed := m.current == name(failed) && next.Number == failed.Number+1
	allowed = allowed && (e == refused || e == tombstone || e == notSent && m.state == granted && failed.RequestId == next.RequestId)
	if allowed && (m.state == granted || m.state == isUnknown) {
		m.state, m.current, m.changed = granted, name(next), now
		return granted
	}
	if m.state == granted {
		return inProgress
	}
	return m.state
}

func (m *model) complete(now uint64, req *peer.CompleteRequest) (peer.ClaimState, bool) {
	id := name(req.Attempt)
	if m.state == absent {
		return absent, m.last == id && id != ""
	}
	if m.current != id {
		return 0, false
	}
	if m.state == granted || m.state == isUnknown {
		switch o := req.Outcome.(type) {
		case *peer.CompleteRequest_Answer:
			m.state, m.changed = isDone, now
			if len(o.Answer.Body) >= MaxAnswerBytes {
				m.state = isDropped
			}
		case *peer.CompleteRequest_NotRun:
			if m.state == granted || o.NotRun != notSent {
				*m = model{state: absent, last: id, changed: now}
			}
		case *peer.CompleteRequest_Unknown:
			m.state = isUnknown
		}
	}
	if m.state == granted {
		return inProgress, true
	}
	return m.state, true
}

// Guards against answers that are lost, kept too long, or exceed the memory
// limit together.
func TestAnswers(t *testing.T) {
	l := New()
	const size = MaxAnswerBytes - 64
	fits := MaxAnswersBytes / size
	run := func(i int) {
		k := fmt.Sprint("k", i)
		l.Claim(1000, &peer.ClaimRequest{Key: key(k), Digest: digest(1), Attempt: attempt(k, 1)})
		if _, err := l.Complete(1000, &peer.CompleteRequest{Key: key(k), Attempt: attempt(k, 1), Outcome: answer(size)}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range fits + 10 {
		run(i)
	}
	if l.AnswerBytes() > MaxAnswersBytes {
		t.Errorf("answers take %d bytes, at most %d are allowed", l.AnswerBytes(), MaxAnswersBytes)
	}
	if got := l.Lookup(1000, key("k0")).State; got != isDropped {
		t.Errorf("the oldest answer is %v", got)
	}
	last := l.Lookup(1000, key(fmt.Sprint("k", fits+9)))
	if last.State != isDone || len(last.Answer.GetBody()) != size {
		t.Errorf("the newest answer is %v with %d bytes", last.State, len(last.Answer.GetBody()))
	}
}

// Guards against a late duplicate of a claim that is granted again after the
// release of its attempt, and against an answer from an attempt that is no
// longer the current one.
func TestLateMessages(t *testing.T) {
	l := New()
	claim := func(request string) peer.ClaimState {
		return l.Claim(1000, &peer.ClaimRequest{Key: key("k"), Digest: digest(1), Attempt: attempt(request, 1)}).State
	}
	if got := claim("r1"); got != granted {
		t.Fatal(got)
	}
	release := &peer.CompleteRequest{Key: key("k"), Attempt: attempt("r1", 1), Outcome: &peer.CompleteRequest_NotRun{NotRun: tombstone}}
	for range 2 {
		if got, err := l.Complete(1000, release); err != nil || got != absent {
			t.Fatal(got, err)
		}
	}
	if got := claim("r1"); got != absent {
		t.Errorf("late duplicate of a released claim: %v", got)
	}
	if got := claim("r2"); got != granted {
		t.Errorf("next claim: %v", got)
	}
	if _, err := l.Complete(1000, &peer.CompleteRequest{Key: key("k"), Attempt: attempt("r1", 1), Outcome: answer(1)}); !fault.Is(err, fault.Conflict) {
		t.Errorf("answer of the released attempt: %v", err)
	}
}

// Guards against a table that loses records when they expire or move, when
// positions wrap, or when the index shrinks.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab table
		start := rapid.SampledFrom([]uint32{0, 1<<32 - 4096}).Draw(t, "start")
		tab.first, tab.head, tab.tail = start, start, start
		stored := map[id]record{}
		next := uint32(0)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				for range rapid.SampledFrom([]int{1, 50, 1000}).Draw(t, "count") {
					next++
					// Four ids share a home slot, so that searches probe more than one
					// slot.
					n := next % 3000
					r := record{id: id{byte(n &^ 3), byte(n >> 8), 8: byte(n)}, attempt: uint64(next), state: running}
					tab.append(r)
					stored[r.id] = r
				}
			},
			"drop": func(t *rapid.T) {
				for range min(tab.len(), rapid.SampledFrom([]int{1, 50, 1000}).Draw(t, "count")) {
					r := *tab.at(tab.head)
					tab.dropHead()
					if r.state != free {
						delete(stored, r.id)
					}
				}
			},
			"": func(t *rapid.T) {
				if tab.used != len(stored) {
					t.Fatalf("index holds %d ids, want %d", tab.used, len(stored))
				}
			},
			"find": func(t *rapid.T) {
				for k, r := range stored {
					pos, ok := tab.find(k)
					if !ok || *tab.at(pos) != r {
						t.Fatalf("record %v is missing or differs", k)
					}
				}
			},
		})
	})
}
