package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playThaw evacuates a zone, takes it back and evacuates it again, while a machine
// with a control node stands still for some seconds. The operator sends the order
// that takes the zone back to that node first, on a connection that it has kept.
func playThaw(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	for zone := range 3 {
		f.addFront(zone, true, "control", "entry")
		f.addFront(zone, false, "control", "entry")
	}
	runners := f.addRunners("desk", 6)
	o, err := f.startPlain(ctx, runners)
	if err != nil {
		return false, err
	}
	links, err := linkControls(ctx, f, o)
	if err != nil {
		return false, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	served := make(chan int, 1)
	go func() { served <- playReads(load, f) }()
	zone := zoneName(0)
	broken := 0
	for round := range thawRounds {
		frozen := 1 + 2*(round%3) // one without a disk, so that the core stays stable
		late, err := playThawRound(ctx, f, o, links[frozen], runners, zone, frozen, trouble)
		if err != nil {
			return false, err
		}
		f.record.add("round %d: %d requests reached runners in %s later than %v after its evacuation was acknowledged", round+1, late, zone, evacuation)
		if late > 0 {
			broken++
		}
	}
	stop()
	if n := <-served; n == 0 {
		return false, fmt.Errorf("no request was served")
	}
	f.record.add("rounds with requests to an evacuated zone: %d of %d", broken, thawRounds)
	return broken == 0, nil
}

const (
	thawRounds = 4
	evacuation = 5 * time.Second
	freeze     = 3500 * time.Millisecond
	// settle is added to the time of the rule, so that all machines are in touch
	// again for some time.
	settle = 500 * time.Millisecond
)

// linkControls puts a link between the operator and each control node.
func linkControls(ctx context.Context, f *fleet, o *operator) ([]*link, error) {
	var links []*link
	for i, address := range o.controls {
		l, err := newLink(ctx, fmt.Sprintf("127.%d.3.%d:0", f.net, i+1), address)
		if err != nil {
			return nil, err
		}
		links = append(links, l)
		f.record.add("the operator reaches %s at %s", address, l.address)
	}
	for i, l := range links {
		o.controls[i] = l.address
	}
	o.client.Transport = &http.Transport{}
	return links, nil
}

// playThawRound returns the number of requests that reached an evacuated zone too
// late.
func playThawRound(ctx context.Context, f *fleet, o *operator, l *link, runners []*runner, zone string, frozen int, trouble bool) (int, error) {
	start, finish := "/oleanderrack/evacuation/"+zone+"/start", "/oleanderrack/evacuation/"+zone+"/finish"
	m := f.fronts()[frozen]
	if err := o.order(ctx, 0, start, ""); err != nil {
		return 0, err
	}
	sleep(ctx, time.Second)
	if err := o.read(ctx, frozen); err != nil {
		return 0, err
	}
	if trouble {
		l.hold()
		f.signal(m, syscall.SIGSTOP)
	}
	begin := time.Now()
	if err := o.order(ctx, frozen, finish, ""); err != nil {
		return 0, err
	}
	sleep(ctx, 500*time.Millisecond)
	if err := o.order(ctx, frozen+1, start, ""); err != nil {
		return 0, err
	}
	acknowledged := time.Now()
	sleep(ctx, freeze-time.Since(begin))
	if trouble {
		f.signal(m, syscall.SIGCONT)
		l.release()
	}
	sleep(ctx, evacuation+settle-time.Since(acknowledged))
	for _, r := range runners {
		r.takeRuns()
	}
	sleep(ctx, 4*time.Second)
	late := 0
	for _, r := range runners {
		if n := r.takeRuns(); r.zone == zone {
			late += n
		}
	}
	if err := o.order(ctx, 0, finish, ""); err != nil {
		return 0, err
	}
	sleep(ctx, time.Second)
	return late, nil
}

// playReads sends idempotent requests to the entries in turn until ctx ends, and
// returns how many were served.
func playReads(ctx context.Context, f *fleet) int {
	c := newClient(f.record)
	results := make(chan bool, 1<<14)
	n := 0
	for ctx.Err() == nil {
		front := f.fronts()[n%len(f.fronts())]
		n++
		go func() {
			r := c.read(ctx, f.address(front, frontPort))
			results <- r.status == http.StatusOK && r.complete
		}()
		sleep(ctx, 20*time.Millisecond)
	}
	served := 0
	for range n {
		if <-results {
			served++
		}
	}
	f.record.add("client: %d requests sent, %d served", n, served)
	return served
}
