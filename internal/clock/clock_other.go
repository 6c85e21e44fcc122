//go:build !linux

package clock

import "time"

// Reading is a point in time, relative to an arbitrary origin: only differences
// between readings of the same process are meaningful.
type Reading time.Duration

var start = time.Now()

// Now returns the current reading. It may not advance while the machine is
// suspended.
func Now() Reading { return Reading(time.Since(start)) }

// Sub returns the time from s to r.
func (r Reading) Sub(s Reading) time.Duration { return time.Duration(r - s) }
