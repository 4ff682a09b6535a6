package acceptance

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/pkg/intent"
)

var measure = flag.Bool("measure", false, "measure processor time and memory of real processes")

const (
	measureRepeats = 3
	measureWindow  = 4 * time.Second
	ticksPerSecond = 100 // of /proc/PID/stat
)

// usage returns the processor seconds so far and the resident memory in MB.
func (p *process) usage() (cpu, resident float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	status, statusErr := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil || statusErr != nil {
		p.t.Fatal(err, statusErr)
	}
	// The fields are counted from the end of the name, which may hold spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	var user, system, kilobytes float64
	fmt.Sscan(fields[11]+" "+fields[12]+after, &user, &system, &kilobytes)
	return (user + system) / ticksPerSecond, kilobytes / 1024
}

// meanUsage returns the mean number of cores that a process uses while f runs,
// and the mean resident memory of the processes in MB after it.
func meanUsage(processes []*process, f func()) (cores, resident float64) {
	begin, n := time.Now(), float64(len(processes))
	for _, p := range processes {
		cpu, _ := p.usage()
		cores -= cpu / n
	}
	f()
	for _, p := range processes {
		cpu, memory := p.usage()
		cores, resident = cores+cpu/n, resident+memory/n
	}
	return cores / time.Since(begin).Seconds(), resident
}

// fitLine returns slope and intercept of the least-squares line.
func fitLine(x, y []float64) (slope, start float64) {
	var sx, sy, sxy, sxx float64
	for i := range x {
		sx, sy, sxy, sxx = sx+x[i], sy+y[i], sxy+x[i]*y[i], sxx+x[i]*x[i]
	}
	n := float64(len(x))
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// streamTimes holds the times of the complete streams: their durations, the times
// to the first event and the gaps between events.
type streamTimes struct {
	mu                           sync.Mutex
	durations, firstEvents, gaps []time.Duration
}

func (r *streamTimes) stream(client *http.Client, address string, in call) {
	req, _ := http.NewRequestWithContext(context.Background(), in.method, "http://"+address+in.path, strings.NewReader(in.body))
	req.Header.Set("Authorization", "Bearer "+accountKey)
	begin, done, times := time.Now(), false, []time.Time(nil)
	if resp, err := client.Do(req); err == nil {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
				times, done = append(times, time.Now()), data == "[DONE]"
			}
		}
		resp.Body.Close()
	}
	if !done {
		return // refused, broken or incomplete
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.durations, r.firstEvents = append(r.durations, time.Since(begin)), append(r.firstEvents, times[0].Sub(begin))
	for i := 1; i < len(times)-1; i++ {
		r.gaps = append(r.gaps, times[i].Sub(times[i-1]))
	}
}

func p95(d []time.Duration) time.Duration {
	slices.Sort(d)
	return append(d, 0)[len(d)*95/100].Round(time.Millisecond)
}

// startMeasured starts a system and returns it and its processes by role. It
// skips the test without -measure.
func startMeasured(t *testing.T, o options) (*system, map[string][]*process) {
	if !*measure {
		t.Skip("needs -measure")
	}
	o.entries, o.plainHosts = 1, 1
	s := startSystem(t, o)
	roles := map[string][]*process{"entry": {s.entries[0].process}}
	for _, h := range s.hosts[:o.modelHosts] {
		roles["agent"] = append(roles["agent"], h.agent)
	}
	leader := s.leader()
	for _, c := range s.controls {
		role := map[bool]string{true: "leader", false: "follower"}[c == leader]
		roles[role] = append(roles[role], c.process)
	}
	return s, roles
}

// Measures the processor time of an entry and its agents per request and per
// token, and the memory per open stream, as slopes over request rates and answer
// lengths. It asserts no bound, since other load on the machine changes the
// figures.
func TestMeasureTraffic(t *testing.T) {
	const hosts = 4
	s, roles := startMeasured(t, options{controls: 1, modelHosts: hosts, engineFlags: strings.Fields(
		"-warm -max-concurrent 200 -cold-concurrent 200 -memory-tokens 200000 -step 10ms -min-answer 100000 -max-answer 100000")})
	client, address := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500}}, s.entries[0].address
	offered, tokens := []float64{20, 40, 80, 80, 80}, []float64{50, 50, 50, 100, 200}
	for repeat := range measureRepeats {
		var rates, open [5]float64
		cores, memory := map[string][]float64{}, map[string][]float64{}
		for at, rate := range offered {
			var r streamTimes
			var wg sync.WaitGroup
			n, length, begin := int(rate*measureWindow.Seconds()), int(tokens[at]), time.Now()
			run := func() {
				for i := range n {
					wg.Go(func() { r.stream(client, address, completion(fmt.Sprint(repeat, i, "prompt"), length)) })
					time.Sleep(time.Second / time.Duration(rate))
				}
				for _, role := range []string{"entry", "agent"} {
					_, used := meanUsage(roles[role], func() {})
					memory[role] = append(memory[role], used)
				}
				wg.Wait()
			}
			var agent float64
			entry, _ := meanUsage(roles["entry"], func() { agent, _ = meanUsage(roles["agent"], run) })
			cores["entry"], cores["agent"] = append(cores["entry"], entry), append(cores["agent"], agent*hosts)
			for _, d := range r.durations {
				open[at] += d.Seconds() / time.Since(begin).Seconds()
			}
			rates[at] = float64(len(r.durations)) / time.Since(begin).Seconds()
			t.Logf("repeat %d, %.1f requests/s of %.0f tokens, %.0f open: entry %.3f cores %.1f MB, agents %.3f cores %.1f MB each; %d complete, %d other, %d gaps, first p95 %v, gap p95 %v", repeat+1, rates[at], tokens[at], open[at], entry, memory["entry"][at], agent*hosts, memory["agent"][at], len(r.durations), n-len(r.durations), len(r.gaps), p95(r.firstEvents), p95(r.gaps))
		}
		for role, parts := range map[string]float64{"entry": 1, "agent": hosts} {
			perRequest, idle := fitLine(rates[:3], cores[role][:3])
			var perLength []float64
			for at := 2; at < len(rates); at++ {
				perLength = append(perLength, (cores[role][at]-idle)/rates[at])
			}
			perToken, fixed := fitLine(tokens[2:], perLength)
			perStream, base := fitLine(open[:], memory[role])
			t.Logf("repeat %d, %s: %.0f us per request of 50 tokens; by length %.0f us per request and %.1f us per token; %.0f KB per open stream and %.1f MB",
				repeat+1, role, perRequest*1e6, fixed*1e6, perToken*1e6, perStream*parts*1024, base)
		}
	}
}

// Measures the processor time and memory of processes without requests by the
// number of agents (two backend servers each), and the additional cost of
// configuration changes by the number of client accounts.
func TestMeasureIdle(t *testing.T) {
	for _, c := range []struct{ agents, accounts, changes int }{{10, 0, 0}, {20, 0, 0}, {40, 0, 0}, {10, 1975, 4}, {10, 3950, 4}, {10, 7900, 4}} {
		t.Run(fmt.Sprintf("%d agents, %d accounts", c.agents, c.accounts), func(t *testing.T) {
			s, roles := startMeasured(t, options{modelHosts: c.agents, engineFlags: strings.Fields("-count 2 -listen 127.0.0.1:0"), intent: func(in *intent.Intent) {
				for i := range c.accounts {
					in.ClientAccounts = append(in.ClientAccounts, intent.ClientAccount{Name: fmt.Sprint("account-", i), KeySHA256: fmt.Sprintf("%064x", i), RequestsPerSecond: 10, Burst: 20})
				}
				t.Logf("intent of %d bytes, %d for agents", len(in.Canonical()), len(in.WithoutClientAccounts().Canonical()))
			}})
			for repeat := range measureRepeats {
				var wg sync.WaitGroup
				for role, processes := range roles {
					wg.Go(func() {
						cores, memory := meanUsage(processes, func() { time.Sleep(measureWindow) })
						t.Logf("repeat %d: %s %.2f %% of a core, %.1f MB", repeat+1, role, cores*100, memory)
					})
				}
				for i := range c.changes {
					s.setDrained(failureDomains[0], i%2 == 0, fmt.Sprint(repeat, i))
				}
				wg.Wait()
			}
		})
	}
}
