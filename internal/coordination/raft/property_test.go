package raft

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// setRapidChecks raises the number of schedules above rapid's default of 100. A
// number given on the command line takes precedence.
func setRapidChecks(t *testing.T, checks string) {
	onCommandLine := false
	flag.Visit(func(f *flag.Flag) { onCommandLine = onCommandLine || f.Name == "rapid.checks" })
	if onCommandLine {
		return
	}
	f := flag.Lookup("rapid.checks")
	old := f.Value.String()
	if err := f.Value.Set(checks); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Value.Set(old) })
}

// simActions returns the faults and calls of a schedule with their weights.
func simActions(s *sim, t *rapid.T) map[string]struct {
	weight int
	run    func()
} {
	node := func() *simNode { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")] }
	type action = struct {
		weight int
		run    func()
	}
	return map[string]action{
		"advance": {30, func() { s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "quanta")) * simQuantum) }},
		"long":    {5, func() { s.advance(1500 * time.Millisecond) }},
		"propose": {20, func() { s.propose(s.leaderOr(node()), rapid.IntRange(1, 5).Draw(t, "count")) }},
		"anyone":  {3, func() { s.propose(node(), 1) }},
		"read":    {12, func() { s.readIndex(s.leaderOr(node())) }},
		"crash":   {4, func() { s.crash(node()) }},
		"restart": {8, func() { s.start(node()) }},
		"freeze": {3, func() {
			node().suspendedUntil = s.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond
		}},
		"cut":     {4, func() { s.partition(node(), rapid.IntRange(0, 2).Draw(t, "direction")) }},
		"heal":    {4, func() { clear(s.blocked) }},
		"network": {3, func() { s.setNetwork(t) }},
		"step": {3, func() {
			node().clockOffset += time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "ms")) * time.Millisecond
		}},
		"transfer":  {3, func() { s.input(s.leaderOr(node()), TransferLeadership{}) }},
		"member":    {12, func() { s.changeMember(s.leaderOr(node()), node()) }},
		"snapshot":  {4, func() { s.snapshot(node()) }},
		"lose disk": {1, func() { s.maybeLoseDisk(node()) }},
	}
}

func (s *sim) setNetwork(t *rapid.T) {
	s.loss = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "loss")
	s.duplication = rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "double")
	s.delay = time.Duration(rapid.SampledFrom([]int{1, 10, 100, 600}).Draw(t, "delay")) * time.Millisecond
}

// partition blocks the links of a node in one direction or both. A direction of 0
// blocks both, 1 the incoming and 2 the outgoing ones.
func (s *sim) partition(n *simNode, direction int) {
	for _, other := range s.nodes {
		if direction != 1 {
			s.blocked[[2]uint64{n.id, other.id}] = true
		}
		if direction != 2 {
			s.blocked[[2]uint64{other.id, n.id}] = true
		}
	}
}

func (s *sim) leaderOr(other *simNode) *simNode {
	var best *simNode
	for _, n := range s.nodes {
		if n.r != nil && n.r.Role() == Leader && (best == nil || n.r.Term() > best.r.Term()) {
			best = n
		}
	}
	if best != nil && s.rand.IntN(4) > 0 {
		return best
	}
	return other
}

func (s *sim) input(n *simNode, in Input) {
	if n.r != nil && n.suspendedUntil <= s.now {
		s.step(n, in)
	}
}

// changeMember adds a node, promotes a learner or removes a member. It leaves
// a majority of working voters, as an operator must.
func (s *sim) changeMember(leader, target *simNode) {
	if leader.r == nil || leader.suspendedUntil > s.now {
		return
	}
	if s.rand.IntN(2) == 0 {
		for _, m := range leader.r.Members() {
			if !m.Voter {
				target = s.node(m.Id)
			}
		}
	}
	m := leader.r.member(target.id)
	switch {
	case m == nil && len(s.nodes) < 7 && s.rand.IntN(2) == 0:
		n := s.addNode(s.nextID, nil)
		s.nextID++
		s.step(leader, ChangeMember{Action: peer.ChangeMemberRequest_ACTION_ADD_LEARNER, Member: &peer.Member{Id: n.id}})
	case m == nil && !target.lostDisk:
		s.step(leader, ChangeMember{Action: peer.ChangeMemberRequest_ACTION_ADD_LEARNER, Member: &peer.Member{Id: target.id}})
	case m != nil && !m.Voter:
		s.step(leader, ChangeMember{Action: peer.ChangeMemberRequest_ACTION_PROMOTE, Member: &peer.Member{Id: target.id}})
	case m != nil && (target.lostDisk || s.lostDisks() == 0):
		s.step(leader, ChangeMember{Action: peer.ChangeMemberRequest_ACTION_REMOVE, Member: &peer.Member{Id: target.id}})
	}
}

func (s *sim) lostDisks() int {
	lost := 0
	for _, n := range s.nodes {
		if n.lostDisk {
			lost++
		}
	}
	return lost
}

// maybeLoseDisk empties the disk of one node if every member list in use keeps a
// majority without it.
func (s *sim) maybeLoseDisk(n *simNode) {
	if s.lostDisks() > 0 {
		return
	}
	for _, other := range s.nodes {
		if other.r == nil {
			return
		}
		for _, c := range other.r.configs {
			voters := 0
			for _, m := range c.members {
				if m.Voter {
					voters++
				}
			}
			if voters > 0 && voters < 3 {
				return
			}
		}
	}
	s.loseDisk(n)
}

// healAndConverge ends all faults and runs until the replicas agree.
func (s *sim) healAndConverge() {
	clear(s.blocked)
	s.loss, s.duplication, s.delay = 0, 0, 5*time.Millisecond
	for _, n := range s.nodes {
		n.suspendedUntil = 0
		s.start(n)
	}
	for range 20 {
		s.advance(time.Second)
		confirmed := s.check.confirmed
		for _, n := range s.nodes {
			if n.r != nil && n.r.Role() == Leader {
				s.readIndex(n)
				s.advance(300 * time.Millisecond)
			}
		}
		if s.check.confirmed > confirmed && s.hasConverged() {
			return
		}
	}
	s.fail("no agreement 20 s after the last fault")
}

// hasConverged reports whether all members of the newest member list have applied
// all entries.
func (s *sim) hasConverged() bool {
	leader := s.leaderOr(s.nodes[0])
	if leader.r == nil || leader.r.Role() != Leader {
		return false
	}
	for _, m := range leader.r.Members() {
		n := s.node(m.Id)
		if n.r != nil && !n.lostDisk && n.applied != leader.r.LastIndex() {
			return false
		}
	}
	return true
}

// Guards against schedules of faults that violate the guarantees of the package:
// two leaders in a term, committed entries that are lost or changed, reads that
// miss an acknowledged proposal, refused commands that are committed, and groups
// that do not recover.
func TestSchedules(t *testing.T) {
	setRapidChecks(t, "3000")
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t.Fatalf, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 5, 1, 2}).Draw(t, "voters"))
		s.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "lead")) * simQuantum)
		actions := simActions(s, t)
		var names []string
		for _, name := range sortedKeys(actions) {
			for range actions[name].weight {
				names = append(names, name)
			}
		}
		for range rapid.SampledFrom([]int{1, 20, 60, 150, 250}).Draw(t, "actions") {
			actions[rapid.SampledFrom(names).Draw(t, "action")].run()
		}
		s.healAndConverge()
		s.check.checkFinal(s.nodes)
		s.addEvents(total)
	})
	// Without these events the schedules would not exercise the checks.
	for _, event := range []string{"commits", "acknowledged", "reads", "terms", "snapshots received", "voters added", "disks lost", "folder mismatches"} {
		if total[event] == 0 {
			t.Errorf("no %s in all schedules: %v", event, total)
		}
	}
	t.Log(total)
}

// addEvents adds the events of a schedule to the totals.
func (s *sim) addEvents(total map[string]int) {
	total["commits"] += len(s.check.committed)
	total["acknowledged"] += len(s.check.acked)
	total["reads"] += s.check.confirmed
	total["terms"] += len(s.check.leaders)
	total["snapshots received"] += s.check.snapshotsReceived
	total["disks lost"] += s.lostDisks()
	total["seconds"] += int(s.now / time.Second)
	for _, n := range s.nodes {
		if n.folderMismatch {
			total["folder mismatches"]++
		}
		if n.bootstrap == nil && n.r != nil && n.r.isVoter(n.id) {
			total["voters added"]++
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
