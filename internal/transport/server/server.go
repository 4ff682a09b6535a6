/*
Package server implements the HTTP server of every process of the system.

Besides the role's own routes it serves three paths: /healthz reports that the
process is alive, /readyz whether it accepts new work, and /metrics its metrics.
Shutdown turns readiness off first and then waits for the requests in flight,
without a time limit of its own.

	s := server.New(server.Config{Listen: "127.0.0.1:8080", ...})
	s.Echo.POST("/announce", announce)
	err := s.Run(ctx)
*/
package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/transport/intake"
)

// idleTimeout bounds the time between two requests of a connection.
const idleTimeout = 2 * time.Minute

// Config configures a Server.
type Config struct {
	// Listen is the host:port to listen on.
	Listen  string
	Metrics http.Handler
	Log     hclog.Logger
	// Ready returns why the process does not accept new work, or nil if it does.
	Ready func() error
	// Settle is the time between the end of readiness and the refusal of new
	// connections, within which load balancers detect that the process is
	// draining.
	Settle time.Duration
	// Name is the listener's name in log lines and counters, and Budget bounds its
	// connections and their header sections.
	Name   string
	Budget intake.Budget
	Scope  tally.Scope
	// WriteBuffer bounds the bytes that the kernel buffers for a connection with a
	// slow reader; 0 leaves the system's default, which is a few MB.
	WriteBuffer int
}

// Server is an HTTP server with the common routes.
type Server struct {
	Echo     *echo.Echo
	cfg      Config
	listener *intake.Listener
	draining atomic.Bool
}

// New opens the listener, so that Address is valid before Run, and registers the
// common routes.
func New(cfg Config) (*Server, error) {
	l, err := intake.Listen(cfg.Listen, intake.Config{
		Name: cfg.Name, Budget: cfg.Budget, IdleTimeout: idleTimeout, WriteBuffer: cfg.WriteBuffer, Log: cfg.Log.Named("intake"), Scope: cfg.Scope,
	})
	if err != nil {
		return nil, errors.Wrap(err, "server: listen")
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	s := &Server{Echo: e, cfg: cfg, listener: l}
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", echo.WrapHandler(cfg.Metrics))
	return s, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener of a server that is not run.
func (s *Server) Close() error { return s.listener.Close() }

// IsDraining reports whether shutdown has begun.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// Run serves until ctx ends and then drains: it turns readiness off, waits for
// Settle, refuses new connections, and returns when no request is in flight.
func (s *Server) Run(ctx context.Context) error {
	srv := s.listener.NewServer(s.Echo, s.cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(s.listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "server: serve")
	case <-ctx.Done():
	}
	s.draining.Store(true)
	s.cfg.Log.Info("draining")
	time.Sleep(s.cfg.Settle)
	err := srv.Shutdown(context.Background())
	s.cfg.Log.Info("drained")
	return errors.Wrap(err, "server: shutdown")
}

func (s *Server) readyz(c echo.Context) error {
	if s.IsDraining() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if err := s.cfg.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
