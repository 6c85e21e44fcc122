//go:build !linux

package clock

import "time"

// Reading is a point in time on this machine.
type Reading time.Duration

var start = time.Now()

// Now returns the current reading.
func Now() Reading { return Reading(time.Since(start)) }

// Sub returns the time from s to r.
func (r Reading) Sub(s Reading) time.Duration { return time.Duration(r - s) }
