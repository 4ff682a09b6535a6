// Stand3 plays the cases of review/REPORT-3.md. It starts the programs of the deploy
// file as separate processes on loopback addresses, with stand-ins for the platform,
// its runners, its operator and its clients, which do what the users' pages say.
//
//	stand3 -root REPOSITORY -record FILE CASE
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case
// could not run. With TROUBLE=0 in the environment, the disruption is left out.
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
	// maxLength bounds a whole case, the end of all processes included.
	maxLength = 112 * time.Second
)

// verdict says whether the rule of a case was broken.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by their folder.
var cases = map[string]func(ctx context.Context, s *system, trouble bool) (verdict, error){
	"11": burstOfLongBodies,
	"12": seedKilledAtFirstStart,
	"13": heartbeatWithoutField,
}

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "repository in which the deploy file was built")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "stand3: there is no case %q\n", flag.Arg(0))
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxLength)
	defer cancel()
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		return exitFailed
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		return exitFailed
	}
	defer os.RemoveAll(folder)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", flag.Arg(0), trouble)
	s, err := newSystem(*root, folder, rec)
	if err != nil {
		rec.add("could not run: %v", err)
		return exitFailed
	}
	defer s.end()
	v, err := play(ctx, s, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		return exitFailed
	case v.broken:
		rec.add("BROKEN: %s", v.text)
		return exitBroken
	}
	rec.add("held: %s", v.text)
	return exitHeld
}

// sleep waits, or returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
