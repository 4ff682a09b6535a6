/*
Package logging writes structured log lines without ever blocking.

Lines go through a bounded ring to a goroutine that writes them out. When the
ring is full, or lines come faster than the limit, informational lines are
dropped first; warnings and errors keep a reserve of the ring. What was dropped
is counted and told in a line of its own.

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
	// ringLines is the number of lines that may wait to be written.
	ringLines = 2048
	// reserve is the part of the ring that only warnings and errors may use.
	reserve = 512
	// DefaultLinesPerSecond bounds informational lines, so that logging stays
	// under a few hundredths of a core. Twice as many may come at once.
	DefaultLinesPerSecond = 300
	// closeTimeout bounds how long the end of a process waits for its lines.
	closeTimeout = 200 * time.Millisecond
)

// Config is what may be set for a logger.
type Config struct {
	// Level is the least level that is logged.
	Level string
	// LinesPerSecond bounds informational lines; 0 stands for
	// DefaultLinesPerSecond.
	LinesPerSecond int
}

// New returns a logger of JSON lines and the sink that writes them.
func New(name string, cfg Config, out io.Writer) (hclog.Logger, *Sink) {
	if cfg.LinesPerSecond == 0 {
		cfg.LinesPerSecond = DefaultLinesPerSecond
	}
	r := &Sink{
		out: out, lines: make(chan []byte, ringLines), done: make(chan struct{}),
		limit: rate.NewLimiter(rate.Limit(cfg.LinesPerSecond), 2*cfg.LinesPerSecond),
	}
	go func() {
		defer close(r.done)
		told := int64(0)
		for line := range r.lines {
			r.out.Write(line) // there is nowhere to tell that logs cannot be written
			if n := r.Dropped() - told; n > 0 {
				told += n
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

// isUrgent recognizes warnings and errors in hclog's JSON form.
func isUrgent(line []byte) bool {
	return bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
}

// Write queues one line. It never blocks.
func (r *Sink) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return len(line), nil
	}
	if !isUrgent(line) && (len(r.lines) >= ringLines-reserve || !r.limit.Allow()) {
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

// Close writes what waits, for a short time at most.
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
