package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"oleanderrack.example/oleanderrack/internal/coordination/control"
	"oleanderrack.example/oleanderrack/internal/coordination/entry"
	"oleanderrack.example/oleanderrack/internal/coordination/runner"
	"oleanderrack.example/oleanderrack/internal/transport/settings"
)

// role is the common interface of the three roles.
type role interface {
	Run() error
	Address() string
}

func runRole(ctx context.Context, name string, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "settings file (TOML)")
	check := flags.Bool("check", false, "print the effective settings and end")
	if err := flags.Parse(args); err != nil {
		return exitBadUsage
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintf(stderr, "oleanderrack %s: -settings FILE is needed and nothing else\n", name)
		return exitBadUsage
	}
	cfg, level, err := loadSettings(name, *path)
	if err != nil {
		fmt.Fprintln(stderr, "oleanderrack:", err)
		return exitBadUsage
	}
	if *check {
		return printSettings(cfg, stdout, stderr)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: name, Output: stderr, Level: hclog.LevelFromString(level)})
	if err := serve(ctx, cfg, log); err != nil {
		log.Error("ended", "error", err)
		return exitFailed
	}
	return exitOK
}

func loadSettings(name, path string) (settings.Checker, string, error) {
	switch name {
	case "control":
		s, err := settings.Load(path, control.DefaultSettings())
		return s, s.LogLevel, err
	case "entry":
		s, err := settings.Load(path, entry.DefaultSettings())
		return s, s.LogLevel, err
	default:
		s, err := settings.Load(path, runner.DefaultSettings())
		return s, s.LogLevel, err
	}
}

func printSettings(cfg settings.Checker, stdout, stderr io.Writer) int {
	text, err := settings.Print(cfg)
	if err != nil {
		fmt.Fprintln(stderr, "oleanderrack:", err)
		return exitFailed
	}
	fmt.Fprint(stdout, text)
	return exitOK
}

func newRole(ctx context.Context, cfg settings.Checker, log hclog.Logger) (role, error) {
	switch s := cfg.(type) {
	case control.Settings:
		return control.New(ctx, s, log)
	case entry.Settings:
		return entry.New(ctx, s, log)
	case runner.Settings:
		return runner.New(ctx, s, log)
	}
	panic("oleanderrack: settings of an unknown role")
}

// serve runs one role until ctx ends and the role has drained.
func serve(ctx context.Context, cfg settings.Checker, log hclog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := newRole(ctx, cfg, log)
	if err != nil {
		return err
	}
	log.Info("serving", "address", r.Address())
	var g run.Group
	g.Add(r.Run, func(error) { cancel() })
	return g.Run()
}
