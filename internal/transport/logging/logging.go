/*
Package logging writes structured log lines without ever blocking.

Lines go through a bounded queue to a goroutine that writes them. When the queue
is full, or lines are logged faster than the limit, informational lines are
dropped first; part of the queue is reserved for warnings and errors. Dropped
lines are counted, and their number is logged in a separate line.

	log, sink := logging.New("entry", logging.Config{Level: "info"}, os.Stdout)
	defer sink.Close()
*/
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that may be queued.
	queueLines = 2048
	// urgentReserve is the part of queueLines that is reserved for warnings and
	// errors.
	urgentReserve = 512
	// DefaultLinesPerSecond limits informational lines, so that logging uses less
	// than a few hundredths of a core. Bursts may have twice as many lines.
	DefaultLinesPerSecond = 300
	// closeTimeout bounds how long Close waits until queued lines are written.
	closeTimeout = 200 * time.Millisecond
)

// Config configures a logger.
type Config struct {
	// Level is the lowest level that is logged.
	Level string
	// LinesPerSecond limits informational lines; 0 selects
	// DefaultLinesPerSecond.
	LinesPerSecond int
}

// New returns a logger of JSON lines and the sink that writes them.
func New(name string, cfg Config, out io.Writer) (hclog.Logger, *Sink) {
	if cfg.LinesPerSecond == 0 {
		cfg.LinesPerSecond = DefaultLinesPerSecond
	}
	r := &Sink{
		out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		limit: rate.NewLimiter(rate.Limit(cfg.LinesPerSecond), 2*cfg.LinesPerSecond),
	}
	go func() {
		defer close(r.done)
		reported := int64(0)
		for line := range r.lines {
			r.out.Write(line) // a failed write of a log line cannot be reported anywhere
			if n := r.Dropped() - reported; n > 0 {
				reported += n
				fmt.Fprintf(r.out, `{"@level":"warn","@message":"log lines were dropped","lines":%d}`+"\n", n)
			}
		}
	}()
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(cfg.Level), Output: r, JSONFormat: true, DisableTime: false,
	}), r
}

// Sink is the writer behind a logger. Use New.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}

	limit *rate.Limiter // of informational lines

	mu     sync.Mutex
	closed bool
	lines  chan []byte
}

// isUrgent reports whether a line in hclog's JSON form is a warning or an error.
func isUrgent(line []byte) bool {
	return bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
}

// Write queues one line, or drops it if the queue or the limit is exhausted. It
// never blocks and never fails.
func (r *Sink) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return len(line), nil
	}
	if !isUrgent(line) && (len(r.lines) >= queueLines-urgentReserve || !r.limit.Allow()) {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (r *Sink) Dropped() int64 { return r.dropped.Load() }

// Close stops accepting lines and waits until the queued ones are written, but at
// most for closeTimeout.
func (r *Sink) Close() error {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.lines)
	}
	r.mu.Unlock()
	select {
	case <-r.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
