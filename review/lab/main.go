// Lab starts the project's own programs as processes on loopback, with stand-ins for
// clients, runners and the operator, and plays one case of this review.
//
//	lab CASE RECORD
//
// It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

var cases = map[string]func(*system, bool) (broken []string, err error){
	"spot":   spotCase,
	"poison": poisonCase,
	"early":  earlyCase,
	"deep":   deepCase,
	"spoil":  spoilCase,
	"start":  startCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		if err := runnerMain(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*system, bool) ([]string, error), path string) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(s, os.Getenv("TROUBLE") != "0")
		results <- result{broken, err}
	}()
	var got result
	select {
	case got = <-results:
	case <-time.After(caseLimit):
		got.err = fmt.Errorf("the case takes longer than %s", caseLimit)
	}
	s.close()
	if got.err != nil {
		record.add("result", "could not run: %v", got.err)
		fmt.Println("could not run:", got.err)
		return 2
	}
	for _, line := range got.broken {
		record.add("result", "broken: %s", line)
		fmt.Println("broken:", line)
	}
	if len(got.broken) > 0 {
		return 1
	}
	record.add("result", "held")
	fmt.Println("held")
	return 0
}

// startRunner starts a runner as a process of its own.
func (s *system) startRunner(i int, c runnerConfig) (*process, error) {
	if c.id == "" {
		c.id = fmt.Sprintf("i-%04d", i)
	}
	c.zone, c.address = s.zones[i%len(s.zones)], s.address(s.runnerIP(i), appPort)
	c.runs = s.runsFile()
	for n := range s.hosts {
		h := s.hosts[(i+n)%len(s.hosts)]
		c.controls = append(c.controls, s.address(h.ip, controlPort))
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return s.start("runner-"+c.id, nil, self, c.flags()...)
}

func (s *system) runsFile() string { return filepath.Join(s.folder, "runs") }

// runnersLog returns what the runners noted, by line.
func (s *system) runnersLog() []string {
	data, _ := os.ReadFile(s.runsFile())
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}
