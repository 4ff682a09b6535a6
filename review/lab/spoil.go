package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// spoilSeconds is how long the registrars are watched.
	spoilSeconds = 60
	// restartDelay is the time after which the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
	// The rule allows fewer than endsAllowed ends on half of the core.
	endsAllowed = 3
)

// spoilCase has four of eight ranks spoil one byte of a few of their answers to registrars.
func spoilCase(s *system, trouble bool) ([]string, error) {
	if err := s.addHosts(3, 3); err != nil {
		return nil, err
	}
	c := firstConfiguration()
	c.Services[0]["engine"] = map[string]any{
		"slots": 12, "kv_cache_tokens": 372000, "kv_token_bytes": 96256, "link_speed_mbps": 92000, "stride": 5, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200, "pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200,
		"usual": map[string]any{"prompt": 835, "answer": 139}, "sets": sets, "experts": experts, "places": 11, "spare": 4, "expert_mb": 580, "expert_share": 0.85, "form_ms": 600,
	}
	if err := s.serve(c); err != nil {
		return nil, err
	}
	for i := range groupSize {
		r := runnerConfig{service: poolName, slots: 12, events: 28, gap: 40 * time.Millisecond, group: "g1", rank: i}
		if trouble && i < 4 {
			r.spoiled = []string{"0+4+8", "1+5+9", "2+6+10", "3+7+11"}[i]
		}
		if err := s.startRelay(i); err != nil {
			return nil, err
		}
		if _, err := s.startRunner(i, r); err != nil {
			return nil, err
		}
	}
	ends := map[string]int{}
	for end := time.Now().Add(spoilSeconds * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range s.hosts {
			for _, p := range []**process{&h.control, &h.entry} {
				select {
				case <-(*p).done:
				default:
					continue
				}
				name := (*p).name
				ends[name]++
				s.record.add("platform", "%s has ended by itself: %v", name, (*p).cmd.ProcessState)
				time.Sleep(restartDelay)
				role, _, _ := strings.Cut(name, "-")
				next, err := s.startRole(h, role)
				if err != nil {
					return nil, err
				}
				*p = next
			}
		}
	}
	for _, line := range s.runnersLog() {
		s.record.add("runners", "%s", line)
	}
	for name := range ends {
		data, _ := os.ReadFile(filepath.Join(s.folder, name+".log"))
		for line := range strings.Lines(string(data)) {
			if strings.HasPrefix(line, "panic:") {
				s.record.add(name, "%s", strings.TrimSpace(line))
			}
		}
	}
	machines, total := 0, 0
	for _, n := range ends {
		total += n
		if n >= endsAllowed {
			machines++
		}
	}
	s.record.add("result", "ends by themselves: %v", ends)
	if 2*machines >= len(s.hosts) {
		return []string{fmt.Sprintf("Fault: on %d of %d machines of the core a process ended by itself three times or more, %d times in all: %v", machines, len(s.hosts), total, ends)}, nil
	}
	if total > 0 {
		fmt.Println("ends", ends)
	}
	return nil, nil
}

// startRelay starts the relay on the machine of a runner.
func (s *system) startRelay(i int) error {
	ip := s.runnerIP(i)
	h := &host{index: 100 + i, ip: ip, zone: s.zones[i%len(s.zones)], seeds: s.hosts[0].seeds, settings: filepath.Join(s.folder, fmt.Sprintf("side-%d.toml", i))}
	text := fmt.Sprintf(`node_name = "side-%s-%d"
role = "relay"
machine_class = "side"
serves = ["side"]
app = %q
ip_address = %q
zone = %q
region = "maghreb"
internal_port_range = [%d,%d]
seed_nodes = ["%s"]
first_start = true
counts_as_loss = false
data_directory = ""
[listen_addresses]
outbound = %q
[limits]
cpu_share = 0.24
cpu_cores = 1
memory_mb = 152
file_descriptors = 2048
link_speed_mbps = 20.0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
grace_period_s = 8
`, h.zone, i, s.address(ip, appPort), ip, h.zone, s.first+internalPort, s.first+internalPort+1, strings.Join(h.seeds, `","`), s.address(ip, frontPort))
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	_, err := s.startRole(h, "relay")
	return err
}
