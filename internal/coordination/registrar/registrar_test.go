package registrar

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/directory"
	"oleanderrack.example/oleanderrack/internal/state/wal"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// eventuallyTimeout bounds a wait for the group. Elections take up to two seconds
// on a loaded machine.
const eventuallyTimeout = 30 * time.Second

// group is a set of registrars on loopback.
type group struct {
	t     *testing.T
	seeds []string
	nodes map[string]*node
	// decodeTime is how long it takes to decode the services of a catalog.
	decodeTime time.Duration
	// usage returns the configuration of usage reports of a registrar; nil if there
	// are none.
	usage func(address string) *UsageConfig
	// disk returns the disk of a registrar; nil if all have that of the host.
	disk func(address string) wal.Disk
}

type node struct {
	*Registrar
	folder string
	stop   func()
}

func newGroup(t *testing.T, founders int) *group {
	return startGroup(&group{t: t, nodes: map[string]*node{}}, founders)
}

// startGroup starts the founders of a group.
func startGroup(g *group, founders int) *group {
	t := g.t
	for range founders {
		g.seeds = append(g.seeds, freeAddress(t))
	}
	for _, address := range g.seeds {
		g.start(address, t.TempDir(), true)
	}
	return g
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (g *group) start(address, folder string, bootstrap bool) *node {
	g.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var usageConfig *UsageConfig
	if g.usage != nil {
		usageConfig = g.usage(address)
	}
	var disk wal.Disk
	if g.disk != nil {
		disk = g.disk(address)
	}
	r, err := New(ctx, Config{
		Usage: usageConfig, Disk: disk,
		Cluster: "test", Address: address, FailureDomain: "fes", Folder: folder,
		Seeds: func() []string { return g.seeds }, Bootstrap: bootstrap, Voters: len(g.seeds),
		Services: func([]byte) ([]string, error) {
			time.Sleep(g.decodeTime)
			return []string{"pool"}, nil
		},
	}, hclog.NewNullLogger(), tally.NoopScope)
	if err != nil {
		g.t.Fatal(err)
	}
	e := echo.New()
	r.Routes(e)
	l, err := net.Listen("tcp", address)
	if err != nil {
		g.t.Fatal(err)
	}
	srv := &http.Server{Handler: e}
	go srv.Serve(l)
	n := &node{Registrar: r, folder: folder, stop: func() {
		srv.Close()
		cancel()
		if log, _, err := r.supervisor.get(); err == nil {
			<-log.Done()
		}
	}}
	g.nodes[address] = n
	g.t.Cleanup(n.stop)
	return n
}

func (g *group) stop(address string) *node {
	n := g.nodes[address]
	n.stop()
	delete(g.nodes, address)
	return n
}

// eventually calls f until it returns nil.
func (g *group) eventually(what string, f func() error) {
	g.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			g.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (g *group) replace(n *node, version uint64, data string) {
	g.t.Helper()
	g.eventually("replace", func() error { return n.ReplaceCatalog(context.Background(), version, []byte(data)) })
}

func (g *group) read(n *node, version uint64, data string) {
	g.t.Helper()
	g.eventually("read", func() error {
		v, d, err := n.ReadCatalog(context.Background())
		if err != nil {
			return err
		}
		if diff := cmp.Diff([]any{version, data}, []any{v, string(d)}); diff != "" {
			g.t.Fatal(diff) // a read that succeeds must return the right catalog
		}
		return nil
	})
}

func (g *group) any() *node {
	for _, n := range g.nodes {
		return n
	}
	return nil
}

// TestCatalogSurvives guards against an acknowledged catalog being lost, or an
// older one being read, when registrars restart together, and against a version
// being replaced by other content.
func TestCatalogSurvives(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.nodes[g.seeds[0]], 3, "three")
	g.replace(g.nodes[g.seeds[1]], 3, "another three")
	g.replace(g.nodes[g.seeds[2]], 2, "two")
	for _, n := range g.nodes {
		g.read(n, 3, "three")
	}
	g.replace(g.nodes[g.seeds[1]], 8, "eight")
	var folders []string
	for _, address := range g.seeds {
		folders = append(folders, g.stop(address).folder)
	}
	for i, address := range g.seeds {
		g.start(address, folders[i], false)
	}
	for _, n := range g.nodes {
		g.read(n, 8, "eight")
	}
}

// TestMinority guards against a registrar without a majority answering a read or
// acknowledging a change.
func TestMinority(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 1, "one")
	g.stop(g.seeds[0])
	g.stop(g.seeds[1])
	time.Sleep(2 * time.Second) // longer than an election timeout
	n := g.nodes[g.seeds[2]]
	if _, _, err := n.ReadCatalog(context.Background()); err == nil {
		t.Error("a read succeeded without a majority")
	}
	if err := n.ReplaceCatalog(context.Background(), 2, []byte("two")); err == nil {
		t.Error("a change was acknowledged without a majority")
	}
}

// TestHandOver guards against requests waiting for an election when a leader is
// restarted on purpose.
func TestHandOver(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 1, "one")
	for _, n := range g.nodes {
		g.eventually("become a voter", func() error { return checkVoter(n) })
	}
	var leader *node
	for _, n := range g.nodes {
		if n.supervisor.status().IsLeader {
			leader = n
		}
	}
	leader.TransferLeadership(context.Background())
	if leader.supervisor.status().IsLeader {
		t.Fatal("the registrar is still the leader after the transfer")
	}
	g.stop(leader.cfg.Address)
	g.replace(g.any(), 2, "two")
	g.read(g.any(), 2, "two")
}

// TestLostDisk guards against a registrar that has lost its disk not joining
// again, and against the loss of an acknowledged catalog when another disk is
// lost after it has joined.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 5, "five")
	for _, address := range g.seeds[:2] {
		g.stop(address)
		n := g.start(address, t.TempDir(), false)
		g.eventually("become a voter", func() error { return checkVoter(n) })
		g.read(n, 5, "five")
	}
}

// TestReplacedHost guards against a new host at another address not replacing one
// that is permanently lost.
func TestReplacedHost(t *testing.T) {
	g := newGroup(t, 3)
	g.replace(g.any(), 5, "five")
	lost := g.seeds[1]
	g.stop(lost)
	n := g.start(freeAddress(t), t.TempDir(), false)
	g.eventually("become a voter", func() error { return checkVoter(n) })
	g.eventually("remove the lost member", func() error {
		for _, m := range n.supervisor.status().Members {
			if m.Address == lost {
				return fmt.Errorf("%s is still a member", lost)
			}
		}
		return nil
	})
	g.read(n, 5, "five")
}

func checkVoter(n *node) error {
	st := n.supervisor.status()
	voters := 0
	found := false
	for _, m := range st.Members {
		if m.Voter {
			voters++
			found = found || m.Id == st.ID
		}
	}
	if !found || voters != 3 {
		return fmt.Errorf("%d voters, self among them: %t", voters, found)
	}
	return nil
}

// TestDrain guards against a drained failure domain not being reported to
// followers.
func TestDrain(t *testing.T) {
	g := newGroup(t, 3)
	n := g.any()
	g.eventually("drain", func() error {
		_, err := n.Drain(context.Background(), &peer.DrainRequest{FailureDomain: "fes", Drained: true})
		return peer.FromTwirp(err)
	})
	for _, n := range g.nodes {
		g.eventually("receive the drain", func() error {
			res, err := n.Follow(context.Background(), &peer.FollowRequest{Node: &peer.Node{Id: "entry", Role: peer.Role_ROLE_ENTRY}, WaitMs: 50})
			if err != nil {
				return err
			}
			if len(res.Drained) != 1 {
				return fmt.Errorf("drained: %v", res.Drained)
			}
			return nil
		})
	}
}

// TestAnnounce guards against an acknowledged announcement in state gone being
// lost with the registrar that received it, and against invalid announcements
// being accepted.
func TestAnnounce(t *testing.T) {
	g := newGroup(t, 3)
	ctx := context.Background()
	a := &peer.Announcement{
		Id: "s1", BornMs: 1, Sequence: 1, Service: "pool", Address: "127.0.0.1:9", FailureDomain: "fes", State: peer.BackendState_BACKEND_STATE_READY,
	}
	first := g.nodes[g.seeds[0]]
	// The catalog that lists the service comes after the announcement.
	if err := first.Announce(ctx, a); err != nil {
		t.Fatal(err)
	}
	g.replace(first, 1, "one")
	for _, n := range g.nodes {
		g.eventually("receive the announcement", func() error { return checkListed(n, 1) })
	}
	if err := first.Announce(ctx, &peer.Announcement{Id: "s1", State: peer.BackendState_BACKEND_STATE_GONE}); err != nil {
		t.Fatal(err)
	}
	// No wait: the acknowledgement means that the other registrars have it.
	g.stop(g.seeds[0])
	for _, n := range g.nodes {
		if err := checkListed(n, 0); err != nil {
			t.Error(err)
		}
	}
	bad := map[string]*peer.Announcement{
		"no id":      {State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: "h:1", FailureDomain: "fes"},
		"no state":   {Id: "x", Service: "pool", Address: "h:1", FailureDomain: "fes"},
		"no service": {Id: "x", State: peer.BackendState_BACKEND_STATE_READY, Address: "h:1", FailureDomain: "fes"},
		"no port":    {Id: "x", State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: "h", FailureDomain: "fes"},
		"port 0":     {Id: "x", State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: "h:0", FailureDomain: "fes"},
		"large port": {Id: "x", State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: "h:99999", FailureDomain: "fes"},
		"no host":    {Id: "x", State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: ":80", FailureDomain: "fes"},
		"sequence":   {Id: "x", Sequence: 1 << 63, State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: "h:1", FailureDomain: "fes"},
		"start time": {Id: "x", BornMs: 1 << 63, State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: "h:1", FailureDomain: "fes"},
		"id":         {Id: "x\xff", State: peer.BackendState_BACKEND_STATE_READY, Service: "pool", Address: "h:1", FailureDomain: "fes"},
		"gone id":    {Id: "x\xff", State: peer.BackendState_BACKEND_STATE_GONE},
	}
	for name, a := range bad {
		t.Run(name, func(t *testing.T) {
			if err := g.any().Announce(ctx, a); !fault.Is(err, fault.BadRequest) {
				t.Errorf("error %v, want bad_request", err)
			}
		})
	}
}

// TestForeignAnnouncement guards against an announcement of another writer, whose
// service the catalog does not list, that displaces a sound backend server for good
// at any registrar (review/3).
func TestForeignAnnouncement(t *testing.T) {
	g := newGroup(t, 3)
	ctx := context.Background()
	first, last := g.nodes[g.seeds[0]], g.nodes[g.seeds[2]]
	g.replace(first, 1, "one")
	announce := func(n *node, id, service string, born, sequence uint64) {
		t.Helper()
		a := &peer.Announcement{
			Id: id, BornMs: born, Sequence: sequence, Service: service, Address: "127.0.0.1:9", FailureDomain: "fes", State: peer.BackendState_BACKEND_STATE_READY,
		}
		if err := n.Announce(ctx, a); err != nil {
			t.Fatal(err)
		}
	}
	announce(first, "s1", "pool", 1, 1)
	announce(first, "other", "unknown", 2, 1)
	announce(last, "s1", "unknown", 3, 99)
	announce(last, "s1", "pool", 1, 2)
	for _, n := range g.nodes {
		g.eventually("list the own announcement", func() error {
			n.mu.Lock()
			defer n.mu.Unlock()
			var got []string
			n.table.Entries(func(e *directory.Entry) { got = append(got, e.Announcement.Id+" "+e.Announcement.Service) })
			if diff := cmp.Diff([]string{"s1 pool"}, got); diff != "" {
				return errors.New(diff)
			}
			return nil
		})
	}
}

// TestOddAnnouncement guards against one odd announcement of another writer after
// which registrars and entries no longer follow the registrar that received it.
func TestOddAnnouncement(t *testing.T) {
	g := newGroup(t, 3)
	first, second := g.nodes[g.seeds[0]], g.nodes[g.seeds[1]]
	g.replace(first, 1, "one")
	for _, a := range []*peer.Announcement{
		{Id: "odd\xff", Service: "pool", Address: "127.0.0.1:9", FailureDomain: "fes"},
		{Id: "odd", Service: "pool", Address: "127.0.0.1:99999", FailureDomain: "fes"},
		{Id: "s1", Sequence: math.MaxUint64, BornMs: math.MaxUint64, Service: "pool", Address: "127.0.0.1:9", FailureDomain: "fes"},
	} {
		a.State = peer.BackendState_BACKEND_STATE_READY
		if err := first.Announce(context.Background(), a); err == nil {
			t.Errorf("announcement %v was accepted", a)
		}
	}
	sound := &peer.Announcement{
		Id: "s1", BornMs: 1, Sequence: 1, Service: "pool", Address: "127.0.0.1:9", FailureDomain: "fes", State: peer.BackendState_BACKEND_STATE_READY,
	}
	if err := first.Announce(context.Background(), sound); err != nil {
		t.Fatal(err)
	}
	g.eventually("receive the sound announcement", func() error { return checkListed(second, 1) })
}

func checkListed(n *node, want int) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	got := 0
	n.table.Entries(func(*directory.Entry) { got++ })
	if got != want {
		return fmt.Errorf("%d backend servers are listed, want %d", got, want)
	}
	return nil
}

// TestWithoutDisk guards against a registrar without a disk not forwarding: catalog
// changes through it must take effect, and announcements to it must reach the
// other registrars.
func TestWithoutDisk(t *testing.T) {
	g := newGroup(t, 3)
	n := g.start(freeAddress(t), "", true)
	g.replace(n, 4, "four")
	g.read(n, 4, "four")
	a := &peer.Announcement{
		Id: "s1", BornMs: 1, Sequence: 1, Service: "pool", Address: "127.0.0.1:9", FailureDomain: "fes", State: peer.BackendState_BACKEND_STATE_READY,
	}
	if err := n.Announce(context.Background(), a); err != nil {
		t.Fatal(err)
	}
	for _, n := range g.nodes {
		g.eventually("receive the announcement", func() error { return checkListed(n, 1) })
	}
}

// TestDiskFails guards against a registrar that is ready or acknowledges a change
// while its data folder cannot be used, or that does not recover afterwards.
func TestDiskFails(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	g := &group{t: t, seeds: []string{freeAddress(t)}, nodes: map[string]*node{}}
	n := g.start(g.seeds[0], folder, true)
	if err := n.Ready(); err == nil {
		t.Error("a registrar whose data folder cannot be used is ready")
	}
	if err := n.ReplaceCatalog(context.Background(), 2, []byte("two")); err == nil {
		t.Error("a registrar whose data folder cannot be used acknowledged a change")
	}
	if err := os.Remove(folder); err != nil {
		t.Fatal(err)
	}
	g.replace(n, 2, "two")
}

// TestEntriesShare guards against entries that get the same position, which share
// limits by it, and against loads being sent to callers that do not want them.
func TestEntriesShare(t *testing.T) {
	g := newGroup(t, 1)
	n := g.any()
	follow := func(id string, withoutLoads bool) *peer.FollowResponse {
		res, err := n.Follow(t.Context(), &peer.FollowRequest{
			Node: &peer.Node{Id: id, Role: peer.Role_ROLE_ENTRY}, WithoutLoads: withoutLoads,
			Loads: []*peer.ServerLoad{{Id: "s0", InFlight: 2}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	for _, id := range []string{"c", "a", "b"} {
		follow(id, false)
	}
	indexes, loads := map[string]uint32{}, map[string]uint32{}
	for _, id := range []string{"a", "b", "c"} {
		res := follow(id, id == "c")
		indexes[id] = res.EntryIndex
		for _, l := range res.Loads {
			loads[id+" "+l.Id] = l.InFlight
		}
	}
	if diff := cmp.Diff(map[string]uint32{"a": 0, "b": 1, "c": 2}, indexes); diff != "" {
		t.Errorf("positions: %s", diff)
	}
	if diff := cmp.Diff(map[string]uint32{"a s0": 4, "b s0": 4}, loads); diff != "" {
		t.Errorf("loads of other entries: %s", diff)
	}
}
