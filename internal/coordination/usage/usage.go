/*
Package usage counts requests by time window and client account, and decides when
the counts of a window are complete and when they are reported.

# Concept

Window k begins k lengths after the Unix epoch. Its number is computed from a
[Clock], which takes the median of the wall clocks of several hosts, so that a single
clock that steps moves no request to another window.

An entry counts each request once, when it begins to run, in a [Counter]. It sends
cumulative counts, so that a repeated or reordered message does no harm: a [Table]
keeps the maximum for each entry, incarnation, window and client account. The entry
says which window it counts in; the counts of earlier windows are then complete.

The holder of the duty closes a window when all entries are past it, or
[Windows.CloseBound] after its end. A [Schedule] then says which closed window to
report next: the newest first, each with a growing pause between attempts, until it is
too late.

The package reads no clock.

# Use

	windows := usage.Windows{Length: 5 * time.Second, Lateness: 10 * time.Second}
	counter := usage.NewCounter()
	counter.Add(windows.At(clock.Now(...)), "account")
	changed, last := counter.Changed(0)
	table.Merge(now, "entry-1", incarnation, changed)
	if table.IsComplete(window) { total := table.Sum(window) }
*/
package usage

import "time"

// closeFraction is the part of the lateness after which a window is closed even if
// an entry has not sent its last counts. The rest is for a change of the holder,
// which takes a lease and an election, and for the report.
const closeFraction = 0.4

// Windows are the windows in which requests are counted.
type Windows struct {
	// Length is that of a window.
	Length time.Duration
	// Lateness is how long after the end of a window its report is due.
	Lateness time.Duration
}

// At returns the window of a time.
func (w Windows) At(t time.Time) uint64 {
	return uint64(max(0, t.UnixMilli())) / uint64(w.Length.Milliseconds())
}

// End returns the end of a window.
func (w Windows) End(window uint64) time.Time {
	return time.UnixMilli(int64(window+1) * w.Length.Milliseconds())
}

// Due returns when the report of a window is due.
func (w Windows) Due(window uint64) time.Time { return w.End(window).Add(w.Lateness) }

// CloseBound returns when a window is closed although entries have not sent their last
// counts.
func (w Windows) CloseBound(window uint64) time.Time {
	return w.End(window).Add(time.Duration(closeFraction * float64(w.Lateness)))
}

// LastLate returns the last window whose report is too late, and false if there is
// none.
func (w Windows) LastLate(now time.Time) (uint64, bool) {
	current := w.At(now.Add(-w.Lateness))
	if current == 0 {
		return 0, false
	}
	return current - 1, true
}

// Kept returns the first window that is kept in memory: one whose report is due, or a
// window before it, since clocks differ.
func (w Windows) Kept(now time.Time) uint64 {
	late, ok := w.LastLate(now)
	if !ok || late == 0 {
		return 0
	}
	return late
}
