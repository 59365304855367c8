package sidecar

import (
	"time"

	"golang.org/x/sys/unix"
)

// _clockStep is how far the time of day and the monotonic clock may diverge before the VM may
// have been suspended.
const _clockStep = 5 * time.Millisecond

// clock tells the time since the start of the process. Unlike the monotonic clock, it counts
// the time for which the VM was suspended, so that this looks like a stall of the process.
// Reading CLOCK_BOOTTIME is a system call, so it is only read on each tick, and when the time
// of day, which goes on too and can be set, has diverged from the monotonic clock. It is not
// safe for concurrent use.
type clock struct {
	// monotonic returns the monotonic time and the time of day, boot the time since the boot of
	// the VM. Each has its own starting point.
	monotonic func() (monotonic, timeOfDay time.Duration)
	boot      func() (time.Duration, error)
	// start is the monotonic time, and ahead how far the time since boot was ahead of it, at
	// the start of the process. dayAhead is how far the time of day was ahead at the last look.
	start, ahead, dayAhead time.Duration
	// suspended is for how long the VM was suspended, and taken how much of it takeSuspension
	// has returned.
	suspended, taken time.Duration
}

// newClock returns a clock that starts now.
func newClock(monotonic func() (time.Duration, time.Duration), boot func() (time.Duration, error)) *clock {
	k := &clock{monotonic: monotonic, boot: boot}
	start, timeOfDay := monotonic()
	k.start, k.dayAhead = start, timeOfDay-start
	if sinceBoot, err := boot(); err == nil {
		k.ahead = sinceBoot - start
	}
	return k
}

// now returns the time since the start.
func (k *clock) now() time.Duration {
	monotonic, timeOfDay := k.monotonic()
	if dayAhead := timeOfDay - monotonic; (dayAhead - k.dayAhead).Abs() > _clockStep {
		k.dayAhead = dayAhead
		k.update()
	}
	return monotonic - k.start + k.suspended
}

// update reads how long the VM was suspended. The monotonic clock is read before the time since
// boot at the start and after it here, so that a delay between the two adds nothing.
func (k *clock) update() {
	sinceBoot, err := k.boot()
	if err != nil {
		return // the kernel has no such clock
	}
	monotonic, _ := k.monotonic()
	k.suspended = max(k.suspended, sinceBoot-monotonic-k.ahead)
}

// takeSuspension returns for how long the VM was suspended since the last call that did not
// return zero, or zero if that is less than _clockStep.
func (k *clock) takeSuspension() time.Duration {
	took := k.suspended - k.taken
	if took < _clockStep {
		return 0
	}
	k.taken = k.suspended
	return took
}

// readClocks returns a function that reads the clocks of package time.
func readClocks() func() (monotonic, timeOfDay time.Duration) {
	start := time.Now()
	return func() (time.Duration, time.Duration) {
		now := time.Now()
		return now.Sub(start), now.Round(0).Sub(start.Round(0))
	}
}

// readBootTime reads CLOCK_BOOTTIME.
func readBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
