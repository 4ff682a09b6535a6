/*
Package intake bounds what callers make a process hold before their requests are
complete.

# Concept

A caller that has not sent a complete request costs memory: its connection, the bytes
of its header section and, at many times their size, the fields that net/http parses
from them. A [Listener] accounts for these against a [Budget] of its own, so that
pressure on one listener leaves the others alone. It follows each connection through the
phases of its requests: fresh (no byte yet), header (a header section is incomplete),
body (the header section is complete, the body is not), served and idle.

A header section has a limit in bytes and in time ([Limits]), which may change while the
listener serves, and a few empty lines may precede it. When the budget is short, the
connections with the oldest incomplete header sections give way, then those with the
oldest incomplete bodies. New connections also take the place of idle ones whose requests
were all refused for what the caller sent (400, 401, 404 and the like), and of those that
are idle for longer than callers keep them, or do not read their answers. Any other
connection that has completed its request is never closed in favour of another one. The decision is the ledger's, which knows no network.

A refused connection is answered with 431, 408 or 503 if its request line is complete,
and closed. None of these requests has run. Refusals are counted by listener and reason,
and logged at most once in ten seconds for each reason.

[Bodies] bounds the bodies that handlers read, in the same way: the slowest one gives way.
After a read of a body that fails, the connection is closed with the answer.

A server of [Listener.NewServer] never turns the return of a handler that has written
nothing into a "200 OK": it closes the connection.

# Use

	socket, err := intake.Listen(address, intake.Config{Name: "callers", Budget: budget, ...})
	srv := socket.NewServer(handler, nil)
	err = srv.Serve(socket)
*/
package intake

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	// DefaultHeaderBytes and DefaultHeaderTimeout hold before there is a configuration,
	// and where it sets no limit. No caller within the limits of a deployment (16,384
	// bytes, 3 s) reaches them.
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultIdleTimeout is when idle connections may give way. Callers close theirs
	// after at most 15 s.
	DefaultIdleTimeout = 20 * time.Second
	// maxHeaderBytes bounds the limit of a configuration. It is below that of net/http,
	// which answers beyond the budget.
	maxHeaderBytes = 512 << 10
	// freshTimeout bounds the time to the first byte of a connection. Callers may open
	// connections before they need them.
	freshTimeout = 10 * time.Second
	// BodyTimeout bounds the time for a whole request. 4 MiB take it at 1.2 Mbit/s.
	BodyTimeout = 30 * time.Second
	// maxEmptyLines is the number of empty lines that may precede a request line.
	maxEmptyLines = 8
	// logInterval is the least time between two log lines of one reason.
	logInterval = 10 * time.Second
)

// Limits bound one header section. Zero fields select the defaults.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection may give way to another
	// one. It is not closed for its age alone.
	IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	l.HeaderBytes = min(l.HeaderBytes, maxHeaderBytes)
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Config configures a Listener.
type Config struct {
	// Name is the listener's name in log lines and counters.
	Name   string
	Budget Budget
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
	// IdleGivesWay replaces Limits.IdleTimeout, for listeners whose clients have few
	// connections and can do without an idle one. 0 leaves it.
	IdleGivesWay time.Duration
	// WriteTimeout bounds the time for writing an answer, unless the handler sets a
	// deadline. 0 sets no limit.
	WriteTimeout time.Duration
	// WriteBuffer bounds the bytes that the kernel buffers for a connection with a
	// slow reader; 0 leaves the system's default, which is a few MB.
	WriteBuffer int
	Log         hclog.Logger
	Scope       tally.Scope
}

// Listener accepts connections within a budget. Use Listen.
type Listener struct {
	*net.TCPListener
	cfg    Config
	limits atomic.Pointer[Limits]
	// bodyTimeout is BodyTimeout but in tests.
	bodyTimeout time.Duration

	// mu guards ledger, the state of all connections, logged and unanswered.
	mu         sync.Mutex
	ledger     *ledger
	logged     [reasonCount]logState
	unanswered logState
}

// logState bounds the log lines about one condition.
type logState struct {
	last  time.Time
	count int
}

// add counts an occurrence. If it is due to be logged, it returns the number since the
// latest log line.
func (s *logState) add(now time.Time) (count int, due bool) {
	s.count++
	count = s.count
	if due = now.Sub(s.last) >= logInterval; due {
		*s = logState{last: now}
	}
	return count, due
}

// Listen opens a listener at a TCP address.
func Listen(address string, cfg Config) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	l := &Listener{TCPListener: socket.(*net.TCPListener), cfg: cfg, bodyTimeout: BodyTimeout, ledger: newLedger(cfg.Budget)}
	l.SetLimits(Limits{})
	return l, nil
}

// SetLimits replaces the limits of header sections that begin or go on after it.
func (l *Listener) SetLimits(limits Limits) {
	limits = limits.withDefaults()
	if l.cfg.IdleGivesWay > 0 {
		limits.IdleTimeout = l.cfg.IdleGivesWay
	}
	l.limits.Store(&limits)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.maxIdle = limits.IdleTimeout
}

// NewServer returns a server for the requests of l's connections. If the handler returns
// without an answer, the connection is closed. errorLog may be nil.
func (l *Listener) NewServer(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler:           l.answered(handler),
		ErrorLog:          errorLog,
		ReadHeaderTimeout: freshTimeout,
		ReadTimeout:       l.bodyTimeout,
		WriteTimeout:      l.cfg.WriteTimeout,
		IdleTimeout:       l.cfg.IdleTimeout,
		MaxHeaderBytes:    2 * maxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*Conn); ok {
				c.setState(state)
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// Accept returns the next connection that the budget has room for. Others are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.cfg.WriteBuffer > 0 {
			if err := socket.SetWriteBuffer(l.cfg.WriteBuffer); err != nil {
				l.cfg.Log.Debug("send buffer size could not be set", "error", err)
			}
		}
		c := &Conn{TCPConn: socket, listener: l}
		c.account.owner = c
		l.mu.Lock()
		evicted, ok := l.ledger.open(time.Now(), &c.account)
		l.evict(evicted)
		l.mu.Unlock()
		if ok {
			return c, nil
		}
		l.refused(tooManyConnections)
		socket.Close()
	}
}

// evict ends the reads of connections that give way, whose goroutines close them. The
// caller holds l.mu.
func (l *Listener) evict(evicted []*account) {
	for _, a := range evicted {
		a.owner.evicted.Store(true)
		a.owner.TCPConn.SetReadDeadline(longAgo)
		if a.phase == served {
			a.owner.TCPConn.SetWriteDeadline(longAgo)
		}
	}
}

// refused counts a refusal, and logs it unless its reason was logged lately.
func (l *Listener) refused(r reason) {
	l.cfg.Scope.Tagged(map[string]string{"listener": l.cfg.Name, "reason": r.String()}).Counter("intake_refusals").Inc(1)
	l.mu.Lock()
	count, due := l.logged[r].add(time.Now())
	connections, held := l.ledger.connections, l.ledger.held
	l.mu.Unlock()
	if due {
		l.cfg.Log.Warn("connections refused", "listener", l.cfg.Name, "reason", r.String(), "count", count, "connections", connections, "held_bytes", held)
	}
}
