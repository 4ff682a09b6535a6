package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"oleanderrack.example/oleanderrack/internal/coordination/control"
	"oleanderrack.example/oleanderrack/internal/coordination/entry"
	"oleanderrack.example/oleanderrack/internal/coordination/runner"
	"oleanderrack.example/oleanderrack/internal/protocol/controlapi"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/internal/transport/client"
)

// Names and times of the built-in deployment.
const (
	devRegion        = "maghreb"
	devFailureDomain = "fes"
	devKey           = "dev-key"
	devReadyTimeout  = 20 * time.Second
	devPollInterval  = 50 * time.Millisecond
)

// dev runs all roles in one process.
type dev struct {
	folder        string
	listen        string
	controlAddr   string
	operatorToken string
	log           hclog.Logger
	stdout        io.Writer
}

func runDev(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("dev", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:8080", "address for callers")
	data := flags.String("data", "", "data folder to keep; the default is a new temporary one")
	level := flags.String("log_level", "warn", "log level: debug, info, warn or error")
	if err := flags.Parse(args); err != nil {
		return exitBadUsage
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "dev", Output: stderr, Level: hclog.LevelFromString(*level)})
	d, cleanUp, err := newDev(*listen, *data, log, stdout)
	if err != nil {
		fmt.Fprintln(stderr, "oleanderrack dev:", err)
		return exitFailed
	}
	defer cleanUp()
	if err := d.run(ctx); err != nil {
		fmt.Fprintln(stderr, "oleanderrack dev:", err)
		return exitFailed
	}
	return exitOK
}

func newDev(listen, data string, log hclog.Logger, stdout io.Writer) (*dev, func(), error) {
	cleanUp := func() {}
	if data == "" {
		folder, err := os.MkdirTemp("", "oleanderrack-dev-")
		if err != nil {
			return nil, nil, errors.Wrap(err, "create a temporary data folder")
		}
		data = folder
		cleanUp = func() { os.RemoveAll(folder) }
	}
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "create the data folder")
	}
	controlAddr, err := loadOrPickAddress(filepath.Join(data, "control_address"))
	if err != nil {
		return nil, nil, err
	}
	d := &dev{folder: data, listen: listen, controlAddr: controlAddr, log: log, stdout: stdout}
	if _, err = loadOrCreateToken(filepath.Join(data, "system_token")); err != nil {
		return nil, nil, err
	}
	if d.operatorToken, err = loadOrCreateToken(filepath.Join(data, "operator_token")); err != nil {
		return nil, nil, err
	}
	return d, cleanUp, nil
}

// run starts the roles and stand-ins. On shutdown the entry drains first, then
// the agent, then control, so that each role can still call those that it
// depends on.
func (d *dev) run(ctx context.Context) error {
	controlCtx, stopControl := context.WithCancel(context.Background())
	runnerCtx, stopRunner := context.WithCancel(context.Background())
	entryCtx, stopEntry := context.WithCancel(ctx)
	standinCtx, stopStandins := context.WithCancel(context.Background())
	for _, stop := range []func(){stopControl, stopRunner, stopEntry, stopStandins} {
		defer stop()
	}

	c, err := control.New(controlCtx, d.controlSettings(), d.log.Named("control"))
	if err != nil {
		return err
	}
	r, err := runner.New(runnerCtx, d.runnerSettings(), d.log.Named("runner"))
	if err != nil {
		return err
	}
	e, err := entry.New(entryCtx, d.entrySettings(), d.log.Named("entry"))
	if err != nil {
		return err
	}
	entryDone, runnerDone := make(chan struct{}), make(chan struct{})
	var g run.Group
	g.Add(func() error { defer close(entryDone); return e.Run() }, func(error) { stopEntry() })
	g.Add(func() error { defer close(runnerDone); return r.Run() }, func(error) { go runAfter(entryDone, stopRunner) })
	g.Add(c.Run, func(error) { go runAfter(runnerDone, stopControl) })
	g.Add(func() error { return d.prepare(entryCtx, standinCtx, r.Address(), e.Address()) }, func(error) { stopEntry() })
	return g.Run()
}

func runAfter(done <-chan struct{}, f func()) {
	<-done
	f()
}

// prepare confirms the built-in intent, starts the stand-ins, waits until the
// entry is ready, and prints commands to try.
func (d *dev) prepare(ctx, standinCtx context.Context, runnerAddr, entryAddr string) error {
	operator := controlapi.New([]string{d.controlAddr}, &http.Client{Transport: auth.Client{Token: auth.New(d.operatorToken), Base: client.NewTransport()}})
	if err := d.confirmIntent(ctx, operator); err != nil {
		return err
	}
	if err := startStandins(standinCtx, runnerAddr, d.log); err != nil {
		return err
	}
	if err := waitReady(ctx, entryAddr); err != nil {
		return err
	}
	fmt.Fprintf(d.stdout, devUsage, entryAddr, devKey, entryAddr, devKey, d.controlAddr, filepath.Join(d.folder, "operator_token"))
	<-ctx.Done()
	return nil
}

const devUsage = `oleanderrack is ready. Try, from another terminal:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
  -d '{"model":"assistant-pool","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Draft a label for beeswax balm"}]}'

curl -i -X POST http://%s/s/order-desk/orders -H 'Authorization: Bearer %s' \
  -H 'Idempotency-Key: order-1' -d '{"tins":12}'      # send it twice: it runs once

oleanderrack status -control %s -token-file %s

Ctrl-C ends it.
`

// loadOrPickAddress returns the address stored in a file, or picks a loopback
// address and stores it. It must not change, because the control group stores its
// members' addresses across restarts.
func loadOrPickAddress(path string) (string, error) {
	if data, err := os.ReadFile(path); err == nil {
		return string(data), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer l.Close()
	address := l.Addr().String()
	return address, errors.Wrap(os.WriteFile(path, []byte(address), 0o600), "write the control address")
}

// loadOrCreateToken returns the token stored in a file, or creates one.
func loadOrCreateToken(path string) (string, error) {
	if data, err := os.ReadFile(path); err == nil {
		return string(data), nil
	}
	secret := rand.Text()
	return secret, errors.Wrap(os.WriteFile(path, []byte(secret), 0o600), "write token")
}
