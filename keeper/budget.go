package keeper

import "time"

const (
	// _syncRate is the long-term limit of the traffic of Sync calls and of the entries
	// they transfer, in octets per second.
	_syncRate = 2 << 10
	// _syncBurst is the burst limit of the same traffic in octets.
	_syncBurst = 64 << 10
)

// budget is a token bucket that limits traffic to _syncRate with bursts of _syncBurst.
// The zero value is a full bucket.
type budget struct {
	// paidUntil is the time at which the octets spent so far are refilled at _syncRate.
	paidUntil time.Duration
}

// take reports whether there are octets left in the bucket and, if so, spends the
// given number. A call may overdraw the bucket; later calls then fail until the
// deficit is refilled.
func (b *budget) take(now time.Duration, octets int) bool {
	const burst = _syncBurst * time.Second / _syncRate
	b.paidUntil = max(b.paidUntil, now)
	if b.paidUntil > now+burst {
		return false
	}
	b.paidUntil += time.Duration(octets) * time.Second / _syncRate
	return true
}
