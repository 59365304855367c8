package sidecar

import (
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

// clocks are the clocks of a VM. Each read of one takes delay.
type clocks struct {
	monotonic, timeOfDay, boot, delay time.Duration
	bootReads                         int
}

func (c *clocks) run(d time.Duration) {
	c.monotonic += d
	c.timeOfDay += d
	c.boot += d
}

func (c *clocks) suspend(d time.Duration) {
	c.timeOfDay += d
	c.boot += d
}

func (c *clocks) read() (time.Duration, time.Duration) {
	c.run(c.delay)
	return c.monotonic, c.timeOfDay
}

func (c *clocks) readBoot() (time.Duration, error) {
	c.run(c.delay)
	c.bootReads++
	return c.boot, nil
}

// TestClockCountsSuspension guards against evidence that outlasts a suspension of the VM.
func TestClockCountsSuspension(t *testing.T) {
	c := &clocks{monotonic: time.Hour, timeOfDay: 10 * time.Hour, boot: 2 * time.Hour}
	k := newClock(c.read, c.readBoot)
	c.run(time.Second)
	assert.Equal(t, k.now(), time.Second)
	c.suspend(3 * time.Second)
	assert.Equal(t, k.now(), 4*time.Second, "before the first tick, too")
	c.timeOfDay -= 8 * time.Second
	assert.Equal(t, k.now(), 4*time.Second, "the time of day may be set")
	c.timeOfDay += 20 * time.Second
	assert.Equal(t, k.now(), 4*time.Second)
	c.suspend(5 * time.Second)
	c.timeOfDay -= 5 * time.Second
	k.update()
	assert.Equal(t, k.now(), 9*time.Second, "a tick sees what the time of day hides")
	assert.Equal(t, k.takeSuspension(), 8*time.Second)
	assert.Equal(t, k.takeSuspension(), time.Duration(0))
}

// TestClockReadsBootTimeRarely guards against a system call for each packet.
func TestClockReadsBootTimeRarely(t *testing.T) {
	c := &clocks{}
	k := newClock(c.read, c.readBoot)
	for range 1000 {
		c.run(time.Millisecond)
		k.now()
	}
	assert.Equal(t, c.bootReads, 1)
}

// TestSlowClockReadsCountNothing guards against a process that takes its own delays for
// suspensions.
func TestSlowClockReadsCountNothing(t *testing.T) {
	c := &clocks{delay: 50 * time.Millisecond}
	k := newClock(c.read, c.readBoot)
	for range 10 {
		k.update()
	}
	assert.Equal(t, k.suspended, time.Duration(0))
	c.suspend(time.Second)
	k.update()
	assert.Assert(t, k.suspended > 800*time.Millisecond && k.suspended <= time.Second)
}

// TestClockWithoutBootTime checks that the monotonic time is used on a kernel without
// CLOCK_BOOTTIME.
func TestClockWithoutBootTime(t *testing.T) {
	c := &clocks{monotonic: time.Hour}
	k := newClock(c.read, func() (time.Duration, error) { return 0, trace.NotFound("no such clock") })
	c.run(time.Second)
	k.update()
	assert.Equal(t, k.now(), time.Second)
}

// TestSystemClocks compares the clocks of this system over a moment.
func TestSystemClocks(t *testing.T) {
	k := newClock(readClocks(), readBootTime)
	before := k.now()
	k.update()
	assert.Assert(t, k.now() >= before)
	_, err := readBootTime()
	assert.NilError(t, err)
}
