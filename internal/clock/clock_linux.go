// Package clock provides a monotonic clock that also advances while the machine
// is suspended. The monotonic clock of the Go runtime stops meanwhile.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a point in time, relative to an arbitrary origin: only differences
// between readings of the same process are meaningful.
type Reading time.Duration

var processStart = time.Now()

// Now returns the current reading.
func Now() Reading {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A kernel without this clock does not account for suspension, so the
		// monotonic clock measures the same.
		return Reading(time.Since(processStart))
	}
	return Reading(ts.Nano())
}

// Sub returns the time from s to r.
func (r Reading) Sub(s Reading) time.Duration { return time.Duration(r - s) }
