package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// helperEnv holds the settings of a replica process that a test starts.
const helperEnv = "REPLICA_TEST_HELPER"

type helperSettings struct {
	ID      uint64
	Folder  string
	Members []*peer.Member
}

// TestHelperProcess runs the replica in a process of its own, on the listener
// that it inherits. It ends when its standard input is closed.
func TestHelperProcess(t *testing.T) {
	text := os.Getenv(helperEnv)
	if text == "" {
		t.Skip("runs only as a process that another test starts")
	}
	var s helperSettings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		t.Fatal(err)
	}
	machine := &commandRecorder{}
	transport := NewTransport("c", s.ID, &http.Client{}, tally.NoopScope)
	defer transport.Close()
	r, err := New(t.Context(), Config{
		Cluster: "c", ID: s.ID, Folder: s.Folder, Bootstrap: s.Members, StateMachine: machine,
		Transport: transport, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(peer.ReplicationPathPrefix, peer.NewReplicationServer(r))
	mux.HandleFunc("/read", func(w http.ResponseWriter, req *http.Request) {
		if _, err := r.ConfirmLeadership(req.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, len(machine.all()))
	})
	mux.HandleFunc("/propose", func(w http.ResponseWriter, req *http.Request) {
		if _, err := r.Propose(req.Context(), []byte("x")); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	go http.Serve(listener, mux)
	io.Copy(io.Discard, os.Stdin)
}

// startProcesses starts replicas as processes and returns these by address.
func startProcesses(t *testing.T, count int) map[string]*exec.Cmd {
	var members []*peer.Member
	var files []*os.File
	for id := 1; id <= count; id++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		file, err := listener.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		files = append(files, file)
		members = append(members, &peer.Member{Id: uint64(id), Address: listener.Addr().String(), Voter: true})
	}
	processes := map[string]*exec.Cmd{}
	for i, m := range members {
		text, err := json.Marshal(helperSettings{ID: m.Id, Folder: t.TempDir(), Members: members})
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0], "-test.run=^TestHelperProcess$")
		cmd.Env = append(os.Environ(), helperEnv+"="+string(text))
		cmd.ExtraFiles = files[i : i+1]
		stdin, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		files[i].Close()
		processes[m.Address] = cmd
		t.Cleanup(func() {
			stdin.Close()
			cmd.Process.Kill()
			cmd.Wait()
		})
	}
	return processes
}

// post returns the status and the body of the response, or 0 and the error.
func post(address, path string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var body bytes.Buffer
	io.Copy(&body, response.Body)
	return response.StatusCode, body.String()
}

// Guards against a leader process that is stopped by a signal, is replaced
// meanwhile, and serves a stale read after it resumes.
func TestFrozenProcess(t *testing.T) {
	processes := startProcesses(t, 3)
	frozen := ""
	propose := func() string {
		leader := ""
		eventually(t, "a proposal is committed", func() bool {
			for address := range processes {
				if address == frozen {
					continue
				}
				if status, _ := post(address, "/propose"); status == http.StatusOK {
					leader = address
					return true
				}
			}
			return false
		})
		return leader
	}
	frozen = propose()
	process := processes[frozen].Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	propose()
	// The requests wait in the socket of the stopped process until it resumes.
	type reply struct {
		status int
		body   string
	}
	replies := make(chan reply)
	for range 8 {
		go func() {
			status, body := post(frozen, "/read")
			replies <- reply{status, body}
		}()
	}
	time.Sleep(50 * time.Millisecond) // lets the requests be sent, not a check
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		r := <-replies
		if seen, err := strconv.Atoi(r.body); r.status == http.StatusOK && (err != nil || seen < 2) {
			t.Errorf("the resumed leader served %s commands, want 2 or a refusal", r.body)
		}
	}
}
