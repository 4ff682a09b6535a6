package acceptance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// exampleCase is a test case: a deployment in the folder examples.
type exampleCase struct {
	folder, key, model, plain, path string
}

// exampleModelHosts is the number of runners with two engines each. The others
// have one backend server of a plain service each.
const exampleModelHosts = 8

var (
	exampleAddress = regexp.MustCompile(`127\.0\.0\.1:7\d{3}`)
	exampleListen  = regexp.MustCompile(`(?m)^listen = "(.+)"$`)
)

// Guards against example settings that a process rejects or that are
// inconsistent, and against an example whose stream or order fails.
func TestExamples(t *testing.T) {
	tests := map[string]exampleCase{
		"atlas-cire": {key: "souk-router-example-key", model: "assistant-pool", plain: "order-desk", path: "/orders"},
		"stundaskra": {key: "reykjavik-schools-example-key", model: "drafting-models", plain: "planner-app", path: "/timetables/week-1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.folder = filepath.Join("..", "..", "examples", name)
			s := startExample(t, test)
			c, account := newCaller(), map[string]string{"Authorization": "Bearer " + test.key}
			for i, e := range s.entries {
				got := c.do(context.Background(), e.address, call{
					method: http.MethodPost, path: "/v1/chat/completions", headers: account,
					body: fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"user","content":"label %d"}]}`, test.model, i),
				})
				if out := parseStream(got.Body); !got.isComplete() || !out.Done || out.Text == "" {
					t.Errorf("entry %d: stream is not complete: %v, %q", i+1, got, got.Body)
				}
				got = c.do(context.Background(), e.address, call{
					method: http.MethodPost, path: "/s/" + test.plain + test.path, key: "example-1", body: `{"tins":12}`, headers: account,
				})
				if !got.isComplete() {
					t.Errorf("entry %d: order: %v", i+1, got)
				}
			}
			if diff := cmp.Diff(map[string]int{"example-1": 1}, s.executions()); diff != "" {
				t.Error("executions per key:", diff)
			}
			s.checkNoOverload()
		})
	}
}

// startExample starts all processes of a deployment from its settings files. It
// replaces the ports by free ones and the data folders by the test's folder.
func startExample(t *testing.T, e exampleCase) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir()}
	s.writeFile("system_token", "system-token-0123456789")
	s.writeFile("operator_token", "operator-token-0123456789")
	paths, err := filepath.Glob(filepath.Join(e.folder, "*-*.toml"))
	if err != nil || len(paths) != 17 {
		t.Fatalf("found %d settings files, want 17: %v", len(paths), err)
	}
	addresses, controls := map[string]string{}, []string{}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		role, number, _ := strings.Cut(name, "-")
		text := exampleAddress.ReplaceAllStringFunc(readFile(t, path), func(address string) string {
			if addresses[address] == "" {
				addresses[address] = freeAddress(t)
			}
			return addresses[address]
		})
		text = strings.ReplaceAll(text, `"run/`, `"`+s.folder+"/")
		listen := exampleListen.FindStringSubmatch(text)[1]
		p := newProcess(t, s.folder, name, oleanderrackBinary, role, "-settings", s.writeFile(name+".toml", text))
		p.start()
		switch role {
		case "control":
			controls = append(controls, listen)
		case "entry":
			s.entries = append(s.entries, &entry{process: p, address: listen})
		case "runner":
			s.startExampleBackends(e, number, listen)
		}
	}
	s.operator = controlapi.New(controls, &http.Client{
		Transport: auth.Client{Token: auth.New("operator-token-0123456789"), Base: &http.Transport{}},
	})
	in, err := intent.Parse([]byte(readFile(t, filepath.Join(e.folder, "intent.toml"))))
	if err != nil {
		t.Fatal(err)
	}
	s.confirm(in, "example-intent")
	s.awaitReady()
	s.eventually(readyTimeout, "the intent is in force", func() error {
		status, err := s.status()
		if err == nil && !status.InForce {
			err = errors.New("a node runs an older revision")
		}
		return err
	})
	return s
}

func (s *system) startExampleBackends(e exampleCase, number, agent string) {
	s.t.Helper()
	h := &host{name: "plain-" + number}
	if n, err := strconv.Atoi(number); err == nil && n <= exampleModelHosts {
		h.name = "model-" + number
		for _, suffix := range []string{"a", "b"} {
			h.backends = append(h.backends, s.startBackend("engine-"+number+suffix, "model", e.model, agent, nil))
		}
	} else {
		h.backends = append(h.backends, s.startBackend("plain-"+number, "plain", e.plain, agent, nil))
	}
	s.hosts = append(s.hosts, h)
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
