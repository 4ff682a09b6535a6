package main

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"time"
)

// playStart starts a deployment for the first time. A second later one machine is
// killed and loses its disk, and comes back as the pages say: with an empty data
// folder, when the start is no longer the first.
func playStart(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	for zone := range 3 {
		f.addFront(zone, true, "control", "entry")
	}
	runners := f.addRunners("desk", 3)
	if err := f.startAll(); err != nil {
		return false, err
	}
	sleep(ctx, time.Second)
	if trouble {
		if err := f.loseDisk(ctx, f.fronts()[0]); err != nil {
			return false, err
		}
	}
	for _, r := range runners {
		if err := r.start(ctx, f.controls()); err != nil {
			return false, err
		}
	}
	begin := time.Now()
	o := newOperator(f.record, f.controls())
	limited, cancel := context.WithTimeout(ctx, 50*time.Second)
	defer cancel()
	err := o.configure(limited, configuration(nil))
	f.record.add("the first configuration: error %v after %.1f s", err, time.Since(begin).Seconds())
	c := newClient(f.record)
	served := 0
	for i := range 30 {
		fronts := f.fronts()
		r := c.read(ctx, f.address(fronts[i%len(fronts)], frontPort))
		f.record.add("client: request %s: status %d, complete %t, error %v", r.id, r.status, r.complete, r.err)
		if r.status == http.StatusOK && r.complete {
			served++
		}
	}
	f.record.add("served %d of 30 requests", served)
	return err == nil && served > 0, nil
}

// loseDisk kills the processes of a machine and starts them again a second later,
// with an empty data folder.
func (f *fleet) loseDisk(ctx context.Context, m *machine) error {
	f.signal(m, syscall.SIGKILL)
	sleep(ctx, time.Second)
	for _, role := range m.roles {
		if err := os.RemoveAll(f.dataFolder(m, role)); err != nil {
			return err
		}
		if err := f.start(m, role, false); err != nil {
			return err
		}
		f.record.add("%s %s starts again with an empty disk", m.name, role)
	}
	return nil
}
