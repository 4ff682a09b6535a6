package acceptance

import (
	"context"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// setDiskFull makes all writes to files of the process fail, as on a full disk, or allows
// them again.
func (p *process) setDiskFull(full bool) {
	p.t.Helper()
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 1
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		p.t.Fatalf("limit the files of %s: %v", p.name, err)
	}
}

// Guards against changes and orders that are refused, or not answered, after the disks of
// all control replicas were full for some seconds, one after another, while nobody
// restarts their processes; and against the loss of what was acknowledged.
func TestFullDisksOfControl(t *testing.T) {
	t.Parallel()
	s := startSystem(t, options{modelHosts: 1})
	revision := s.setDrained("fes", true, "before")
	ctx := context.Background()
	// Each replica once, the leader first.
	first := s.leader().id
	for i := range s.controls {
		c := s.controls[(first-1+i)%len(s.controls)]
		c.process.setDiskFull(true)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			// Some of these orders may fail.
			newCaller().do(ctx, s.entries[0].address, order(fmt.Sprintf("full-%d-%d", i, time.Now().UnixNano())))
		}
		select {
		case err := <-c.process.ended:
			c.process.cmd = nil
			t.Errorf("the process of control replica %d ended: %v", c.id, err)
		default:
			c.process.setDiskFull(false)
		}
	}
	if t.Failed() {
		return
	}
	for _, c := range s.controls {
		// What the process logs while its files are limited is lost.
		s.eventually(readyTimeout, fmt.Sprintf("control replica %d has opened its log again", c.id), func() error {
			text, err := os.ReadFile(c.process.log)
			if err == nil && !strings.Contains(string(text), "log is open again") {
				err = errors.New("its log has not been closed and opened again")
			}
			return err
		})
	}
	if got := s.setDrained("fes", false, "after"); got <= revision {
		t.Errorf("revision %d after revision %d", got, revision)
	}
	s.eventually(readyTimeout, "an order is answered", func() error {
		if a := newCaller().do(ctx, s.entries[0].address, order("after")); !a.isComplete() {
			return fmt.Errorf("%v", a)
		}
		return nil
	})
	s.eventually(readyTimeout, "all replicas have the newest entries", func() error {
		var indexes []string
		for _, c := range s.controls {
			m := commitPattern.FindStringSubmatch(metricsOf(t, c.listen))
			if m == nil {
				return fmt.Errorf("control replica %d has no commit index", c.id)
			}
			indexes = append(indexes, m[1])
		}
		if len(slices.Compact(slices.Clone(indexes))) != 1 {
			return fmt.Errorf("commit indexes %v", indexes)
		}
		return nil
	})
}

var commitPattern = regexp.MustCompile(`(?m)^oleanderrack_raft_commit_index\{[^}]*\} (\S+)$`)
