// Package cicadaclock reads the clock by which the age of information is measured if it must
// also grow while the machine is suspended. The monotonic clock of package time stands still
// then.
//
// # Usage
//
//	askedAt := cicadaclock.SinceBoot()
//	...
//	age := cicadaclock.SinceBoot() - askedAt
//
// Times of two machines, or of one machine before and after it was started again, cannot be
// compared.
package cicadaclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// startedAt and bootTimeAtStart are the same moment on the two clocks. bootTimeAtStart is 0 if
// CLOCK_BOOTTIME cannot be read.
var (
	startedAt          = time.Now()
	bootTimeAtStart, _ = readBootTime()
)

// SinceBoot returns the time since the machine was started, including the time during which it
// was suspended. If CLOCK_BOOTTIME cannot be read, the time is continued by the monotonic clock,
// which does not count suspensions.
func SinceBoot() time.Duration {
	if d, ok := readBootTime(); ok {
		return d
	}
	return monotonic()
}

// monotonic continues the time since boot from the start of this process, so that a failure to
// read CLOCK_BOOTTIME does not set the time back.
func monotonic() time.Duration { return bootTimeAtStart + time.Since(startedAt) }

func readBootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
