// Package boottime measures time with a clock that goes on while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time returns the time since the machine was booted as a time that can only be compared with others that
// Time returned.
func Time() time.Time { return time.Unix(0, 0).Add(Now()) }

// Monotonic returns a time of Time as one of time.Now, so that timers and other times can be compared with it. now
// is what Time returns at present. It holds as long as the machine is not suspended again.
func Monotonic(t, now time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return time.Now().Add(t.Sub(now))
}

// Now returns the time since the machine was booted. Unlike the differences of time.Time, those of
// Now include the time for which the machine was suspended, and steps of the time of day do not
// change them. On a system without such a clock it returns the time of the monotonic one.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The monotonic clock exists on every system that Go supports.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return time.Duration(t.Nano())
}
