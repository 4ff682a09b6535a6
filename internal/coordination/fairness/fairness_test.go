package fairness

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

var start = time.Unix(1_000_000, 0)

func item(account string, weight, cost float64) *Item {
	return &Item{Account: account, Weight: weight, Cost: cost, Deadline: start.Add(time.Hour)}
}

// Guards against an account that gets more or less than the share of its weight
// while all accounts are waiting.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(100000)
		weights := map[string]float64{}
		total := 0.0
		for i := range rapid.IntRange(2, 6).Draw(t, "accounts") {
			name := fmt.Sprint("a", i)
			weights[name] = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
			total += weights[name]
			for range 2000 {
				if _, err := q.Push(start, item(name, weights[name], rapid.SampledFrom([]float64{1, 2, 5}).Draw(t, "cost"))); err != nil {
					t.Fatal(err)
				}
			}
		}
		served, all := map[string]float64{}, 0.0
		for range 1000 {
			it := q.Pop(start)
			served[it.Account] += it.Cost
			all += it.Cost
		}
		for name, w := range weights {
			if want := all * w / total; served[name] < want-6*w || served[name] > want+6*w {
				t.Fatalf("%s got a cost of %v of %v, want %v", name, served[name], all, want)
			}
		}
	})
}

// Guards against a sequence of operations that corrupts the counts, order or heap
// of the queue.
func TestQueueStaysWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20
		q := NewQueue(limit)
		waiting := map[*Item]bool{}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				it := item(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "account")), 1, float64(rapid.IntRange(1, 9).Draw(t, "cost")))
				it.Priority = int32(rapid.IntRange(-1, 1).Draw(t, "priority"))
				shed, err := q.Push(now, it)
				if err == nil {
					waiting[it] = true
				}
				if shed != nil {
					if !waiting[shed] {
						t.Fatal("an item that is not in the queue was shed")
					}
					delete(waiting, shed)
				}
			case 2:
				candidates := q.Candidates(4)
				if len(candidates) > 0 {
					it := candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "which")]
					q.Take(now, it)
					if !waiting[it] {
						t.Fatal("an item was taken twice")
					}
					delete(waiting, it)
				}
			case 3:
				for it := range waiting {
					q.Remove(it)
					delete(waiting, it)
					break
				}
			}
			if q.Len() != len(waiting) || q.Len() > limit {
				t.Fatalf("%d items, want %d and at most %d", q.Len(), len(waiting), limit)
			}
		}
		for range waiting {
			if it := q.Pop(now); it == nil || !waiting[it] {
				t.Fatal("an item was lost")
			}
		}
	})
}

// Guards against an item that waits behind a lower priority of its own account,
// and against a priority that has effect across accounts.
func TestPriority(t *testing.T) {
	q := NewQueue(10)
	var got []string
	for _, p := range []int32{0, 5, 0} {
		it := item("a", 1, 1)
		it.Priority = p
		q.Push(start, it)
		other := item("b", 1, 1)
		q.Push(start, other)
	}
	for it := q.Pop(start); it != nil; it = q.Pop(start) {
		got = append(got, fmt.Sprint(it.Account, it.Priority))
	}
	if diff := cmp.Diff([]string{"b0", "a5", "a0", "b0", "a0", "b0"}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a large account that fills the queue and excludes others.
func TestFullQueue(t *testing.T) {
	q := NewQueue(10)
	for range 10 {
		q.Push(start, item("large", 1, 1))
	}
	if _, err := q.Push(start, item("large", 1, 1)); !fault.Is(err, fault.Overloaded) || fault.From(err).Ran != fault.RanNo {
		t.Errorf("the next item of the large account: got %v, want an Overloaded fault that did not run", err)
	}
	shed, err := q.Push(start, item("small", 1, 1))
	if err != nil || shed == nil || shed.Account != "large" {
		t.Errorf("the item of the small account: got %v, %v; want an item of the large account shed", shed, err)
	}
}

// Guards against queueing requests that cannot be served in time, and against a
// wrong retry time: an item that is pushed again after retry_after_ms is accepted.
func TestEarlyRefusal(t *testing.T) {
	q := NewQueue(1000)
	now := start
	for range 400 {
		it := item("a", 1, 1)
		q.Push(now, it)
	}
	// Ten items a second leave.
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		q.Pop(now)
	}
	late := item("a", 1, 1)
	late.Deadline = now.Add(20 * time.Second)
	_, err := q.Push(now, late)
	if !fault.Is(err, fault.Overloaded) {
		t.Fatalf("an item that would wait 30 s with 20 s to its deadline: %v", err)
	}
	after := fault.From(err).RetryAfter
	if after < 27*time.Second || after > 33*time.Second {
		t.Errorf("the retry time is %v, want about 30 s", after)
	}
	other := item("b", 1, 1)
	other.Deadline = now.Add(time.Second)
	if _, err := q.Push(now, other); err != nil {
		t.Errorf("another account: %v", err)
	}
	for end := now.Add(after); now.Before(end); now = now.Add(100 * time.Millisecond) {
		q.Pop(now)
	}
	late.Deadline = now.Add(time.Second)
	if _, err := q.Push(now, late); err != nil {
		t.Errorf("after %v: %v", after, err)
	}
}

// Guards against limits that are not enforced, and against a wrong retry time.
func TestLimiter(t *testing.T) {
	l := NewLimiter()
	l.SetLimits(map[string]Limit{"rate": {PerSecond: 10, Burst: 2}, "few": {MaxConcurrent: 1}})
	now := start
	for range 2 {
		if err := l.Acquire(now, "rate"); err != nil {
			t.Fatal(err)
		}
	}
	err := l.Acquire(now, "rate")
	if !fault.Is(err, fault.RateLimited) || fault.From(err).Ran != fault.RanNo {
		t.Fatalf("got %v", err)
	}
	if after := fault.From(err).RetryAfter; after != 100*time.Millisecond {
		t.Errorf("the retry time is %v, want 100 ms", after)
	}
	if err := l.Acquire(now.Add(100*time.Millisecond), "rate"); err != nil {
		t.Errorf("after the retry time: %v", err)
	}
	if err := l.Acquire(now, "few"); err != nil {
		t.Fatal(err)
	}
	if err := l.Acquire(now, "few"); !fault.Is(err, fault.RateLimited) {
		t.Errorf("a second concurrent request: got %v, want a RateLimited fault", err)
	}
	l.Release("few")
	if err := l.Acquire(now, "few"); err != nil {
		t.Errorf("after the end of the first request: %v", err)
	}
}

// Guards against more retries than ten and a tenth of the first attempts.
func TestBudget(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	const firsts = 1000
	for range firsts {
		b.RecordFirstAttempt()
		for range 3 {
			if b.TryRetry() {
				retries++
			}
		}
	}
	if retries > 10+firsts/10 || retries < firsts/10 {
		t.Errorf("%d retries for %d first attempts, want at least a tenth and at most ten more", retries, firsts)
	}
}

// Guards against memory use that grows with the number of accounts ever seen.
func TestMemory(t *testing.T) {
	const accounts = 7900
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	limits := map[string]Limit{}
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
		limits[names[i]] = Limit{PerSecond: 10, Burst: 10}
	}
	before := heap()
	l, q := NewLimiter(), NewQueue(4096)
	l.SetLimits(limits)
	now := start
	for range 3 {
		for _, name := range names {
			now = now.Add(time.Millisecond)
			if l.Acquire(now, name) == nil {
				q.Push(now, item(name, 1, 1))
				q.Pop(now)
				l.Release(name)
			}
		}
	}
	used := heap() - before
	t.Logf("%d bytes for %d accounts", used, accounts)
	if used > 4<<20 {
		t.Errorf("%d bytes for %d accounts, want at most 4 MiB", used, accounts)
	}
	if len(q.flows) > 2*sweepThreshold {
		t.Errorf("%d idle accounts are kept", len(q.flows))
	}
	runtime.KeepAlive(l)
}

func BenchmarkPushPop(b *testing.B) {
	q := NewQueue(4096)
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
		q.Push(start, item(names[i], 1, 1))
		q.Push(start, item(names[i], 1, 1))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		q.Push(start, item(names[i%len(names)], 1, 1))
		q.Pop(start)
	}
}
