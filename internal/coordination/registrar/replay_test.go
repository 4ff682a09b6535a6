package registrar

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// watchVersions returns the catalog versions that a registrar hands out until it has
// handed out the newest.
func watchVersions(ctx context.Context, n *node, newest uint64) (versions []uint64, err error) {
	req := &peer.FollowRequest{Node: &peer.Node{Id: "watcher", Role: peer.Role_ROLE_ENTRY}, WaitMs: 1000}
	for ctx.Err() == nil {
		res, err := n.Follow(ctx, req)
		if err != nil {
			return versions, err
		}
		req.Epoch, req.Since, req.DrainIndex, req.QuarantineIndex = res.Epoch, res.Version, res.DrainIndex, res.QuarantineIndex
		if res.CatalogVersion == req.CatalogVersion {
			continue
		}
		req.CatalogVersion = res.CatalogVersion
		versions = append(versions, res.CatalogVersion)
		if res.CatalogVersion == newest {
			return versions, nil
		}
	}
	return versions, ctx.Err()
}

// TestReplay guards against a restarted registrar that hands out earlier catalogs as
// it reads its log: entries that follow it would serve with them.
func TestReplay(t *testing.T) {
	const newest = 200
	g := newGroup(t, 3)
	for version := uint64(1); version <= newest; version++ {
		g.replace(g.nodes[g.seeds[0]], version, fmt.Sprintf("catalog %d", version))
	}
	folders := map[string]string{}
	for _, address := range g.seeds {
		folders[address] = g.stop(address).folder
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	type result struct {
		versions []uint64
		err      error
	}
	results := make(chan result, len(g.seeds))
	for _, address := range g.seeds {
		n := g.start(address, folders[address], false)
		go func() {
			versions, err := watchVersions(ctx, n, newest)
			results <- result{versions, err}
		}()
	}
	for range g.seeds {
		r := <-results
		if r.err != nil {
			t.Error(r.err)
		}
		if diff := cmp.Diff([]uint64{newest}, r.versions); diff != "" {
			t.Error(diff)
		}
	}
}

// TestReplayWithoutQuorum guards against a registrar that hands out what it has read
// from its log although no quorum has confirmed that it is the newest.
func TestReplayWithoutQuorum(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.nodes[g.seeds[0]], 1, "one")
	var folder string
	for _, address := range g.seeds {
		folder = g.stop(address).folder
	}
	n := g.start(g.seeds[2], folder, false)
	time.Sleep(500 * time.Millisecond)
	if version := n.Catalog().Version; version != 0 {
		t.Errorf("version %d is handed out without a quorum", version)
	}
}

// TestCatalogWithServers guards against a catalog that is handed out before the backend
// servers of its services, which have announced themselves earlier: an entry that has
// just started would refuse all requests.
func TestCatalogWithServers(t *testing.T) {
	g := newGroup(t, 3)
	g.decodeTime = 100 * time.Millisecond
	a := &peer.Announcement{
		Id: "s1", BornMs: 1, Sequence: 1, Service: "pool", Address: "127.0.0.1:9", FailureDomain: "fes", State: peer.BackendState_BACKEND_STATE_READY,
	}
	n := g.nodes[g.seeds[0]]
	if err := n.Announce(t.Context(), a); err != nil {
		t.Fatal(err)
	}
	go g.replace(n, 1, "one")
	req := &peer.FollowRequest{Node: &peer.Node{Id: "watcher", Role: peer.Role_ROLE_ENTRY}, WaitMs: 1000}
	g.eventually("hand out the catalog", func() error {
		res, err := n.Follow(t.Context(), req)
		if err != nil || res.CatalogVersion == 0 {
			return errors.Join(err, errors.New("no catalog"))
		}
		if len(res.Announcements) != 1 {
			t.Errorf("version %d is handed out with %d backend servers, want 1", res.CatalogVersion, len(res.Announcements))
		}
		return nil
	})
}
