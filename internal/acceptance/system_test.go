package acceptance

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Names of the deployment that most tests use: the Atlas Cire example at a
// smaller size.
const (
	region      = "maghreb"
	modelName   = "assistant-pool"
	plainName   = "order-desk"
	accountKey  = "workshop-key-0123456789"
	accountName = "workshop-1"
	// readyTimeout ends a test whose system does not start. It is not a bound on
	// the start time.
	readyTimeout = 60 * time.Second
)

var failureDomains = []string{"fes", "meknes", "ifrane"}

// host is an agent with the backend servers on its host.
type host struct {
	name          string
	failureDomain string
	agent         *process
	link          *link
	// control is the host's own link to the only control replica, nil if there
	// are several.
	control  *link
	backends []*backend
}

// control is a control replica.
type control struct {
	id      int
	process *process
	listen  string
	link    *link
	folder  string
	config  string
}

type entry struct {
	process *process
	address string
	config  string
	// control is the entry's own link to the only control replica, nil if there
	// are several.
	control *link
}

// system is a complete deployment of real processes. Control replicas and
// agents are reached through a link.
type system struct {
	t        *testing.T
	folder   string
	controls []*control
	entries  []*entry
	hosts    []*host
	operator *controlapi.Client
}

// options sets the size of a system. The zero value gives three control
// replicas, two entries, three hosts with one model engine each and two with a
// plain service.
type options struct {
	controls    int
	entries     int
	modelHosts  int
	plainHosts  int
	engineFlags []string
	plainFlags  []string
	intent      func(*intent.Intent)
}

func (o options) withDefaults() options {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	set(&o.controls, 3)
	set(&o.entries, 2)
	set(&o.modelHosts, 3)
	set(&o.plainHosts, 2)
	return o
}

// startSystem starts a system and waits until all entries are ready and all
// backend servers are in the leader's status.
func startSystem(t *testing.T, o options) *system {
	t.Helper()
	o = o.withDefaults()
	s := &system{t: t, folder: t.TempDir()}
	s.writeFile("system_token", "system-token-0123456789")
	s.writeFile("operator_token", "operator-token-0123456789")
	s.startControls(o.controls)
	s.operator = controlapi.New(s.controlAddresses(), &http.Client{
		Transport: auth.Client{Token: auth.New("operator-token-0123456789"), Base: &http.Transport{}},
	})
	in := testIntent()
	if o.intent != nil {
		o.intent(&in)
	}
	s.confirm(in, "first-intent")
	for i := range o.modelHosts {
		s.startHost(fmt.Sprintf("model-%d", i+1), failureDomains[i%3], "model", modelName, o.engineFlags)
	}
	for i := range o.plainHosts {
		s.startHost(fmt.Sprintf("plain-%d", i+1), failureDomains[i%3], "plain", plainName, o.plainFlags)
	}
	for i := range o.entries {
		s.startEntry(i)
	}
	s.awaitReady()
	return s
}

func (s *system) writeFile(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *system) startControls(n int) {
	s.t.Helper()
	var listens []string
	for i := range n {
		listens = append(listens, freeAddress(s.t))
		s.controls = append(s.controls, &control{id: i + 1, listen: listens[i], link: newLink(s.t, fmt.Sprintf("control-%d", i+1), listens[i])})
	}
	for i, c := range s.controls {
		c.folder = filepath.Join(s.folder, fmt.Sprintf("data-%d", c.id))
		c.config = s.writeFile(fmt.Sprintf("control-%d.toml", c.id), s.controlSettings(c, listens[i], true))
		c.process = newProcess(s.t, s.folder, fmt.Sprintf("control-%d", c.id), oleanderrackBinary, "control", "-settings", c.config)
		c.process.start()
	}
}

func (s *system) controlSettings(c *control, listen string, bootstrap bool) string {
	var b strings.Builder
	b.WriteString(s.commonSettings(s.controlAddresses(), listen, c.link.address(), failureDomains[(c.id-1)%3], fmt.Sprintf("control-%d", c.id)))
	fmt.Fprintf(&b, "id = %d\ndata_folder = %q\noperator_token_file = %q\n", c.id, c.folder, filepath.Join(s.folder, "operator_token"))
	if bootstrap {
		for i, other := range s.controls {
			fmt.Fprintf(&b, "\n[[bootstrap]]\nid = %d\naddress = %q\nfailure_domain = %q\n", other.id, other.link.address(), failureDomains[i%3])
		}
	}
	return b.String()
}

func (s *system) commonSettings(control []string, listen, advertise, failureDomain, hostName string) string {
	quoted := make([]string, len(control))
	for i, address := range control {
		quoted[i] = fmt.Sprintf("%q", address)
	}
	return fmt.Sprintf("listen = %q\nadvertise = %q\nregion = %q\nfailure_domain = %q\nhost = %q\ntoken_file = %q\ncontrol = [%s]\nlog_level = \"info\"\n",
		listen, advertise, region, failureDomain, hostName, filepath.Join(s.folder, "system_token"), strings.Join(quoted, ", "))
}

// controlAddressesFor returns the control addresses of a node. With a single
// control replica the node gets a link of its own, so that it alone can be
// partitioned. With several, the addresses in the replicas' answers would bypass
// such a link.
func (s *system) controlAddressesFor(name string) ([]string, *link) {
	s.t.Helper()
	if len(s.controls) > 1 {
		return s.controlAddresses(), nil
	}
	l := newLink(s.t, name+"-control", s.controls[0].listen)
	return []string{l.address()}, l
}

func (s *system) startHost(name, failureDomain, kind, service string, flags []string) *host {
	s.t.Helper()
	h, listen := s.startAgent(name, failureDomain)
	h.backends = append(h.backends, s.startBackend(name+"-a", kind, service, listen, flags))
	return h
}

// startAgent starts a host without backend servers and returns the address at
// which backend servers announce themselves.
func (s *system) startAgent(name, failureDomain string) (*host, string) {
	s.t.Helper()
	listen := freeAddress(s.t)
	h := &host{name: name, failureDomain: failureDomain, link: newLink(s.t, name, listen)}
	var control []string
	control, h.control = s.controlAddressesFor(name)
	config := s.writeFile(name+".toml", s.commonSettings(control, listen, h.link.address(), failureDomain, name))
	h.agent = newProcess(s.t, s.folder, name, oleanderrackBinary, "runner", "-settings", config)
	h.agent.start()
	s.hosts = append(s.hosts, h)
	return h, listen
}

func (s *system) startEntry(i int) {
	s.t.Helper()
	name := fmt.Sprintf("entry-%d", i+1)
	e := &entry{address: freeAddress(s.t)}
	var control []string
	control, e.control = s.controlAddressesFor(name)
	e.config = s.writeFile(name+".toml", s.commonSettings(control, e.address, e.address, failureDomains[i%3], name))
	e.process = newProcess(s.t, s.folder, name, oleanderrackBinary, "entry", "-settings", e.config)
	e.process.start()
	s.entries = append(s.entries, e)
}

func (s *system) controlAddresses() []string {
	var out []string
	for _, c := range s.controls {
		out = append(out, c.link.address())
	}
	return out
}

// awaitReady waits until all entries are ready and the leader's status lists at
// least as many backend servers as there are hosts, and until each entry knows as
// many: an entry that knows one of two backend servers refuses requests when that
// one is drained.
func (s *system) awaitReady() {
	s.t.Helper()
	for _, e := range s.entries {
		s.eventually(readyTimeout, "entry is ready", func() error { return isReady(e.address) })
	}
	s.eventually(readyTimeout, "backend servers are in the status", func() error {
		status, err := s.status()
		if err != nil {
			return err
		}
		known := 0
		for _, n := range status.Nodes {
			known += len(n.BackendServers)
		}
		if known < len(s.hosts) {
			return fmt.Errorf("the status lists %d of %d backend servers", known, len(s.hosts))
		}
		return nil
	})
	for _, e := range s.entries {
		s.eventually(readyTimeout, "the entry knows all backend servers", func() error {
			m := knownServersPattern.FindStringSubmatch(metricsOf(s.t, e.address))
			if m == nil {
				return errors.New("no number of backend servers in the metrics")
			}
			if known, err := strconv.Atoi(m[1]); err != nil || known < len(s.hosts) {
				return fmt.Errorf("the entry knows %s of %d backend servers: %v", m[1], len(s.hosts), err)
			}
			return nil
		})
	}
}

var knownServersPattern = regexp.MustCompile(`(?m)^oleanderrack_known_backend_servers\{[^}]*\} (\S+)$`)

func isReady(address string) error {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("readyz answers %d", resp.StatusCode)
	}
	return nil
}

func (s *system) status() (*peer.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return s.operator.Status(ctx, &peer.StatusRequest{})
}

// leader returns the control replica that is the leader.
func (s *system) leader() *control {
	s.t.Helper()
	var found *control
	s.eventually(readyTimeout, "a leader answers", func() error {
		status, err := s.status()
		if err != nil {
			return err
		}
		for _, c := range s.controls {
			if c.link.address() == status.Leader {
				found = c
				return nil
			}
		}
		return fmt.Errorf("leader %q is no control replica of this system", status.Leader)
	})
	return found
}

// confirm commits an intent and returns its revision. It retries under the same
// operation id until the confirm succeeds.
func (s *system) confirm(in intent.Intent, operationID string) uint64 {
	s.t.Helper()
	return s.confirmPlan(&peer.PlanRequest{Intent: in.Canonical()}, operationID)
}

// setDrained drains a failure domain or returns it to service.
func (s *system) setDrained(failureDomain string, drained bool, operationID string) uint64 {
	s.t.Helper()
	return s.confirmPlan(&peer.PlanRequest{Changes: []*peer.StateChange{{FailureDomain: failureDomain, Drained: drained}}}, operationID)
}

func (s *system) confirmPlan(req *peer.PlanRequest, operationID string) uint64 {
	s.t.Helper()
	var plan *peer.PlanResponse
	s.eventually(readyTimeout, "plan is made", func() (err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		plan, err = s.operator.Plan(ctx, req)
		return err
	})
	var revision uint64
	s.eventually(readyTimeout, "plan is confirmed", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		resp, err := s.operator.Confirm(ctx, &peer.ConfirmRequest{
			PlanId: plan.PlanId, BaseRevision: plan.BaseRevision, Intent: plan.Intent,
			OperationId: operationID, OperatorName: "test",
		})
		if err == nil {
			revision = resp.Revision
		}
		return err
	})
	return revision
}

// eventually retries f until it succeeds. The limit only ends a test that hangs.
func (s *system) eventually(limit time.Duration, what string, f func() error) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after %v waiting for %q: %v", limit, what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func testIntent() intent.Intent {
	in := intent.Intent{Region: region}
	for _, d := range failureDomains {
		in.FailureDomains = append(in.FailureDomains, intent.FailureDomain{Name: d})
	}
	in.Services = []intent.Service{
		{Name: modelName, Kind: intent.Model, FailureDomains: failureDomains},
		{Name: plainName, Kind: intent.Plain, FailureDomains: failureDomains, Routes: []intent.Route{
			{Method: "GET", Path: "/stock/*", Repeatable: true},
		}},
	}
	sum := sha256.Sum256([]byte(accountKey))
	in.ClientAccounts = []intent.ClientAccount{{Name: accountName, KeySHA256: hex.EncodeToString(sum[:])}}
	return in
}

// Ports of the processes under test are below the kernel's ephemeral port range.
// A free port from that range can be taken by an outgoing connection before the
// process listens on it.
const (
	firstPort = 11000
	lastPort  = 31000
)

var nextPort atomic.Int32

func freeAddress(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", freePorts(t, 1))
}

// freePorts returns the first of n consecutive free ports.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range lastPort - firstPort {
		end := os.Getpid()*97 + int(nextPort.Add(int32(n)))
		first := firstPort + (end-n)%(lastPort-firstPort)
		if areFree(first, n) {
			return first
		}
	}
	t.Fatal("no free port")
	return 0
}

// areFree reports whether no one listens on n consecutive ports. It connects: a
// listener of its own would stay open in a child process that another test starts at
// the same moment, until that process calls exec, and take the port from its owner.
func areFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		conn, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			conn.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
	}
	return true
}
