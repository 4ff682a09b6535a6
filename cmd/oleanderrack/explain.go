package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"oleanderrack.example/oleanderrack/internal/transport/logging"
)

// runExplain prints what log files of several processes contain about one
// request.
func runExplain(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	flags.SetOutput(stderr)
	request := flags.String("request", "", "id of the request")
	if err := flags.Parse(args); err != nil {
		return exitBadUsage
	}
	if *request == "" || flags.NArg() == 0 {
		fmt.Fprintln(stderr, "oleanderrack explain: -request ID and at least one log file are needed")
		return exitBadUsage
	}
	var lines []logging.Line
	for _, path := range flags.Args() {
		read, err := readLog(path)
		if err != nil {
			fmt.Fprintln(stderr, "oleanderrack explain:", err)
			return exitFailed
		}
		lines = append(lines, read...)
	}
	if !logging.Explain(stdout, *request, lines) {
		fmt.Fprintf(stderr, "oleanderrack explain: none of %d lines names request %q; successful requests are sampled\n", len(lines), *request)
		return exitFailed
	}
	return exitOK
}

func readLog(path string) ([]logging.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return logging.Read(path, f)
}
