package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// busyPool returns a pool with one backend server, whose four slots are taken by
// requests of 400 ms: ten end in a second.
func busyPool(t *testing.T) *Pool {
	p := newPool(Config{}, 1, nil)
	for range 4 {
		p.Submit(start, request(1, start, time.Second))
	}
	p.Done(start, "pool", "s0", 1, Answered, 50*time.Millisecond, 400*time.Millisecond)
	if got := kindOf(p.Submit(start, request(1, start, time.Second))); got != "assign" {
		t.Fatalf("got %s", got)
	}
	return p
}

// refusable returns a request that has no time to wait.
func refusable(id string, priority int, now time.Time, left time.Duration) *Request {
	r := request(priority, now, 0)
	r.ID, r.Kind, r.Deadline = id, "kind", now.Add(left)
	return r
}

func refuse(t *testing.T, p *Pool, now time.Time, r *Request) Refuse {
	t.Helper()
	refusal, ok := p.Submit(now, r).(Refuse)
	if !ok {
		t.Fatal("not refused")
	}
	return refusal
}

// TestReturnSpread guards against refused callers that are told the same time, a time
// beyond a third of what they have left, or more in a while than can be served then,
// and against urgent ones that are told to come after others.
func TestReturnSpread(t *testing.T) {
	const left = 8 * time.Second
	p := busyPool(t)
	var times []time.Duration
	for i := range 15 {
		times = append(times, refuse(t, p, start, refusable(fmt.Sprint("r", i), 1, start, left)).RetryAfter)
	}
	urgent := refuse(t, p, start, refusable("u", 0, start, left)).RetryAfter
	if longest := slices.Max(times); longest > left/3 {
		t.Errorf("a caller with %v is told %v", left, longest)
	}
	perSecond := map[time.Duration]int{}
	for _, after := range times {
		perSecond[after/time.Second]++
	}
	for second, n := range perSecond {
		if n > 10 {
			t.Errorf("%d are told to come within second %d, ten can be served", n, second)
		}
	}
	slices.Sort(times)
	if n := len(slices.Compact(times)); n < 14 {
		t.Errorf("15 callers are told %d different times", n)
	}
	if urgent > times[0] {
		t.Errorf("an urgent caller is told %v, others %v and later", urgent, times[0])
	}
}

// TestReturnBounds guards against times that callers do not wait for, and against the
// longest possible wait in an answer.
func TestReturnBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(Config{}, rapid.IntRange(0, 2).Draw(t, "servers"), nil)
		now := start
		for i := range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			left := time.Duration(rapid.IntRange(1, 8000).Draw(t, "left")) * time.Millisecond
			r := refusable(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id")), rapid.IntRange(0, 2).Draw(t, "priority"), now, left)
			switch d := p.Submit(now, r).(type) {
			case Assign:
				if rapid.Bool().Draw(t, "ends") {
					p.Done(now, "pool", d.Server.ID, 1, Answered, time.Millisecond, 300*time.Millisecond)
				}
			case Refuse:
				if d.RetryAfter < minRetryAfter || d.RetryAfter > max(minRetryAfter, left/3) {
					t.Fatalf("a caller with %v is told %v (%v)", left, d.RetryAfter, d.Reason)
				}
				if d.ExpectedWait >= unservableWait {
					t.Fatalf("expected wait %v", d.ExpectedWait)
				}
			}
		}
	})
}

// TestReturning guards against a caller that comes back when it was told to and has to
// wait behind newcomers, and against one that gains by coming earlier.
func TestReturning(t *testing.T) {
	tests := map[string]struct {
		early time.Duration // before the time that it was told
		after string        // id of the request
		want  []string      // the order of the queue
	}{
		"at its time":         {after: "r", want: []string{"r", "new1", "new2"}},
		"a little early":      {early: returnTolerance, after: "r", want: []string{"r", "new1", "new2"}},
		"at once":             {early: time.Hour, after: "r", want: []string{"new1", "new2", "r"}},
		"much too late":       {early: -2 * returnGrace, after: "r", want: []string{"new1", "r", "new2"}},
		"another one's place": {after: "x", want: []string{"new1", "x", "new2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := busyPool(t)
			told := refuse(t, p, start, refusable("r", 1, start, 8*time.Second)).RetryAfter
			now := start.Add(max(10*time.Millisecond, told-test.early))
			submit := func(id string) {
				r := refusable(id, 1, now, 8*time.Second)
				r.LatestStart = now.Add(time.Second)
				if got := kindOf(p.Submit(now, r)); got != "wait" {
					t.Fatalf("%s: got %s", id, got)
				}
			}
			submit("new1")
			submit(test.after)
			submit("new2")
			var got []string
			for _, r := range p.services["pool"].queue {
				got = append(got, r.ID)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestEarlyKeepsTime guards against a caller that comes too early, is refused again, and
// is told a time other than its own.
func TestEarlyKeepsTime(t *testing.T) {
	p := busyPool(t)
	told := refuse(t, p, start, refusable("r", 1, start, 8*time.Second)).RetryAfter
	early := start.Add(20 * time.Millisecond)
	again := refuse(t, p, early, refusable("r", 1, early, 8*time.Second)).RetryAfter
	if want := max(minRetryAfter, told-20*time.Millisecond); again != want {
		t.Errorf("told %v, then %v, want %v", told, again, want)
	}
}

// TestReservations guards against memory that grows with the refused requests, and
// against expected returns that count after their time.
func TestReservations(t *testing.T) {
	p := busyPool(t)
	svc := p.services["pool"]
	for i := range 3 * maxReservations {
		p.refuse(start, svc, refusable(fmt.Sprint(i), 1, start, 8*time.Second), fault.Overloaded, QueueTooLong, 0)
	}
	if n := len(svc.returns.reservations); n > maxReservations {
		t.Errorf("%d requests are remembered, want at most %d", n, maxReservations)
	}
	if n := svc.returns.pending(start, 1, 0); n != 3*maxReservations {
		t.Errorf("%d requests are expected, want %d", n, 3*maxReservations)
	}
	if n := svc.returns.pending(start, 0, 0); n != 0 {
		t.Errorf("%d more urgent requests are expected, want none", n)
	}
	later := start.Add(8 * time.Second)
	p.refuse(later, svc, refusable("last", 1, later, 8*time.Second), fault.Overloaded, QueueTooLong, 0)
	if n := len(svc.returns.reservations); n != 1 {
		t.Errorf("%d requests are remembered after their time, want only the new one", n)
	}
	if n := svc.returns.pending(later.Add(8*time.Second), 1, 0); n != 0 {
		t.Errorf("%d requests are expected after their time", n)
	}
}
