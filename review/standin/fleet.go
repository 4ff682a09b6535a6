package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// machine is one machine of the deployment: a loopback address with a settings
// file and the processes of its roles.
type machine struct {
	name, class, zone, ip string
	disk                  bool
	app                   string // address of the runner, on side machines
	roles                 []string
}

// fleet is a deployment of the project's own processes.
type fleet struct {
	record   *record
	folder   string
	net      int // second octet of all addresses
	port     int // first of the ports, which are the same on all machines
	machines []*machine
	run      map[string][]string // command of each role

	mu        sync.Mutex
	processes map[string]*process
	ending    bool
}

type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Ports of each machine, counted from the first.
const (
	frontPort = iota
	readyPort
	controlPort
	appPort
	internalPort
	lastInternalPort = internalPort + 3
	portCount        = lastInternalPort + 1
)

// newFleet reads the commands of the roles from the deploy file and picks
// addresses and ports that are free.
func newFleet(r *record) (*fleet, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	var deploy struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if err := toml.Unmarshal(data, &deploy); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, run: map[string][]string{}, processes: map[string]*process{}}
	for name, role := range deploy.Roles {
		f.run[name] = strings.Fields(role.Run)
	}
	for range 50 {
		f.net, f.port = 20+rand.IntN(200), 20000+rand.IntN(1000)*portCount
		if f.isFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports were found")
}

func (f *fleet) isFree() bool {
	for i := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", f.net, f.port+i))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// address returns the address of a machine at one of its ports.
func (f *fleet) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, f.port+port) }

// addFront adds a front machine; those with a disk run control.
func (f *fleet) addFront(zone int, disk bool, roles ...string) *machine {
	n := len(f.fronts()) + 1
	m := &machine{
		name: fmt.Sprintf("front-%d", n), class: "front", zone: zoneName(zone), ip: fmt.Sprintf("127.%d.1.%d", f.net, n), disk: disk, roles: roles,
	}
	f.machines = append(f.machines, m)
	return m
}

// addSide adds the machine of a runner, which runs a relay.
func (f *fleet) addSide(zone int) *machine {
	n := len(f.machines) - len(f.fronts()) + 1
	m := &machine{name: fmt.Sprintf("side-%d", n), class: "side", zone: zoneName(zone), ip: fmt.Sprintf("127.%d.2.%d", f.net, n), roles: []string{"relay"}}
	m.app = f.address(m, appPort)
	f.machines = append(f.machines, m)
	return m
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func (f *fleet) fronts() []*machine {
	var list []*machine
	for _, m := range f.machines {
		if m.class == "front" {
			list = append(list, m)
		}
	}
	return list
}

// controls returns the addresses for operators and runners.
func (f *fleet) controls() []string {
	var list []string
	for _, m := range f.machines {
		for _, role := range m.roles {
			if role == "control" {
				list = append(list, f.address(m, controlPort))
			}
		}
	}
	return list
}

const settings = `node_name = %q
role = %q
machine_class = %q
ip_address = %q
zone = %q
region = "loopback"
internal_port_range = [%d,%d]
seed_nodes = ["%s"]
first_start = %t
counts_as_loss = %t
data_directory = %q
discovery = "registration"
heartbeat_interval_ms = 1200
app = %q
[listen_addresses]
front = %q
ready = %q
control = %q
[limits]
cpu_cores = 1
memory_mb = 284
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_window_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_period_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
configuration_deadline_ms = 2000
fail_closed = false
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
cold_overshoot = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
`

// start starts one role of a machine.
func (f *fleet) start(m *machine, role string, firstStart bool) error {
	seeds := f.controls()
	seeds = seeds[:min(3, len(seeds))]
	data := ""
	if m.disk {
		data = f.dataFolder(m, role)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	}
	path := filepath.Join(f.folder, m.name+"-"+role+".toml")
	front, ready, control := "", "", ""
	switch role {
	case "entry":
		front, ready = f.address(m, frontPort), f.address(m, readyPort)
	case "control":
		control = f.address(m, controlPort)
	}
	text := fmt.Sprintf(settings, m.name, role, m.class, m.ip, m.zone, f.port+internalPort, f.port+lastInternalPort,
		strings.Join(seeds, `","`), firstStart, m.disk, data, m.app, front, ready, control)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := f.run[role]
	if len(words) == 0 {
		return fmt.Errorf("the deploy file has no role %q", role)
	}
	cmd := exec.Command(words[0], words[1:]...)
	// The platform gives a process one core and few variables.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERRACK_BOOT=" + path, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ending {
		return fmt.Errorf("the fleet is ending")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	f.processes[m.name+"/"+role] = p
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return nil
}

// dataFolder returns the data folder of a role.
func (f *fleet) dataFolder(m *machine, role string) string {
	return filepath.Join(f.folder, m.name+"-"+role)
}

// startAll starts all roles of all machines for the first time.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		for _, role := range m.roles {
			if err := f.start(m, role, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// signal sends a signal to all processes of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	for _, role := range m.roles {
		f.signalRole(m, role, s)
	}
}

func (f *fleet) signalRole(m *machine, role string, s syscall.Signal) {
	f.mu.Lock()
	p := f.processes[m.name+"/"+role]
	f.mu.Unlock()
	f.record.add("signal %v to %s %s", s, m.name, role)
	p.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-p.ended
	}
}

// end ends all processes. If keep names a folder, their logs are copied there.
func (f *fleet) end(keep string) {
	f.mu.Lock()
	f.ending = true
	list := f.processes
	f.processes = nil
	f.mu.Unlock()
	for _, p := range list {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range list {
		<-p.ended
	}
	if keep != "" {
		os.MkdirAll(keep, 0o755)
		logs, _ := filepath.Glob(filepath.Join(f.folder, "*.log"))
		for _, name := range logs {
			if data, err := os.ReadFile(name); err == nil {
				os.WriteFile(filepath.Join(keep, filepath.Base(name)), data, 0o644)
			}
		}
	}
	os.RemoveAll(f.folder)
}

// awaitReady waits until all entries report that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, m := range f.fronts() {
		for {
			status, err := get(ctx, "http://"+f.address(m, readyPort)+"/oleanderrack/readiness")
			if err == nil && status == http.StatusOK {
				break
			}
			if !sleep(ctx, 100*time.Millisecond) {
				return fmt.Errorf("%s is not ready: %v", m.name, err)
			}
		}
	}
	return nil
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{}}

func get(ctx context.Context, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	res, err := probe.Do(req)
	if err != nil {
		return 0, err
	}
	res.Body.Close()
	return res.StatusCode, nil
}

// sleep reports whether ctx still holds after d.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
