package acceptance

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// The group of the tests in this file: 128 experts on 4 engines with 16 ranks
// each. Each engine has an agent of its own.
const (
	groupName    = "group-1"
	groupEngines = 4
	engineRanks  = 16
	experts      = 128
)

// startGroup starts the agents and the engines of the group.
func (s *system) startGroup() []*backend {
	s.t.Helper()
	var agents []string
	for i := range groupEngines {
		_, listen := s.startAgent(fmt.Sprintf("group-%d", i+1), failureDomains[i%3])
		agents = append(agents, listen)
	}
	port := freePorts(s.t, groupEngines)
	p := newProcess(s.t, s.folder, "engines", standinBinary, "-kind", "model", "-name", "rank", "-service", modelName,
		"-listen", fmt.Sprintf("127.0.0.1:%d", port), "-count", fmt.Sprint(groupEngines), "-group", groupName,
		"-ranks", fmt.Sprint(engineRanks), "-agent", strings.Join(agents, ","), "-step", "3ms", "-announce", "200ms")
	p.start()
	var out []*backend
	for i := range groupEngines {
		out = append(out, &backend{name: fmt.Sprintf("rank-%d", i+1), address: fmt.Sprintf("127.0.0.1:%d", port+i), process: p})
	}
	return out
}

// proposeMap proposes a placement with every expert moved by shift ranks.
func (s *system) proposeMap(shift int, operationID string) error {
	const ranks = groupEngines * engineRanks
	placement := make([]*peer.RankPlacement, ranks)
	for r := range placement {
		placement[r] = &peer.RankPlacement{Rank: uint32(r)}
	}
	for e := range experts {
		r := (e + shift) % ranks
		placement[r].Experts = append(placement[r].Experts, uint32(e))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := s.operator.ProposeMap(ctx, &peer.ProposeMapRequest{Group: groupName, Placement: placement, OperationId: operationID})
	return err
}

// checkMaps asserts that no step ran with two maps, and returns the newest step
// and the number of map versions that were used.
func (s *system) checkMaps(engines []*backend) (newest uint64, versions int) {
	s.t.Helper()
	used := map[uint64]uint64{}
	seen := map[uint64]bool{}
	for _, b := range engines {
		for _, u := range record[standin.EngineRecord](s.t, b).Maps {
			seen[u.Version] = true
			newest = max(newest, u.LastStep)
			for step := u.FirstStep; step <= u.LastStep; step++ {
				if other, ok := used[step]; ok && other != u.Version {
					s.t.Fatalf("%s ran step %d with map %d, another rank with map %d", b.name, step, u.Version, other)
				}
				used[step] = u.Version
			}
		}
	}
	return newest, len(seen)
}

// Guards against two expert maps in one step and against a group that stays
// blocked, while ranks stall, agents and leaders are killed, or a frozen agent
// receives and sends its messages late.
func TestOneExpertMapPerStep(t *testing.T) {
	yes, no := true, false
	tests := map[string]func(*system, []*backend){
		"no failure": func(*system, []*backend) {},
		"rank stalls": func(s *system, engines []*backend) {
			engines[1].control(s.t, standin.Control{Stall: &yes})
			time.Sleep(failureDuration)
			engines[1].control(s.t, standin.Control{Stall: &no})
		},
		"agent killed": func(s *system, _ []*backend) { s.hostOf("group-2").agent.restart() },
		"agent killed twice": func(s *system, _ []*backend) {
			s.hostOf("group-2").agent.restart()
			s.hostOf("group-3").agent.restart()
		},
		"agent frozen": func(s *system, _ []*backend) {
			a := s.hostOf("group-2").agent
			a.freeze()
			time.Sleep(failureDuration)
			a.thaw()
		},
		"agent frozen past the switch step": func(s *system, _ []*backend) {
			a := s.hostOf("group-2").agent
			a.freeze()
			time.Sleep(4 * time.Second)
			a.thaw()
		},
		"leader killed": func(s *system, _ []*backend) { s.leader().process.restart() },
		"leader and agent killed": func(s *system, _ []*backend) {
			s.leader().process.restart()
			s.hostOf("group-4").agent.restart()
		},
		"engine ignores fencing, agent killed": func(s *system, engines []*backend) {
			engines[2].control(s.t, standin.Control{IgnoreFencing: &yes})
			s.hostOf("group-3").agent.restart()
		},
	}
	for name, failure := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{modelHosts: 1, plainHosts: 1, entries: 1})
			engines := s.startGroup()
			s.changeMap(1, "first")
			for i := range 3 {
				// The failure occurs at a different stage of the change each time.
				s.changeMap(i+2, fmt.Sprintf("change-%d", i))
				time.Sleep(time.Duration(i) * 150 * time.Millisecond)
				failure(s, engines)
				s.checkProgress(engines)
			}
			s.changeMap(9, "last")
			step, versions := s.checkMaps(engines)
			t.Logf("%d steps, %d maps", step, versions)
		})
	}
}

// changeMap proposes a change until the leader accepts it. A group has one change
// at a time, so it retries while an earlier change is undecided.
func (s *system) changeMap(shift int, operationID string) {
	s.t.Helper()
	try := 0
	s.eventually(readyTimeout, "map change begins", func() error {
		try++
		return s.proposeMap(shift, fmt.Sprintf("%s-%d", operationID, try))
	})
}

// checkProgress waits until the group has run 50 more steps.
func (s *system) checkProgress(engines []*backend) {
	s.t.Helper()
	before, _ := s.checkMaps(engines)
	s.eventually(readyTimeout, "group makes progress", func() error {
		if now, _ := s.checkMaps(engines); now < before+50 {
			return errors.Newf("the newest step is %d, was %d", now, before)
		}
		return nil
	})
}
