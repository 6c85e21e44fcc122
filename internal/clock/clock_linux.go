// Package clock reads the time since the machine started, including the time
// that it was suspended. The runtime's own monotonic clock stands still then.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a point in time on this machine.
type Reading time.Duration

var start = time.Now()

// Now returns the current reading.
func Now() Reading {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels without this clock cannot be suspended in a way that it shows.
		return Reading(time.Since(start))
	}
	return Reading(ts.Nano())
}

// Sub returns the time from s to r.
func (r Reading) Sub(s Reading) time.Duration { return time.Duration(r - s) }
