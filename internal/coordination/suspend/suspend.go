/*
Package suspend detects that the process has not run for a while: its host was
suspended, or the process was stopped or starved.

# Concept

What a process reads right after such a time may be old. It lay in the buffers of
its connections, and its sender may have given up since. A [Detector] compares the
clock with the time of its last tick, so that the first code that runs again
already sees the interruption, whichever goroutine it is in.

# Use

	d := suspend.New(ctx, suspend.Clock)
	if length, ok := d.Recent(time.Second); ok {
		// refuse what may be old
	}
*/
package suspend

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tickInterval is the time between two ticks.
	tickInterval = 50 * time.Millisecond
	// minLength is the shortest interruption. Callers of this system give up a call
	// after a second; a processor quota pauses a process for a tenth of one.
	minLength = 400 * time.Millisecond
)

// Clock returns the time since the host was started, including the time for which
// it was suspended.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Old kernels lack the clock. The process clock misses suspended hosts only.
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// Detector detects interruptions. It is safe for concurrent use. Use New.
type Detector struct {
	clock func() time.Duration

	mu       sync.Mutex
	lastTick time.Duration
	// ended is the time at which the last interruption was noticed.
	ended  time.Duration
	length time.Duration
}

// New starts a Detector, whose goroutine stops when ctx is done. The clock must not
// stop while the host is suspended.
func New(ctx context.Context, clock func() time.Duration) *Detector {
	d := &Detector{clock: clock, lastTick: clock()}
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				d.tick()
			}
		}
	}()
	return d
}

// Recent returns the length of the last interruption, if it ended less than within
// ago.
func (d *Detector) Recent(within time.Duration) (length time.Duration, ok bool) {
	now := d.tick()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.length, d.length > 0 && now-d.ended < within
}

// LastEnd returns the reading of the clock at which the last interruption was
// noticed, or a negative time if there was none.
func (d *Detector) LastEnd() time.Duration {
	d.tick()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.length == 0 {
		return -1
	}
	return d.ended
}

func (d *Detector) tick() time.Duration {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if length := now - d.lastTick; length >= minLength {
		d.ended, d.length = now, length
	}
	d.lastTick = max(d.lastTick, now)
	return now
}
