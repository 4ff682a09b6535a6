package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// Ports of each machine, relative to the first one. They are the same on all machines.
const (
	frontPort = iota
	readyPort
	controlPort
	appPort
	internalPort
	portCount = internalPort + 16
)

var zones = []string{"fes", "meknes", "ifrane"}

// machine is a loopback address on which processes run.
type machine struct {
	name, ip, zone, class string
	disk                  bool
	firstStart            bool
	app                   string // address of the runner of a side machine
	roles                 []string

	mu        sync.Mutex
	processes map[string]*process // by role
}

// process is a running program of the deploy file.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// system is a small deployment: two front machines in each of three zones, the first of
// which has a disk, and the machines of the model runners.
type system struct {
	root, folder string
	rec          *record
	firstPort    int
	net          string // the first three bytes of the addresses
	claim        net.Listener
	fronts       []*machine
	sides        []*machine
}

// newSystem draws addresses and ports that no other case uses.
func newSystem(root, folder string, rec *record) (*system, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	s := &system{root: root, folder: folder, rec: rec}
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 40+rand.IntN(180), rand.IntN(250))
		s.firstPort = 20000 + rand.IntN(300)*portCount
		if s.claim, err = net.Listen("tcp", s.address(s.net+".250", frontPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	for i := range 2 * len(zones) {
		zone := zones[i%len(zones)]
		s.fronts = append(s.fronts, &machine{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), ip: fmt.Sprintf("%s.%d", s.net, i+1), zone: zone, class: "front",
			disk: i < len(zones), firstStart: true, roles: []string{"control", "entry"}, processes: map[string]*process{},
		})
	}
	return s, nil
}

func (s *system) address(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(s.firstPort+port))
}

// addSide adds the machine of a model runner.
func (s *system) addSide(r *runner) {
	s.sides = append(s.sides, &machine{
		name: "side-" + r.name, ip: r.ip, zone: r.zone, class: "side", firstStart: true, app: r.address,
		roles: []string{"relay"}, processes: map[string]*process{},
	})
}

// seeds are three machines that serve control.
func (s *system) seeds() []string {
	var list []string
	for _, m := range s.fronts[:3] {
		list = append(list, s.address(m.ip, controlPort))
	}
	return list
}

// controls are the addresses of all machines that serve control.
func (s *system) controls() []string {
	var list []string
	for _, m := range s.fronts {
		list = append(list, s.address(m.ip, controlPort))
	}
	return list
}

// writeSettings writes the settings file of a role, as on the users' page.
func (s *system) writeSettings(m *machine, role string) (string, error) {
	data := ""
	if m.disk {
		data = filepath.Join(s.folder, m.name, role)
	}
	var serves, listen []string
	app := ""
	switch role {
	case "control":
		serves, listen = []string{"control"}, []string{fmt.Sprintf("control = %q", s.address(m.ip, controlPort))}
	case "entry":
		serves = []string{"front"}
		listen = []string{fmt.Sprintf("front = %q", s.address(m.ip, frontPort)), fmt.Sprintf("ready = %q", s.address(m.ip, readyPort))}
	case "relay":
		serves, app = []string{"side"}, fmt.Sprintf("app = %q\n", m.app)
	}
	memory, descriptors := 284, 4100
	if m.class == "side" {
		memory, descriptors = 152, 2048
	}
	text := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = ["%s"]
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
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","pressure"]
configuration_mode = "highest"
%s[zones]
fes = "maghreb"
meknes = "maghreb"
ifrane = "maghreb"
[listen_addresses]
%s
[limits]
cpu_share = 0.72
cpu_cores = 1
memory_mb = %d
file_descriptors = %d
link_speed_mbps = 1000.0
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
`, m.name, role, m.class, strings.Join(serves, `","`), m.ip, m.zone, s.firstPort+internalPort, s.firstPort+portCount-1,
		strings.Join(s.seeds(), `","`), m.firstStart, m.disk, data, app, strings.Join(listen, "\n"), memory, descriptors)
	path := filepath.Join(s.folder, m.name+"-"+role+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startAll starts all machines at the same moment.
func (s *system) startAll() error {
	for _, m := range append(append([]*machine{}, s.fronts...), s.sides...) {
		if err := s.startMachine(m); err != nil {
			return err
		}
	}
	s.rec.add("all machines are started, first_start is true")
	return nil
}

// startMachine starts the processes of a machine.
func (s *system) startMachine(m *machine) error {
	for _, role := range m.roles {
		if err := s.start(m, role); err != nil {
			return err
		}
	}
	return nil
}

// metricsPorts are those of the commands in the deploy file.
var metricsPorts = map[string]string{"entry": "9464", "control": "9465", "relay": "9466"}

func (s *system) start(m *machine, role string) error {
	path, err := s.writeSettings(m, role)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(s.root, "target", "oleanderrack-platform"), "-metrics-port", metricsPorts[role], role)
	c.Dir = s.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "OLEANDERRACK_BOOT=" + path}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{command: c, ended: make(chan struct{})}
	go func() {
		c.Wait()
		close(p.ended)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes[role] = p
	return nil
}

// signal sends a signal to the processes of a machine.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		select {
		case <-p.ended:
		default:
			p.command.Process.Signal(sig)
		}
	}
}

// kill ends the processes of a machine with SIGKILL and waits for their end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		<-p.ended
	}
}

// ownEnds returns the processes that have ended although they were not killed.
func (s *system) ownEnds() error {
	for _, m := range append(append([]*machine{}, s.fronts...), s.sides...) {
		m.mu.Lock()
		for role, p := range m.processes {
			select {
			case <-p.ended:
				m.mu.Unlock()
				return fmt.Errorf("%s of %s has ended: %v", role, m.name, p.command.ProcessState)
			default:
			}
		}
		m.mu.Unlock()
	}
	return nil
}

// end ends all processes. KEEP_LOGS in the environment names a folder for their logs.
func (s *system) end() {
	for _, m := range append(append([]*machine{}, s.fronts...), s.sides...) {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	s.claim.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
		for _, path := range logs {
			if data, err := os.ReadFile(path); err == nil {
				os.WriteFile(filepath.Join(keep, filepath.Base(path)), data, 0o600)
			}
		}
	}
}

var errNoAck = errors.New("there was no acknowledgement")
