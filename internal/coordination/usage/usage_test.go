package usage

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

const ms = time.Millisecond

var windows = Windows{Length: 5 * time.Second, Lateness: 10 * time.Second}

// TestWindows guards against windows that begin elsewhere than at multiples of their
// length since the Unix epoch, and against reports that are given up early or sent
// late.
func TestWindows(t *testing.T) {
	tests := map[string]struct {
		at                time.Time
		want, late        uint64
		hasLate           bool
		end, bound, isDue time.Time
	}{
		"begin":            {time.Unix(1767225600, 0), 353445120, 353445117, true, time.Unix(1767225605, 0), time.Unix(1767225609, 0), time.Unix(1767225615, 0)},
		"last millisecond": {time.UnixMilli(1767225604999), 353445120, 353445117, true, time.Unix(1767225605, 0), time.Unix(1767225609, 0), time.Unix(1767225615, 0)},
		"next":             {time.Unix(1767225605, 0), 353445121, 353445118, true, time.Unix(1767225610, 0), time.Unix(1767225614, 0), time.Unix(1767225620, 0)},
		"epoch":            {time.Unix(3, 0), 0, 0, false, time.Unix(5, 0), time.Unix(9, 0), time.Unix(15, 0)},
		"before the epoch": {time.Unix(-3, 0), 0, 0, false, time.Unix(5, 0), time.Unix(9, 0), time.Unix(15, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := windows.At(test.at)
			late, hasLate := windows.LastLate(test.at)
			got := []any{w, late, hasLate, windows.End(w), windows.CloseBound(w), windows.Due(w)}
			if diff := cmp.Diff([]any{test.want, test.late, test.hasLate, test.end, test.bound, test.isDue}, got); diff != "" {
				t.Error(diff)
			}
			if hasLate && (windows.Due(late).After(test.at) || !windows.Due(late+1).After(test.at)) {
				t.Errorf("window %d is the last late one at %s", late, test.at)
			}
		})
	}
}

// TestClock guards against requests that are counted in another window because the wall
// clock of one host steps, this host's or another's.
func TestClock(t *testing.T) {
	const hour = time.Hour
	truth := time.Unix(1767225600, 0)
	tests := map[string]struct {
		includeOwn bool
		own        time.Duration
		others     []time.Duration // errors of the clocks of other hosts
		want       time.Duration
	}{
		"alone":                               {false, 7 * ms, nil, 7 * ms},
		"own steps, three others":             {false, hour, []time.Duration{0, 1 * ms, 2 * ms}, 1 * ms},
		"own steps back, two others":          {false, -hour, []time.Duration{0, 1 * ms}, 0},
		"another steps":                       {false, 0, []time.Duration{0, hour, 2 * ms}, 2 * ms},
		"another steps back":                  {false, 0, []time.Duration{0, -hour, 2 * ms}, 0},
		"a registrar and its entry step":      {false, hour, []time.Duration{hour, 0, 1 * ms}, 1 * ms},
		"a registrar steps, its clock counts": {true, hour, []time.Duration{0, 1 * ms}, 1 * ms},
		"two of six step":                     {false, 0, []time.Duration{hour, hour, 0, 1 * ms, 2 * ms, 3 * ms}, 2 * ms},
		"two of six step back":                {false, 0, []time.Duration{-hour, -hour, 0, 1 * ms, 2 * ms, 3 * ms}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewClock(test.includeOwn)
			steady := 50 * time.Hour
			for i, wrong := range test.others {
				// The readings were under way for 30 ms, the best of them for none.
				for _, delay := range []time.Duration{30 * ms, 0, 30 * ms} {
					c.Observe(string(rune('a'+i)), steady, uint64(truth.Add(wrong-delay).UnixMilli()))
				}
			}
			got := c.Now(steady+time.Second, truth.Add(time.Second+test.own))
			if diff := cmp.Diff(truth.Add(time.Second+test.want), got); diff != "" {
				t.Error(diff)
			}
			// All readings are too old now.
			if got := c.Now(steady+hour, truth.Add(hour)); !got.Equal(truth.Add(hour)) {
				t.Errorf("time %s from readings that are too old", got)
			}
		})
	}
}

// TestClockBounds guards against readings without bound, and against senseless ones.
func TestClockBounds(t *testing.T) {
	c := NewClock(false)
	for i := range 10 * maxClocks {
		c.Observe(string(rune('a'+i)), 0, 1)
	}
	for range 10 * clockSamples {
		c.Observe("a", 0, 1)
	}
	c.Observe("b", 0, 0)
	c.Observe("c", 0, 1<<63)
	if diff := cmp.Diff([]int{maxClocks, clockSamples, 1, 1}, []int{len(c.readings), len(c.readings["a"]), len(c.readings["b"]), len(c.readings["c"])}); diff != "" {
		t.Error(diff)
	}
}

// TestCounter guards against counts that are not sent again after they have changed,
// that are sent though they have not, and that are kept without bound.
func TestCounter(t *testing.T) {
	c := NewCounter()
	c.Add(7, "a")
	c.Add(7, "a")
	first, last := c.Changed(0)
	unchanged, _ := c.Changed(last)
	c.Add(7, "b")
	c.Add(8, "a")
	c.Forget(8)
	second, _ := c.Changed(last)
	counts := func(window, n uint64) []*peer.UsageCounts {
		return []*peer.UsageCounts{{Window: window, Counts: []*peer.AccountCount{{Account: "a", Count: n}}}}
	}
	if diff := cmp.Diff([][]*peer.UsageCounts{counts(7, 2), nil, counts(8, 1)}, [][]*peer.UsageCounts{first, unchanged, second}, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	for i := range maxAccounts + 5 {
		c.Add(9, string(rune(i))+"-")
	}
	if n := len(c.windows[9]); n > maxAccounts || c.Dropped() == 0 {
		t.Errorf("%d client accounts are counted, %d requests are dropped", n, c.Dropped())
	}
}

// TestTable guards against counts that are lost, doubled or lowered when messages are
// repeated, reordered or lost, when entries restart, and when registrars exchange what
// they have: each registrar receives any selection of the messages in any order, and
// the merged counts are those of the newest messages that any of them received.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type key struct {
			source  Source
			window  uint64
			account string
		}
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		sent, received := map[key]uint64{}, map[key]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			k := key{
				Source{rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"), rapid.Uint64Range(1, 2).Draw(t, "incarnation")},
				rapid.Uint64Range(4, 9).Draw(t, "window"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
			}
			sent[k] += rapid.Uint64Range(0, 3).Draw(t, "more")
			// An older count may arrive after a newer one.
			count := rapid.Uint64Range(0, sent[k]).Draw(t, "count")
			for _, table := range tables {
				if rapid.Bool().Draw(t, "arrives") {
					table.Merge(k.source, []*peer.UsageCounts{{Window: k.window, Counts: []*peer.AccountCount{{Account: k.account, Count: count}}}}, 5, 8)
					if k.window >= 5 && k.window <= 8 {
						received[k] = max(received[k], count)
					}
				}
			}
		}
		holder := tables[0]
		for _, other := range tables {
			holder.Import(other.Export([]uint64{4, 5, 6, 7, 8, 9}, 0), 0, 5, 8)
			holder.Import(other.Export([]uint64{6}, 0), 0, 5, 8)
		}
		for window := uint64(4); window <= 9; window++ {
			want, got := map[string]uint64{}, map[string]uint64{}
			for k, n := range received {
				if k.window == window {
					want[k.account] += n
				}
			}
			for _, c := range holder.Sum(window) {
				got[c.Account] = c.Count
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("window %d: %s", window, diff)
			}
		}
		holder.Forget(100, 0)
		if holder.cells != 0 || len(holder.windows) != 0 {
			t.Fatalf("%d counts are left", holder.cells)
		}
	})
}

// TestIsComplete guards against a window that is closed before an entry has sent its
// last counts, or that waits for an entry that has ended.
func TestIsComplete(t *testing.T) {
	tests := map[string]struct {
		change func(*Table)
		want   bool
	}{
		"all are past it":       {func(*Table) {}, true},
		"one is in it":          {func(t *Table) { t.Advance("e3", 7, 20*ms) }, false},
		"one went back":         {func(t *Table) { t.Advance("e1", 7, 20*ms) }, false},
		"old news of an entry":  {func(t *Table) { t.Advance("e1", 7, 5*ms) }, true},
		"the last one has left": {func(t *Table) { t.Advance("e3", 7, 20*ms); t.Leave("e3") }, true},
		"known to another": {func(t *Table) {
			other := NewTable()
			other.Advance("e3", 7, 0)
			t.Import(other.Export(nil, 0), 0, 0, 9)
		}, false},
		"silent for long":         {func(t *Table) { t.Advance("e3", 7, 0); t.Forget(0, entryMaxAge+5*ms) }, true},
		"silent, known elsewhere": {func(t *Table) { o := NewTable(); o.Advance("e3", 7, 0); t.Import(o.Export(nil, time.Minute), 0, 0, 9) }, true},
		"no entry is known":       {func(t *Table) { t.Leave("e1"); t.Leave("e2") }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Advance("e1", 8, 10*ms)
			table.Advance("e2", 9, 10*ms)
			test.change(table)
			if got := table.IsComplete(7); got != test.want {
				t.Errorf("IsComplete is %t, want %t", got, test.want)
			}
		})
	}
}

// TestTableBounds guards against counts and entries without bound.
func TestTableBounds(t *testing.T) {
	table := NewTable()
	for i := range maxCells/1000 + 2 {
		var counts []*peer.AccountCount
		for account := range 1000 {
			counts = append(counts, &peer.AccountCount{Account: string(rune(0x1000 + account)), Count: 1})
		}
		table.Merge(Source{"e", uint64(i)}, []*peer.UsageCounts{{Window: 1, Counts: counts}, {Window: 99, Counts: counts}}, 0, 2)
	}
	for i := range 2 * maxEntries {
		table.Advance(string(rune(0x1000+i)), 1, 0)
	}
	if diff := cmp.Diff([]int{maxCells, maxEntries, 1}, []int{table.cells, len(table.entries), len(table.windows)}); diff != "" {
		t.Error(diff)
	}
	if table.Dropped() == 0 {
		t.Error("no count was dropped")
	}
}

// TestSchedule guards against an old report that delays a newer one, against calls that
// exceed the rate or repeat without a pause, and against a report that is sent too late.
func TestSchedule(t *testing.T) {
	start := windows.End(9)
	type attempt struct {
		window uint64
		after  time.Duration // since start
	}
	tests := map[string]struct {
		closed  map[time.Duration][]uint64 // at which time, and which
		outcome Outcome
		until   time.Duration
		want    []attempt
	}{
		"newest first":     {map[time.Duration][]uint64{0: {8, 9}}, Accepted, 200 * ms, []attempt{{9, 0}, {8, 80 * ms}}},
		"growing pauses":   {map[time.Duration][]uint64{0: {9}}, Refused, 8 * time.Second, []attempt{{9, 0}, {9, 260 * ms}, {9, 760 * ms}, {9, 1760 * ms}, {9, 3760 * ms}, {9, 5760 * ms}, {9, 7760 * ms}}},
		"until it is late": {map[time.Duration][]uint64{0: {8}}, Unsure, time.Minute, []attempt{{8, 0}, {8, 260 * ms}, {8, 760 * ms}, {8, 1760 * ms}, {8, 3760 * ms}}},
		"too late":         {map[time.Duration][]uint64{0: {7}, 1 * ms: {7}}, Unsure, time.Second, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule(windows, 50)
			open := map[uint64]bool{}
			var got []attempt
			for after := time.Duration(0); after < test.until; after += 20 * ms {
				for _, w := range test.closed[after] {
					open[w] = true
				}
				var list []uint64
				for w := range maps.Keys(open) {
					list = append(list, w)
				}
				now := start.Add(after)
				w, ok := s.Next(now, list)
				if !ok {
					continue
				}
				got = append(got, attempt{w, after})
				s.Record(now, w, test.outcome)
				if test.outcome == Accepted {
					delete(open, w)
				}
			}
			if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(attempt{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestScheduleClock guards against a pause that lasts as long as a clock was ahead when
// it began.
func TestScheduleClock(t *testing.T) {
	s := NewSchedule(windows, 50)
	s.Record(windows.End(9).Add(time.Hour), 9, Refused)
	if _, ok := s.Next(windows.End(9), []uint64{9}); !ok {
		t.Error("the report waits for a clock that was corrected")
	}
}
