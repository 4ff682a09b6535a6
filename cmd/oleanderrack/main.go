// Oleanderrack balances load across expert-parallel model groups and plain
// services.
//
// One binary contains all roles and the operators' commands:
//
//	oleanderrack dev                          all roles in one process, on loopback
//	oleanderrack control -settings FILE       a control replica
//	oleanderrack entry -settings FILE         an entry
//	oleanderrack runner -settings FILE        the agent on a host of backend servers
//	oleanderrack plan|confirm|status|drain|return|members [flags]
//	oleanderrack explain -request ID FILE...  what logs contain about a request
//
// With -check a role prints its effective settings and exits.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"oleanderrack.example/oleanderrack/internal/protocol/operator"
)

// Exit codes of the roles; those of the operators' commands are in package
// operator.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(command(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func command(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return exitBadUsage
	}
	switch args[0] {
	case "dev":
		return runDev(ctx, args[1:], stdout, stderr)
	case "control", "entry", "runner":
		return runRole(ctx, args[0], args[1:], stdout, stderr)
	case "explain":
		return runExplain(args[1:], stdout, stderr)
	case "plan", "confirm", "status", "drain", "return", "members":
		return operator.Run(ctx, args, stdout, stderr)
	case "help", "-h", "-help", "--help":
		usage(stdout)
		return exitOK
	}
	fmt.Fprintf(stderr, "oleanderrack: unknown command %q\n", args[0])
	usage(stderr)
	return exitBadUsage
}

func usage(w io.Writer) {
	fmt.Fprint(w, `usage: oleanderrack COMMAND [flags]

roles
  dev       run everything in one process on loopback
  control   run a control replica        -settings FILE [-check]
  entry     run an entry                 -settings FILE [-check]
  runner    run the agent of a host      -settings FILE [-check]

operators
  plan      show what an intent would change
  confirm   put a plan into effect
  status    show revision, nodes and backend servers
  drain     stop new work for a failure domain or backend server
  return    allow new work again
  members   show or change the control replicas
  explain   print log lines about a request    -request ID FILE...

oleanderrack COMMAND -h lists the flags of a command.
`)
}
