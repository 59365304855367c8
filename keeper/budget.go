package keeper

import "time"

const (
	// _syncRate is how many octets a second comparisons may cost in the long run.
	_syncRate = 2 << 10
	// _syncBurst is how many they may cost at once.
	_syncBurst = 64 << 10
)

// budget bounds octets in the long run. The zero value is full.
type budget struct {
	// paidAt is when all that was spent is paid for, at _syncRate.
	paidUntil time.Duration
}

// take reports whether there is budget left, and spends the octets if so.
// The last taker may overdraw; the next ones wait for it.
func (b *budget) take(now time.Duration, octets int) bool {
	const burst = _syncBurst * time.Second / _syncRate
	b.paidUntil = max(b.paidUntil, now)
	if b.paidUntil > now+burst {
		return false
	}
	b.paidUntil += time.Duration(octets) * time.Second / _syncRate
	return true
}
