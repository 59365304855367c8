package evacuation

import (
	"slices"
	"time"
)

// _restoreGrace is how long a zone stays evacuated whose entry is missing after the store
// was restored from a copy. It is longer than the operator takes to repeat a change.
const _restoreGrace = 10 * time.Second

// _epochShift is the number of low bits of a version that hold the store's revision. The
// bits above are its epoch, which begins when the store is restored.
const _epochShift = 48

// SourceExpired is the source, for logs, of a change by which zones whose entries are still
// missing at the end of _restoreGrace are taken back.
const SourceExpired = "entries missing since the store was restored"

// State is what one process knows of the evacuated zones. It is immutable. The zero State
// contains no zones. Times are monotonic.
type State struct {
	set Set
	// kept are zones that were evacuated before the store was restored and have not been in
	// a set since. They stay evacuated until keptUntil.
	kept      []string
	keptUntil time.Duration
}

// With returns the state after a set has arrived from the store or another process. An
// older set changes nothing.
func (s State) With(now time.Duration, set Set) State {
	if !set.Newer(s.set) {
		return s
	}
	next := State{set: set, kept: s.kept, keptUntil: s.keptUntil}
	if s.set.version > 0 && set.version>>_epochShift > s.set.version>>_epochShift {
		next.kept, next.keptUntil = s.Zones(), now+_restoreGrace
	}
	next.kept = slices.DeleteFunc(slices.Clone(next.kept), set.Contains)
	return next
}

// At returns the state at a later time.
func (s State) At(now time.Duration) State {
	if len(s.kept) > 0 && now >= s.keptUntil {
		s.kept = nil
	}
	return s
}

// Set returns the newest set that has arrived.
func (s State) Set() Set { return s.set }

// Zones returns the evacuated zones in ascending order. The caller must not modify the
// slice.
func (s State) Zones() []string {
	if len(s.kept) == 0 {
		return s.set.zones
	}
	zones := slices.Concat(s.set.zones, s.kept)
	slices.Sort(zones)
	return zones
}

// Contains reports whether the zone is evacuated.
func (s State) Contains(zone string) bool {
	return s.set.Contains(zone) || slices.Contains(s.kept, zone)
}

// SameZones reports whether both states contain the same zones.
func (s State) SameZones(other State) bool { return slices.Equal(s.Zones(), other.Zones()) }

// String returns the zones, separated by commas, for logs.
func (s State) String() string { return join(s.Zones()) }
