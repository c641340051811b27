// Package cicadaclock reads a clock that also advances while the machine is suspended, to measure the
// age of information. The monotonic clock of package time stops during a suspension.
//
// # Usage
//
//	askedAt := cicadaclock.SinceBoot()
//	...
//	age := cicadaclock.SinceBoot() - askedAt
//
// Times of two machines, or of one machine before and after a restart, cannot be compared.
package cicadaclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// startedAt and bootTimeAtStart are the start of this process on the two clocks. bootTimeAtStart is 0
// if CLOCK_BOOTTIME cannot be read.
var (
	startedAt          = time.Now()
	bootTimeAtStart, _ = readBootTime()
)

// SinceBoot returns the time since the machine was started, including the time during which it was
// suspended. If CLOCK_BOOTTIME cannot be read, it continues with the monotonic clock, which does not
// count suspensions.
func SinceBoot() time.Duration {
	if d, ok := readBootTime(); ok {
		return d
	}
	return monotonic()
}

// monotonic continues the time since boot from the start of this process, so that a failure to
// read CLOCK_BOOTTIME does not set the time back.
func monotonic() time.Duration { return bootTimeAtStart + time.Since(startedAt) }

// readBootTime returns the time of CLOCK_BOOTTIME. ok is false if it cannot be read.
func readBootTime() (d time.Duration, ok bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
