package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a host, relative to the first port of the system.
const (
	frontPort = iota
	readyPort
	controlPort
	appPort
	internalPort
	portCount = internalPort + 2
)

// The bounds of the small deployments, as the sheets give them.
const (
	contactWindow = 3 * time.Second
	drainPeriod   = 2 * time.Second
	gracePeriod   = 8 * time.Second
	memoryMB      = 284
)

// system is the project's own programs, each as a process, on loopback addresses.
type system struct {
	folder string
	base   string // first three numbers of all addresses
	first  int    // port
	zones  []string
	hosts  []*host
	record *recorder
	runs   map[string][]string // command of each role

	mu        sync.Mutex
	processes map[*process]bool
}

// host is one machine with a control and an entry process.
type host struct {
	index    int
	ip, zone string
	settings string
	disk     string
	seeds    []string

	entry, control *process
}

// process is a process that this program started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// newSystem prepares a system in a temporary folder.
func newSystem(record *recorder) (*system, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, record: record, zones: []string{"fes", "meknes", "ifrane"}, processes: map[*process]bool{}}
	if s.runs, err = readRoles("deploy/system.toml"); err != nil {
		return nil, err
	}
	for range 100 {
		s.base = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		s.first = 20000 + rand.IntN(1000)*10
		if s.isFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free range of ports")
}

func (s *system) isFree() bool {
	for port := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", s.base, s.first+port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// readRoles reads the command of each role from the deploy file.
func readRoles(path string) (map[string][]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	runs, role := map[string][]string{}, ""
	section, run := regexp.MustCompile(`^\[roles\.([\w-]+)\]`), regexp.MustCompile(`^run = "(.*)"`)
	for line := range strings.Lines(string(data)) {
		if m := section.FindStringSubmatch(line); m != nil {
			role = m[1]
		}
		if m := run.FindStringSubmatch(line); m != nil {
			runs[role] = strings.Fields(m[1])
		}
	}
	return runs, nil
}

func (s *system) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.first+port))
}

// hostIP and runnerIP return the addresses of machines.
func (s *system) hostIP(i int) string   { return fmt.Sprintf("%s.%d", s.base, 10+i) }
func (s *system) runnerIP(i int) string { return fmt.Sprintf("%s.%d", s.base, 100+i) }

// addHosts adds machines. The first withDisk of them have a disk.
func (s *system) addHosts(count, withDisk int) error {
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, s.address(s.hostIP(i), controlPort))
	}
	for i := range count {
		h := &host{index: i, ip: s.hostIP(i), zone: s.zones[i%len(s.zones)], seeds: seeds}
		if i < withDisk {
			h.disk = filepath.Join(s.folder, fmt.Sprintf("disk-%d", i))
			if err := os.Mkdir(h.disk, 0o700); err != nil {
				return err
			}
		}
		h.settings = filepath.Join(s.folder, fmt.Sprintf("host-%d.toml", i))
		s.hosts = append(s.hosts, h)
		if err := s.writeSettings(h, true); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) writeSettings(h *host, firstStart bool) error {
	text := fmt.Sprintf(`node_name = "front-%s-%d"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip_address = %q
zone = %q
region = "maghreb"
internal_port_range = [%d,%d]
seed_nodes = ["%s"]
first_start = %t
counts_as_loss = %t
data_directory = %q
discovery = "registration"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","pressure","experts"]
configuration_mode = "highest"
[zones]
fes = "maghreb"
meknes = "maghreb"
ifrane = "maghreb"
[listen_addresses]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.72
cpu_cores = 1
memory_mb = %d
file_descriptors = 4100
link_speed_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_propagation_s = 3
address_reuse_s = 2
contact_window_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_period_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
configuration_deadline_ms = 2000
regression_window_ms = 250
max_stretch_ms = 5000
fail_closed = false
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
cold_overshoot = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
fencing_required = false
`, h.zone, h.index, h.ip, h.zone, s.first+internalPort, s.first+internalPort+1, strings.Join(h.seeds, `","`), firstStart, h.disk != "", h.disk,
		s.address(h.ip, frontPort), s.address(h.ip, readyPort), s.address(h.ip, controlPort), memoryMB)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// startRole starts a role with the command of the deploy file.
func (s *system) startRole(h *host, role string) (*process, error) {
	run := s.runs[role]
	if len(run) == 0 {
		return nil, fmt.Errorf("the deploy file has no role %s", role)
	}
	return s.start(fmt.Sprintf("%s-%d", role, h.index), []string{"OLEANDERRACK_BOOT=" + h.settings}, run[0], run[1:]...)
}

// start starts a process whose output goes to a file of the temporary folder.
func (s *system) start(name string, environment []string, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, environment...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	s.mu.Lock()
	s.processes[p] = true
	s.mu.Unlock()
	go func() {
		cmd.Wait()
		s.mu.Lock()
		delete(s.processes, p)
		s.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to a process of this program.
func (p *process) signal(sig syscall.Signal) { p.cmd.Process.Signal(sig) }

// close ends all processes and removes the folder.
func (s *system) close() {
	s.mu.Lock()
	var all []*process
	for p := range s.processes {
		all = append(all, p)
	}
	s.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// startHosts starts both roles on all machines.
func (s *system) startHosts() error {
	for _, h := range s.hosts {
		var err error
		if h.control, err = s.startRole(h, "control"); err != nil {
			return err
		}
		if h.entry, err = s.startRole(h, "entry"); err != nil {
			return err
		}
	}
	return nil
}

var operator = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends an operator's order to one machine and returns the status and the body.
func (s *system) call(h *host, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+s.address(h.ip, controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := operator.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 32<<20))
	return res.StatusCode, data, err
}

// order sends an order to the machines in turn until one acknowledges it.
func (s *system) order(path string, body []byte, within time.Duration) error {
	last := errors.New("no machine")
	for n, end := 0, time.Now().Add(within); time.Now().Before(end); n++ {
		h := s.hosts[n%len(s.hosts)]
		status, _, err := s.call(h, http.MethodPost, path, body)
		if err == nil && status == http.StatusOK {
			s.record.add("operator", "%s acknowledged by %s", path, h.ip)
			return nil
		}
		last = fmt.Errorf("%s: status %d, %v", h.ip, status, err)
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// isReady asks a machine as the platform does.
func (s *system) isReady(h *host) bool {
	res, err := operator.Get("http://" + s.address(h.ip, readyPort) + "/oleanderrack/readiness")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func waitFor(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// serve starts the machines, sends the first configuration, and waits until all entries
// are ready.
func (s *system) serve(c configuration) error {
	if err := s.startHosts(); err != nil {
		return err
	}
	if err := s.order("/oleanderrack/configuration/replace", c.encode(), 30*time.Second); err != nil {
		return err
	}
	for _, h := range s.hosts {
		if !waitFor(20*time.Second, func() bool { return s.isReady(h) }) {
			return fmt.Errorf("%s is not ready", h.ip)
		}
	}
	return nil
}

// configuration is what the operator sends.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func (c configuration) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

const (
	domain    = "atlas.example"
	apiKey    = "n0k3yn0k3y"
	tenant    = "workshop-1"
	poolName  = "assistant-pool"
	deskName  = "order-desk"
	bodyBytes = 4 << 20
)

// firstConfiguration has a route of each kind, with the times of the sheets.
func firstConfiguration() configuration {
	route := func(name, kind, service string, timeoutMS, targetMS, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": domain, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return configuration{
		Version: 3,
		Routes: []map[string]any{
			route("drafts", "streaming", poolName, 8000, 400, 2, map[string]any{"stream_resumption": true, "target_gap_ms": 120, "session_affinity": true}),
			route("letters", "streaming", poolName, 8000, 400, 1, map[string]any{"target_gap_ms": 120, "session_affinity": true}),
			route("orders", "non_idempotent", deskName, 1000, 150, 1, nil),
			route("stock", "idempotent", deskName, 1000, 150, 2, nil),
		},
		Services: []map[string]any{
			{"name": poolName, "health_check_path": "/health", "max_connections": 438, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 38.0},
			{"name": deskName, "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false},
		},
		Limits:  map[string]any{"header_bytes": 16384, "body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	}
}
