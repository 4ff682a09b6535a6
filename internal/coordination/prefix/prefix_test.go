package prefix

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestWeigh guards against a saving that outweighs a longer wait, against a saving
// that is ignored, and against a reported outcome that is not the one that decided.
func TestWeigh(t *testing.T) {
	other := Offer{Wait: 0.1}
	tests := map[string]struct {
		offers  []Offer
		best    int
		outcome Outcome
	}{
		"nothing cached":       {[]Offer{other, {Wait: 0.2}}, 0, Unknown},
		"equal without saving": {[]Offer{other, other}, 0, Unknown},
		"saving":               {[]Offer{other, {Wait: 0.1, Tokens: 1000, Held: 1, TokensPerSecond: 10000}}, 1, Followed},
		"longer wait":          {[]Offer{other, {Wait: 0.3, Tokens: 1000, Held: 1, TokensPerSecond: 10000}}, 0, Outweighed},
		"longer wait, larger saving": {
			[]Offer{other, {Wait: 0.3, Tokens: 3000, Held: 1, TokensPerSecond: 10000}}, 1, Followed,
		},
		"hardly held":   {[]Offer{other, {Wait: 0.15, Tokens: 1000, Held: 0.1, TokensPerSecond: 10000}}, 0, Outweighed},
		"unknown speed": {[]Offer{other, {Wait: 0.1, Tokens: 1000, Held: 1}}, 0, Unknown},
		"crowded": {
			[]Offer{other, {Wait: 0.1, Tokens: 1000, Held: 1, TokensPerSecond: 10000, Followers: 3, Peers: 2, FollowerWait: 0.02}}, 0, Crowded,
		},
		"smaller saving, shorter wait": {
			[]Offer{
				other, {Wait: 0.5, Tokens: 1000, Held: 1, TokensPerSecond: 10000},
				{Wait: 0.1, Tokens: 500, Held: 1, TokensPerSecond: 10000},
			}, 2, Partial,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			best, outcome := Weigh(test.offers)
			if best != test.best || outcome != test.outcome {
				t.Errorf("got %d, %v, want %d, %v", best, outcome, test.best, test.outcome)
			}
		})
	}
}

// TestWeighNeverWaitsLonger guards against a choice whose expected wait exceeds
// that of another offer by more than its expected saving.
func TestWeighNeverWaitsLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Offer {
			return Offer{
				Wait: rapid.Float64Range(0, 2).Draw(t, "wait"), Tokens: rapid.Float64Range(0, 1e5).Draw(t, "tokens"),
				Held: rapid.Float64Range(0, 1).Draw(t, "held"), TokensPerSecond: rapid.Float64Range(0, 1e5).Draw(t, "speed"),
				Followers: rapid.Float64Range(0, 20).Draw(t, "followers"), Peers: rapid.Float64Range(0, 20).Draw(t, "peers"),
				FollowerWait: rapid.Float64Range(0, 0.1).Draw(t, "follower wait"),
			}
		}), 1, 12).Draw(t, "offers")
		best, _ := Weigh(offers)
		for i, o := range offers {
			if offers[best].Wait-o.Wait > offers[best].Saving()+o.Crowding()+1e-9 {
				t.Errorf("offer %d waits %v longer than offer %d and saves %v", best, offers[best].Wait-o.Wait, i, offers[best].Saving())
			}
		}
	})
}

// TestProbability guards against prefixes that count as cached after newer tokens
// have filled the cache, without room, or when the knowledge is old.
func TestProbability(t *testing.T) {
	tests := map[string]struct {
		arrived, room float64
		age, lifetime time.Duration
		want          float64
	}{
		"just sent":        {0, 1000, 0, time.Minute, 1},
		"half full":        {500, 1000, 0, 0, 1},
		"full":             {1000, 1000, 0, 0, 0.5},
		"replaced":         {1300, 1000, 0, 0, 0},
		"no room":          {0, 0, 0, 0, 0},
		"negative room":    {0, -1, 0, 0, 0},
		"old":              {0, 1000, time.Minute, time.Minute, math.Exp(-1)},
		"old, no lifetime": {0, 1000, time.Hour, 0, 1},
		"from the future":  {0, 1000, -time.Second, time.Minute, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Probability(test.arrived, test.room, test.age, test.lifetime); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestTrust guards against estimates that go on being believed although nothing is
// found, against trust that never returns, and against invalid reports.
func TestTrust(t *testing.T) {
	type report struct {
		n                int
		memory, expected float64
		cached           float64
	}
	tests := map[string]struct {
		reports  []report
		memory   float64
		min, max float64
	}{
		"no reports":                    {nil, 0, 1, 1},
		"all found":                     {[]report{{1000, 0, 800, 800}}, 0, 1, 1},
		"more found than expected":      {[]report{{1000, 0, 800, 8000}}, 0, 1, 1},
		"a few misses":                  {[]report{{3, 0, 200, 0}}, 0, 0.7, 0.8},
		"nothing found":                 {[]report{{1000, 0, 800, 0}}, 0, 0, 0},
		"half found, the later not":     {[]report{{100, 0, 800, 800}, {100, 0, 800, 0}}, 0, 0.3, 0.5},
		"nothing while memory is full":  {[]report{{1000, 0.95, 800, 0}}, 0.95, 0, 0},
		"found while memory is free":    {[]report{{1000, 0.95, 800, 0}}, 0.2, 1, 1},
		"found again":                   {[]report{{1000, 0, 800, 0}, {1000, 0, 800, 800}}, 0, 0.9, 1},
		"not a number":                  {[]report{{10, 0, math.NaN(), math.NaN()}}, 0, 1, 1},
		"negative":                      {[]report{{10, 0, 800, -1}, {10, 0, -800, 1}}, 0, 1, 1},
		"memory beyond its size or not": {[]report{{10, 7, 800, 0}, {10, math.NaN(), 800, 800}}, 9, 0, 0.25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var x Experience
			for _, r := range test.reports {
				for range r.n {
					x.Record(r.memory, r.expected, r.cached)
				}
			}
			if got := x.Trust(test.memory); got < test.min || got > test.max {
				t.Errorf("got %.3f, want %.2f to %.2f", got, test.min, test.max)
			}
		})
	}
}

// TestParseParts guards against the request's own part counting as shared, and
// against invalid parts that make two different prompts share a prefix.
func TestParseParts(t *testing.T) {
	tests := map[string]struct {
		list   string
		tokens []float64
		total  float64
	}{
		"empty":              {"", nil, 0},
		"own part only":      {"a:700", nil, 700},
		"one shared part":    {"a:40, b:700", []float64{40}, 740},
		"two shared parts":   {"a:40,b:100,c:700", []float64{40, 140}, 840},
		"no number":          {"a,b:700", nil, 0},
		"negative":           {"a:-1,b:700", nil, 0},
		"huge":               {"a:99999999999999999999,b:700", nil, 0},
		"invalid in between": {"a:40,b:x,c:700", []float64{40}, 40},
		"no id":              {":40,b:700", nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := ParseParts(test.list)
			if diff := cmp.Diff(test.tokens, p.tokens); diff != "" || p.total != test.total || len(p.hashes) != len(p.tokens) {
				t.Errorf("total %v, want %v; %s", p.total, test.total, diff)
			}
		})
	}
	a, b, c := ParseParts("a:40,b:100,c:1"), ParseParts("A:40,x:100,c:1"), ParseParts("b:100,a:40,c:1")
	if a.hashes[0] != b.hashes[0] || a.hashes[1] == b.hashes[1] || a.hashes[1] == c.hashes[1] {
		t.Error("prefixes are equal if and only if their parts are, in order")
	}
}

// TestEstimate guards against prefixes that are expected in the cache of another
// backend server, of another incarnation, or after they must have been evicted.
func TestEstimate(t *testing.T) {
	const room = 10_000
	long, short := ParseParts("a:40,b:2000,c:700"), ParseParts("a:40,d:300,e:700")
	tests := map[string]struct {
		after func(tb *Table, c *Cache)
		p     Prompt
		age   time.Duration
		want  Estimate
	}{
		"same prefix":  {nil, long, 0, Estimate{Tokens: 2040, Held: 1, Followers: 1}},
		"shorter part": {nil, short, 0, Estimate{Tokens: 40, Held: 1, Followers: 1}},
		"later":        {nil, long, time.Second, Estimate{Tokens: 2040, Held: math.Exp(-1.0 / 60)}},
		"another one":  {nil, ParseParts("x:40,c:700"), 0, Estimate{}},
		"restarted":    {func(_ *Table, c *Cache) { *c = Cache{} }, long, 0, Estimate{}},
		"evicted":      {func(_ *Table, c *Cache) { c.Evict(2 * room) }, long, 0, Estimate{}},
		"followers": {
			func(tb *Table, c *Cache) { tb.Sent(start, &long, c, 2040); tb.Sent(start, &long, c, 2040) }, long, 0,
			Estimate{Tokens: 2040, Held: 1, Followers: 3},
		},
		"other prompts": {
			func(tb *Table, c *Cache) {
				for i := range 20 {
					p := ParseParts(fmt.Sprintf("p%d:1,c:699", i))
					tb.Sent(start, &p, c, 0)
				}
			}, long, 0, Estimate{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := NewTable()
			var c, other Cache
			p := long
			tb.Sent(start, &p, &c, 0)
			if got := tb.Estimate(start, &test.p, &other, room, 1, time.Minute); got != (Estimate{}) {
				t.Errorf("another backend server: %+v", got)
			}
			if test.after != nil {
				test.after(tb, &c)
			}
			got := tb.Estimate(start.Add(test.age), &test.p, &c, room, 1, time.Minute)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTableIsBounded guards against memory that grows with the number of prompts,
// and against a prefix in use that is evicted by others.
func TestTableIsBounded(t *testing.T) {
	tb, caches := NewTable(), make([]Cache, 100)
	hot := ParseParts("hot:100,own:10")
	for i := range 50_000 {
		p := ParseParts(fmt.Sprintf("p%d:1,own:10", i))
		tb.Sent(start.Add(time.Duration(i)*time.Millisecond), &p, &caches[i%100], 0)
		if i%100 == 0 {
			tb.Sent(start.Add(time.Duration(i)*time.Millisecond), &hot, &caches[0], 0)
		}
	}
	if len(tb.sets) != tableSets {
		t.Errorf("the table has %d sets, want %d", len(tb.sets), tableSets)
	}
	if got := tb.Estimate(start.Add(50*time.Second), &hot, &caches[0], 1e6, 1, 0); got.Tokens != 100 {
		t.Errorf("the prefix in use is gone: %+v", got)
	}
}
