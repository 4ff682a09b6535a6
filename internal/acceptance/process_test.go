package acceptance

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Paths of the binaries under test, which TestMain builds.
var (
	oleanderrackBinary string
	standinBinary      string
)

// stopTimeout bounds a graceful shutdown in a test that expects one.
const stopTimeout = 40 * time.Second

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "oleanderrack-acceptance-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	oleanderrackBinary = filepath.Join(folder, "oleanderrack")
	standinBinary = filepath.Join(folder, "standin")
	for path, pkg := range map[string]string{oleanderrackBinary: "oleanderrack", standinBinary: "standin"} {
		build := exec.Command("go", "build", "-o", path, "oleanderrack.example/oleanderrack/cmd/"+pkg)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", pkg, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is a real process that a test starts, kills, freezes and restarts.
type process struct {
	t      *testing.T
	name   string
	binary string
	args   []string
	log    string
	cmd    *exec.Cmd
	ended  chan error
}

func newProcess(t *testing.T, folder, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, binary: binary, args: args, log: filepath.Join(folder, name+".log")}
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) start() {
	p.t.Helper()
	logFile, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer logFile.Close()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The kernel kills the process if the test itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	p.cmd, p.ended = cmd, ended
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// kill sends SIGKILL, so that the process cannot clean up.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.cmd = nil
}

// freeze suspends the process with SIGSTOP; thaw continues it with SIGCONT.
func (p *process) freeze() { p.t.Helper(); p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.t.Helper(); p.signal(syscall.SIGCONT) }

// terminate requests a graceful shutdown; awaitEnd waits for it.
func (p *process) terminate() { p.t.Helper(); p.signal(syscall.SIGTERM) }

func (p *process) awaitEnd() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.cmd = nil
		if err != nil {
			p.t.Errorf("%s ended with %v", p.name, err)
		}
	case <-time.After(stopTimeout):
		p.t.Fatalf("%s has not ended %v after SIGTERM", p.name, stopTimeout)
	}
}

func (p *process) restart() { p.t.Helper(); p.kill(); p.start() }

func (p *process) cleanUp() {
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		p.cmd = nil
	}
	if p.t.Failed() {
		p.t.Logf("last lines of %s:\n%s", p.name, lastLines(p.log, 12))
	}
}

func lastLines(path string, lines int) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
