package acceptance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/standin"
)

// backend is a stand-in backend server on the host of an agent.
type backend struct {
	name    string
	address string
	process *process
}

func (s *system) startBackend(name, kind, service, agentAddress string, flags []string) *backend {
	s.t.Helper()
	b := &backend{name: name, address: freeAddress(s.t)}
	args := []string{"-kind", kind, "-name", name, "-service", service, "-listen", b.address, "-agent", agentAddress}
	b.process = newProcess(s.t, s.folder, name, standinBinary, append(args, flags...)...)
	b.process.start()
	return b
}

// control changes the behaviour of the stand-in.
func (b *backend) control(t *testing.T, change any) {
	t.Helper()
	data, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+b.address+"/control", "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("control of %s answers %d", b.name, resp.StatusCode)
	}
}

func record[T any](t *testing.T, b *backend) T {
	t.Helper()
	var out T
	resp, err := http.Get("http://" + b.address + "/record")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

func (s *system) backendsOf(service string) []*backend {
	var out []*backend
	for _, h := range s.hosts {
		if len(h.backends) > 0 && (service == modelName) == strings.HasPrefix(h.name, "model") {
			out = append(out, h.backends...)
		}
	}
	return out
}

func (s *system) hostOf(name string) *host {
	s.t.Helper()
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	s.t.Fatalf("no host %s", name)
	return nil
}

// executions returns the number of executions per idempotency key, summed over
// the backend servers of the plain service.
func (s *system) executions() map[string]int {
	s.t.Helper()
	out := map[string]int{}
	for _, b := range s.backendsOf(plainName) {
		for key, n := range record[standin.PlainRecord](s.t, b).Executions {
			out[key] += n
		}
	}
	return out
}

// checkNoOverload asserts that no backend server crashed under a load above its
// capacity.
func (s *system) checkNoOverload() {
	s.t.Helper()
	for _, b := range s.backendsOf(modelName) {
		r := record[standin.EngineRecord](s.t, b)
		if len(r.Crashes) > 0 {
			s.t.Errorf("%s was loaded past its capacity: %v", b.name, r.Crashes)
		}
	}
	for _, b := range s.backendsOf(plainName) {
		if r := record[standin.PlainRecord](s.t, b); r.CrashReason != "" {
			s.t.Errorf("%s was loaded past its capacity: %s", b.name, r.CrashReason)
		}
	}
}

// lastNewWork returns the latest time at which a backend server of the failure
// domain accepted a request.
func (s *system) lastNewWork(failureDomain string) time.Time {
	s.t.Helper()
	var last time.Time
	for _, h := range s.hosts {
		if h.failureDomain != failureDomain {
			continue
		}
		for _, b := range h.backends {
			at := record[struct {
				LastNewWork time.Time `json:"last_new_work"`
			}](s.t, b).LastNewWork
			if at.After(last) {
				last = at
			}
		}
	}
	return last
}

func summarize(answers []answer) string {
	counts := map[string]int{}
	for _, a := range answers {
		switch {
		case a.Err != nil:
			counts["no answer"]++
		case a.Fault.Kind != "":
			counts[a.Fault.Kind+"/"+a.Fault.Ran]++
		default:
			counts[fmt.Sprint(a.Status)]++
		}
	}
	return fmt.Sprint(counts)
}
