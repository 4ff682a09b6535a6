package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func crashThrice(g *Guard, part string) {
	for i := range minCrashes {
		g.AddCrash(start.Add(time.Duration(i)*time.Second), Incarnation{fmt.Sprint(part, i), 1}, []string{part, "first"})
	}
}

// TestGuard guards against requests that are let through after a part is
// quarantined, and against a quarantine that outlives its reason.
func TestGuard(t *testing.T) {
	tests := map[string]struct {
		steps   func(*Guard)
		refused []string
	}{
		"no evidence":       {func(*Guard) {}, nil},
		"own evidence":      {func(g *Guard) { crashThrice(g, "bad") }, []string{"bad"}},
		"decided elsewhere": {func(g *Guard) { g.SetDecided(start, map[string]time.Time{"bad": start.Add(time.Hour)}) }, []string{"bad"}},
		"contact is lost after the end": {func(g *Guard) { g.SetDecided(start, map[string]time.Time{"bad": start.Add(-time.Hour)}) },
			[]string{"bad"}},
		"own and decided": {func(g *Guard) {
			crashThrice(g, "bad")
			g.SetDecided(start, map[string]time.Time{"other": start.Add(time.Hour)})
		}, []string{"bad", "other"}},
		"ended elsewhere": {func(g *Guard) {
			crashThrice(g, "bad")
			g.SetDecided(start, map[string]time.Time{"bad": start.Add(time.Hour)})
			g.SetDecided(start, nil)
		}, nil},
		"common part of one entry": {func(g *Guard) {
			// Others have had the requests that crash servers.
			for i := range minCrashes {
				g.AddCrash(start.Add(-6*time.Second+time.Duration(i)*time.Second), Incarnation{fmt.Sprint("s", i), 1}, []string{"other"})
			}
		}, nil},
		"sound after all": {func(g *Guard) {
			crashThrice(g, "bad")
			g.AddSound(start.Add(4*time.Second), []string{"bad"})
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGuard()
			g.AddSound(start, []string{"first"})
			test.steps(g)
			var got []string
			for _, part := range []string{"bad", "first", "other"} {
				if _, refused := g.Check(start.Add(5*time.Second), []string{part}); refused {
					got = append(got, part)
				}
			}
			if diff := cmp.Diff(test.refused, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	t.Run("own evidence alone", func(t *testing.T) {
		g := NewGuard()
		g.AddSound(start, []string{"first"})
		crashThrice(g, "bad")
		now := start.Add(2 * time.Second)
		for i := range 3 {
			length := firstLocalDuration << i
			for _, refusedAt := range []time.Duration{0, length - time.Millisecond} {
				if _, refused := g.Check(now.Add(refusedAt), []string{"bad"}); !refused {
					t.Fatalf("quarantine %d ended after %v, want %v", i+1, refusedAt, length)
				}
			}
			if now = now.Add(length); i < 2 {
				if _, refused := g.Check(now, []string{"bad"}); refused {
					t.Fatalf("quarantine %d goes on after %v", i+1, length)
				}
				// One more crash is enough.
				g.AddCrash(now, Incarnation{fmt.Sprint("again", i), 1}, []string{"bad"})
			}
		}
	})
}

// TestWatch guards against requests that wait, or are on their way, when a part of
// their prompt is quarantined.
func TestWatch(t *testing.T) {
	g := NewGuard()
	g.AddSound(start, []string{"first"})
	cancelled := map[string]int{}
	watch := func(name string, parts ...string) func() {
		return g.Watch(start, parts, func() { cancelled[name]++ })
	}
	watch("with the part", "first", "bad")
	watch("sound", "first", "other")
	watch("ended before", "bad")()
	crashThrice(g, "bad")
	watch("new", "bad")
	g.SetDecided(start, map[string]time.Time{"bad": start.Add(time.Hour)})
	if diff := cmp.Diff(map[string]int{"with the part": 1, "new": 1}, cancelled); diff != "" {
		t.Error(diff)
	}
}

// TestObservations guards against evidence that a registrar does not get: what
// came before its restart, and the earlier and later answers that clear a part.
func TestObservations(t *testing.T) {
	g := NewGuard()
	g.AddSound(start, []string{"first", "unrelated"})
	server := Incarnation{"a", 1}
	g.AddCrash(start.Add(time.Second), server, []string{"bad", "first"})
	g.AddSound(start.Add(2*time.Second), []string{"first", "unrelated"})
	g.AddSound(start.Add(3*time.Second), []string{"first"})
	want := []Observation{
		{Sequence: 1, At: start, Parts: []string{"first"}},
		{Sequence: 2, At: start.Add(time.Second), Crashed: server, Parts: []string{"bad", "first"}},
		{Sequence: 3, At: start.Add(2 * time.Second), Parts: []string{"first"}},
	}
	for after := range want {
		got, last := g.Observations(uint64(after))
		if diff := cmp.Diff(want[after:], got); diff != "" || last != 3 {
			t.Errorf("after %d, last %d: %s", after, last, diff)
		}
	}
	for i := range 2 * maxObservations {
		g.AddCrash(start, Incarnation{fmt.Sprint(i), 1}, []string{"bad"})
	}
	if got, _ := g.Observations(0); len(got) != maxObservations {
		t.Errorf("%d observations are kept, want %d", len(got), maxObservations)
	}
}

// TestObservationsOfLongPrompts guards against crashes that registrars do not get
// because the parts beside them fill the memory for observations.
func TestObservationsOfLongPrompts(t *testing.T) {
	g := NewGuard()
	parts := prompt(1000, 999, "bad")
	for i, part := range parts[:999] {
		g.AddSound(start.Add(time.Duration(i/10)*time.Millisecond), []string{part})
	}
	for i := range 3 {
		g.AddCrash(start.Add(time.Second), Incarnation{fmt.Sprint(i), 1}, parts)
	}
	observations, _ := g.Observations(0)
	crashes, sound := 0, map[string]bool{}
	for _, o := range observations {
		if o.Crashed.ID != "" && len(o.Parts) == len(parts) {
			crashes++
			continue
		}
		for _, part := range o.Parts {
			sound[part] = true
		}
	}
	if crashes != 3 || len(sound) != 999 {
		t.Errorf("%d crashes and %d sound parts are kept, want 3 and 999", crashes, len(sound))
	}
	for i := range 2 * maxObservedParts / len(parts) {
		g.AddCrash(start.Add(time.Second), Incarnation{fmt.Sprint("more", i), 1}, parts)
	}
	kept := 0
	observations, _ = g.Observations(0)
	for _, o := range observations {
		kept += len(o.Parts)
	}
	if kept > maxObservedParts || kept != g.observedParts {
		t.Errorf("%d parts are kept, counted %d, want %d at most", kept, g.observedParts, maxObservedParts)
	}
}

// TestObservationsOfOthers guards against a sound part that stays quarantined because
// the entry that knows better saw none of the crashes.
func TestObservationsOfOthers(t *testing.T) {
	g := NewGuard()
	g.AddSound(start, []string{"good", "unrelated"})
	decided := map[string]time.Time{"good": start.Add(time.Hour), "bad": start.Add(time.Hour)}
	g.SetDecided(start.Add(time.Second), decided)
	g.SetDecided(start.Add(2*time.Second), decided)
	g.AddSound(start.Add(3*time.Second), []string{"good", "unrelated"})
	want := []Observation{{Sequence: 1, At: start, Parts: []string{"good"}}, {Sequence: 2, At: start.Add(3 * time.Second), Parts: []string{"good"}}}
	got, _ := g.Observations(0)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSettled guards against crashes that count again after a quarantine has ended,
// at this entry or at a registrar that has lost them.
func TestSettled(t *testing.T) {
	g := NewGuard()
	crashThrice(g, "bad")
	g.SetDecided(start, map[string]time.Time{"bad": start.Add(time.Minute)})
	ended := start.Add(time.Minute)
	g.SetDecided(ended, nil)
	if decided := g.AddCrash(ended.Add(time.Second), Incarnation{"again", 1}, []string{"bad"}); len(decided) > 0 {
		t.Errorf("quarantined again: %v", decided)
	}
	observations, _ := g.Observations(0)
	crashes := 0
	for _, o := range observations {
		for _, part := range o.Parts {
			if part == "bad" {
				crashes++
			}
		}
	}
	if crashes != 1 {
		t.Errorf("%d crashes are reported, want only the one after the end", crashes)
	}
}

// TestAge guards against an observation that looks younger than it is because the
// process was suspended.
func TestAge(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		at   time.Time
		want time.Duration
	}{
		"both clocks":           {now.Add(-time.Second), time.Second},
		"monotonic stood still": {now.Add(-time.Second).Round(0), time.Second},
		"from the future":       {now.Add(time.Second), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Observation{At: test.at}.Age(now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDuration guards against quarantines that do not last longer each time, or
// without bound.
func TestDuration(t *testing.T) {
	got := []time.Duration{Duration(0), Duration(1), Duration(2), Duration(3), Duration(100)}
	if diff := cmp.Diff([]time.Duration{firstDuration, firstDuration, 2 * firstDuration, 4 * firstDuration, maxDuration}, got); diff != "" {
		t.Error(diff)
	}
}
