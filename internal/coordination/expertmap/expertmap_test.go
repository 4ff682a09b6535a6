package expertmap

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a change that does not end, holds the group although all
// messages arrive, or is not used by all ranks from its switch step on.
func TestChangeWithoutFaults(t *testing.T) {
	for name, ranks := range map[string]int{"small": 4, "full": 64} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, ranks, 4)
			s.propose(0)
			s.runFor(5 * time.Second)
			s.propose(1)
			s.runFor(8 * time.Second)
			if diff := cmp.Diff(map[Reason]int{Committed: 2}, s.ended); diff != "" {
				t.Errorf("ends of changes (-want +got):\n%s", diff)
			}
			if len(s.violations) > 0 {
				t.Errorf("violations: %v", s.violations)
			}
			for step, version := range s.history {
				if want := s.rec.MapAt(step).Version; version != want {
					t.Errorf("step %d ran with map %d, want %d", step, version, want)
				}
			}
			if done := s.finishedByAll(); done < s.rec.Current.SwitchStep+50 {
				t.Errorf("all ranks finished step %d, want at least 50 steps after switch step %d", done, s.rec.Current.SwitchStep)
			}
			if s.longestHold > 0 {
				t.Errorf("the group held for %v, want no hold", s.longestHold)
			}
		})
	}
}
