package registrar

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// report sends what an entry has observed to some registrars, as entries do with
// each call.
func (g *group) report(entry string, to []string, evidence ...*peer.PromptEvidence) {
	g.t.Helper()
	for _, address := range to {
		req := &peer.FollowRequest{Node: &peer.Node{Id: entry, Role: peer.Role_ROLE_ENTRY}, Evidence: evidence}
		if _, err := g.nodes[address].Follow(context.Background(), req); err != nil {
			g.t.Fatal(err)
		}
	}
}

func crashed(server string, parts ...string) *peer.PromptEvidence {
	return &peer.PromptEvidence{Crashed: server, BornMs: 1, Parts: parts}
}

// crashesApart returns crashes half a second apart.
func crashesApart(parts ...string) []*peer.PromptEvidence {
	var list []*peer.PromptEvidence
	for i := range 3 {
		e := crashed(fmt.Sprint(parts[0], i), parts...)
		e.AgeMs = uint32(2000 - 500*i)
		list = append(list, e)
	}
	return list
}

// quarantined waits until a registrar tells entries to refuse these parts.
func (g *group) quarantined(address string, want ...string) {
	g.t.Helper()
	g.eventually("quarantine of "+fmt.Sprint(want), func() error {
		res, err := g.nodes[address].Follow(context.Background(), &peer.FollowRequest{Node: &peer.Node{Id: "probe", Role: peer.Role_ROLE_ENTRY}})
		if err != nil {
			return err
		}
		var got []string
		for _, q := range res.Quarantined {
			got = append(got, q.Part)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			return errors.Newf("%s", diff)
		}
		return nil
	})
}

// TestQuarantineSurvives guards against a part that is let through again after
// registrars restart together, and at a registrar without a disk.
func TestQuarantineSurvives(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 1, "one")
	withoutDisk := freeAddress(t)
	g.start(withoutDisk, "", false)
	g.report("e1", g.seeds, crashesApart("bad", "first")[0], &peer.PromptEvidence{Parts: []string{"first"}})
	g.report("e1", g.seeds, crashesApart("bad")...)
	for _, address := range append(g.seeds, withoutDisk) {
		g.quarantined(address, "bad")
	}
	folders := map[string]string{}
	for _, address := range g.seeds {
		folders[address] = g.stop(address).folder
	}
	g.stop(withoutDisk)
	for _, address := range g.seeds {
		g.start(address, folders[address], false)
	}
	g.start(withoutDisk, "", false)
	for _, address := range append(g.seeds, withoutDisk) {
		g.quarantined(address, "bad")
	}
}

// TestEvidenceOfAllEntries guards against crashes that do not add up because
// different entries saw them, or because the leader that had the first of them has
// ended.
func TestEvidenceOfAllEntries(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 1, "one")
	for _, n := range g.nodes {
		g.eventually("become a voter", func() error { return checkVoter(n) })
	}
	crashes := crashesApart("bad")
	g.report("e1", g.seeds, crashes[0])
	g.report("e2", g.seeds, crashes[1])
	var rest []string
	for _, address := range g.seeds {
		if g.nodes[address].supervisor.status().IsLeader {
			g.stop(address)
			continue
		}
		rest = append(rest, address)
	}
	if len(rest) != 2 {
		t.Fatalf("%d registrars are left, want 2", len(rest))
	}
	g.report("e3", rest, crashes[2])
	for _, address := range rest {
		g.quarantined(address, "bad")
	}
}

// TestQuarantineCleared guards against a quarantine that goes on after a request
// with the part was sound.
func TestQuarantineCleared(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 1, "one")
	g.report("e1", g.seeds, crashesApart("good")...)
	g.report("e1", g.seeds, crashesApart("bad")...)
	g.quarantined(g.seeds[0], "bad", "good")
	g.report("e2", g.seeds, &peer.PromptEvidence{Parts: []string{"good"}})
	g.quarantined(g.seeds[0], "bad")
}

// TestQuarantineRefuted guards against a quarantine that goes on although an entry
// that saw none of the crashes reports a sound answer between them.
func TestQuarantineRefuted(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 1, "one")
	g.report("e1", g.seeds, crashesApart("good")...)
	g.report("e1", g.seeds, crashesApart("bad")...)
	g.quarantined(g.seeds[0], "bad", "good")
	g.report("e2", g.seeds, &peer.PromptEvidence{Parts: []string{"bad"}, AgeMs: 60_000}, &peer.PromptEvidence{Parts: []string{"good"}, AgeMs: 1_000})
	g.quarantined(g.seeds[0], "bad")
}

// clear ends a quarantine through a registrar, and repeats the call while the leader
// changes.
func (g *group) clear(n *node, part string) (res *peer.QuarantineResponse, err error) {
	g.t.Helper()
	g.eventually("clear "+part, func() error {
		res, err = n.Quarantine(context.Background(), &peer.QuarantineRequest{Clear: part})
		if fault.Is(peer.FromTwirp(err), fault.Unavailable) {
			return err
		}
		return nil
	})
	return res, err
}

// TestQuarantineEndedByOperator guards against a part whose quarantine an operator
// has ended and that is quarantined again for the same crashes, also by the next
// leader.
func TestQuarantineEndedByOperator(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 1, "one")
	for _, n := range g.nodes {
		g.eventually("become a voter", func() error { return checkVoter(n) })
	}
	g.report("e1", g.seeds, crashesApart("good")...)
	g.quarantined(g.seeds[1], "good")
	var leader, other *node
	for _, n := range g.nodes {
		if n.supervisor.status().IsLeader {
			leader = n
		} else {
			other = n
		}
	}
	if _, err := g.clear(other, "unknown"); !fault.Is(peer.FromTwirp(err), fault.NotFound) {
		t.Errorf("an unknown part: %v", err)
	}
	if res, err := g.clear(other, "good"); err != nil || len(res.Parts) != 0 {
		t.Fatalf("%v, error %v", res, err)
	}
	leader.TransferLeadership(context.Background())
	time.Sleep(3 * quarantineInterval)
	g.quarantined(other.cfg.Address)
	g.report("e1", g.seeds, crashed("again", "good"), crashed("other", "bad"))
	time.Sleep(3 * quarantineInterval)
	g.quarantined(other.cfg.Address)
}
