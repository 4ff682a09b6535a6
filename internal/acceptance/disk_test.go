package acceptance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
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
	for i := range s.controls {
		c := s.leader()
		if i > 0 {
			// The others, so that each has been full once.
			c = s.controls[(c.id+i-1)%len(s.controls)]
		}
		c.process.setDiskFull(true)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			// Some of these orders may fail.
			newCaller().do(ctx, s.entries[0].address, order(fmt.Sprintf("full-%d-%d", i, end.UnixNano())))
		}
		select {
		case err := <-c.process.ended:
			c.process.cmd = nil
			t.Errorf("the process of control replica %d ended: %v", c.id, err)
			continue
		default:
		}
		c.process.setDiskFull(false)
	}
	if t.Failed() {
		t.FailNow()
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
		members, err := s.operator.Members(ctx, &peer.MembersRequest{})
		if err != nil {
			return err
		}
		if n := len(members.Members); n != len(s.controls) {
			return fmt.Errorf("the group has %d members", n)
		}
		return nil
	})
}
