/*
Package operator is the command line for operators.

# Concept

A change is made in two steps. plan shows what a new intent would change and
what it affects, and saves the plan with a new operation id. confirm executes
the saved plan unless another operator's change was confirmed first. The
operation id makes confirm idempotent: after a lost answer, a second run gets
the answer to the first.

# Commands

	plan -f intent.toml [-out FILE]     show and save a plan
	confirm PLAN_ID|FILE [-wait]        execute a saved plan
	status                              revision, nodes, backend servers
	drain NAME [-confirm] [-wait]       drain a failure domain or backend server
	return NAME [-confirm] [-wait]      return it to service
	members                             list the control group
	members add ID ADDRESS DOMAIN       add a replica as a learner
	members promote ID                  make a replica a voter
	members remove ID                   remove a replica

All commands take -control with the addresses of the control group, separated
by commas, -token-file with the operators' token, -timeout, and -json for
machine-readable output. Options may come before or after names. With -json,
drain -confirm writes two documents, the plan and the confirmation.

# Exit codes

	0  done
	1  refused or failed; nothing was changed unless the message says so
	2  wrong usage
	3  conflict: another operator's change came first, or a name is in use
	4  outcome unknown: repeat the same command to determine it
	5  control cannot be reached or has no quorum; nothing was changed
	6  done, but not in force within -timeout

Use [Run] from a main function:

	os.Exit(operator.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
*/
package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Exit codes of Run.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnavailable = 5
	ExitNotInForce  = 6
)

// defaultTimeout bounds a command. It is longer than a leader change and, for
// -wait, than the 5 s that a change may take to be in force.
const defaultTimeout = 15 * time.Second

var (
	errUsage      = errors.New("wrong usage")
	errNotInForce = errors.New("not in force yet")
)

// Commands returns the names of the commands, for a main function that has
// further ones.
func Commands() []string {
	return []string{"plan", "confirm", "status", "drain", "return", "members"}
}

// Run executes one command and returns the exit code. The first argument is
// the name of the command.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := &command{stdout: stdout, stderr: stderr}
	err := c.run(ctx, args)
	if err != nil {
		c.reportError(err)
	}
	return exitCode(err)
}

// command is one invocation of the command line.
type command struct {
	stdout, stderr io.Writer
	flags          *flag.FlagSet
	options        options
	api            peer.Operator
}

type options struct {
	control    string
	tokenFile  string
	timeout    time.Duration
	json       bool
	operator   string
	planFolder string
	intentFile string
	planFile   string
	kind       string
	confirm    bool
	wait       bool
}

func (c *command) run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return errors.Wrapf(errUsage, "a command is missing, want one of %s", strings.Join(Commands(), ", "))
	}
	handler, ok := map[string]func(context.Context, []string) error{
		"plan":    c.plan,
		"confirm": c.confirm,
		"status":  c.status,
		"drain":   func(ctx context.Context, names []string) error { return c.changeState(ctx, names, true) },
		"return":  func(ctx context.Context, names []string) error { return c.changeState(ctx, names, false) },
		"members": c.members,
	}[args[0]]
	if !ok {
		return errors.Wrapf(errUsage, "unknown command %q, want one of %s", args[0], strings.Join(Commands(), ", "))
	}
	c.defineFlags(args[0])
	names, err := c.parseArgs(args[1:])
	if err != nil {
		return err
	}
	if err := c.initClient(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
	defer cancel()
	return handler(ctx, names)
}

func (c *command) defineFlags(name string) {
	f, o := flag.NewFlagSet(name, flag.ContinueOnError), &c.options
	f.SetOutput(c.stderr)
	f.StringVar(&o.control, "control", "", "addresses of the control group, separated by commas")
	f.StringVar(&o.tokenFile, "token-file", "", "file with the operators' token")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit of the command")
	f.BoolVar(&o.json, "json", false, "write JSON")
	switch name {
	case "plan", "confirm", "drain", "return":
		f.StringVar(&o.operator, "operator", os.Getenv("USER"), "name that others see in a conflict")
		f.StringVar(&o.planFolder, "plans", "", "folder of saved plans (default: in the user's cache folder)")
		f.BoolVar(&o.wait, "wait", false, "wait until the change is in force")
	}
	switch name {
	case "plan":
		f.StringVar(&o.intentFile, "f", "", "intent file")
		f.StringVar(&o.planFile, "out", "", "file to save the plan in")
	case "drain", "return":
		f.StringVar(&o.kind, "kind", "", "failure_domain or backend_server (default: found by the name)")
		f.StringVar(&o.planFile, "out", "", "file to save the plan in")
		f.BoolVar(&o.confirm, "confirm", false, "carry the plan out at once")
	}
	c.flags = f
}

// parseArgs returns the names among the arguments. Options may come after names.
func (c *command) parseArgs(args []string) ([]string, error) {
	var names []string
	for {
		if err := c.flags.Parse(args); err != nil {
			return nil, errors.Mark(err, errUsage)
		}
		rest := c.flags.Args()
		if len(rest) == 0 {
			return names, nil
		}
		names, args = append(names, rest[0]), rest[1:]
	}
}

func (c *command) initClient() error {
	if c.options.control == "" || c.options.tokenFile == "" {
		return errors.Wrap(errUsage, "-control and -token-file are needed")
	}
	token, err := auth.Load(c.options.tokenFile)
	if err != nil {
		return err
	}
	var addresses []string
	for a := range strings.SplitSeq(c.options.control, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	base := http1.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	c.api = controlapi.New(addresses, &http.Client{Transport: auth.Client{Token: token, Base: base}})
	return nil
}

// requireNames returns a usage error unless there are n names.
func requireNames(names []string, n int, what string) error {
	if len(names) != n {
		return errors.Wrapf(errUsage, "%s, got %d names", what, len(names))
	}
	return nil
}

func (c *command) reportError(err error) {
	var f *fault.Error
	switch {
	case errors.Is(err, flag.ErrHelp):
	case !errors.As(err, &f):
		fmt.Fprintf(c.stderr, "oleanderrack: %v\n", err)
	case c.options.json:
		writeJSON(c.stderr, f.Body(""))
	default:
		fmt.Fprintf(c.stderr, "oleanderrack: %s: %s\n", f.Kind, f.Message)
	}
}

func exitCode(err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitDone
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	}
	switch fault.From(err).Kind {
	case fault.Conflict:
		return ExitConflict
	case fault.OutcomeUnknown:
		return ExitUnknown
	case fault.Unavailable, fault.NoQuorum, fault.NotLeader, fault.Draining, fault.RegionUnreachable:
		return ExitUnavailable
	}
	return ExitFailed
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "operator: write JSON output")
}
