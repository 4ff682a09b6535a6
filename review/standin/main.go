// Standin plays the scripted cases of the review: it starts the project's own
// processes with the commands of the deploy file, on loopback addresses, with
// stand-ins for the platform's operator, runners and clients.
//
//	standin -case NAME -record FILE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// maxDuration bounds a case.
	maxDuration = 115 * time.Second
)

// caseFunc plays a case and reports whether the rule held.
type caseFunc func(ctx context.Context, f *fleet, trouble bool) (held bool, err error)

var cases = map[string]caseFunc{
	"foreign":   playForeign,
	"late-hold": playLateHold,
	"promise":   playPromise,
	"resume":    playResume,
	"thaw":      playThaw,
	"start":     playStart,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder to which the logs of the processes are copied")
	flag.Parse()
	play := cases[*name]
	if play == nil || *path == "" {
		fmt.Fprintln(os.Stderr, "standin: -case and -record are needed")
		os.Exit(exitFailed)
	}
	os.Exit(run(play, *path, *logs, os.Getenv("TROUBLE") != "0"))
}

func run(play caseFunc, path, logs string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer r.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	f, err := newFleet(r)
	if err != nil {
		r.add("cannot run: %v", err)
		return exitFailed
	}
	defer f.end(logs)
	r.add("disruption: %t", trouble)
	held, err := play(ctx, f, trouble)
	switch {
	case err != nil:
		r.add("cannot run: %v", err)
		return exitFailed
	case !held:
		r.add("result: the rule was broken")
		return exitBroken
	}
	r.add("result: the rule held")
	return exitHeld
}
