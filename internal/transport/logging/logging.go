/*
Package logging writes structured log lines without ever blocking.

Lines go through a bounded ring to a goroutine that writes them out. When the
ring is full, or lines come faster than the limit, informational lines are
dropped first; warnings and errors keep a reserve of the ring. What was dropped
is counted and told in a line of its own.

	log, closer := logging.New("entry", "info", os.Stdout)
	defer closer.Close()
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
	// linesPerSecond and lineBurst bound informational lines, so that logging
	// stays under a few hundredths of a core.
	linesPerSecond = 300
	lineBurst      = 600
	// closeTimeout bounds how long the end of a process waits for its lines.
	closeTimeout = 200 * time.Millisecond
)

// New returns a logger of JSON lines and a closer that writes what waits.
func New(name, level string, out io.Writer) (hclog.Logger, io.Closer) {
	r := &ring{out: out, lines: make(chan []byte, ringLines), done: make(chan struct{}), limit: rate.NewLimiter(linesPerSecond, lineBurst)}
	go func() {
		defer close(r.done)
		for line := range r.lines {
			r.out.Write(line) // there is nowhere to tell that logs cannot be written
			if n := r.dropped.Swap(0); n > 0 {
				fmt.Fprintf(r.out, `{"@level":"warn","@message":"log lines were dropped","lines":%d}`+"\n", n)
			}
		}
	}()
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(level), Output: r, JSONFormat: true, DisableTime: false,
	}), r
}

// ring is the writer behind a logger.
type ring struct {
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
func (r *ring) Write(line []byte) (int, error) {
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

// Close writes what waits, for a short time at most.
func (r *ring) Close() error {
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
