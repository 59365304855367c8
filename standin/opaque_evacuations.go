package standin

import (
	"maps"
	"slices"
	"time"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/platform"
)

const (
	// _evacuationReadDelay is the longest time after a change of the evacuated zones until
	// a relay reads it from the store: the longest interval between two shared reads.
	_evacuationReadDelay = 2 * time.Second
	// _evacuationBound is the time after an evacuation within which the upstreams of the
	// zone must get no new flows any more. Users allow 5 s.
	_evacuationBound = 4 * time.Second
)

// evacuationEntries are the operator's entries for evacuated zones in the store, and what
// the checks need of them.
type evacuationEntries struct {
	epoch    platform.Epoch
	revision platform.Revision
	// missing is a zone whose entry the store has lost.
	missing string
	// since holds when each zone was evacuated.
	since map[string]time.Duration
	// openings counts the flows that were opened in each zone.
	openings map[string]int
}

// Evacuate adds the operator's entry for a zone to the store. From _evacuationBound on, a
// flow that is opened at an upstream of the zone is a violation.
func (s *Simulation) Evacuate(zone string) {
	if s.evacuations.since == nil {
		s.evacuations.since = make(map[string]time.Duration)
	}
	s.evacuations.since[zone] = s.now
	s.changeEvacuations()
}

// TakeBack removes the operator's entry for a zone from the store.
func (s *Simulation) TakeBack(zone string) {
	delete(s.evacuations.since, zone)
	s.changeEvacuations()
}

// RestoreStore restores the store from a copy of its first state, which lacks the entry
// for the zone. The operator adds the entry again after a time.
func (s *Simulation) RestoreStore(zone string, after time.Duration) {
	e := &s.evacuations
	e.epoch++
	e.revision, e.missing = 0, zone
	s.changeEvacuations()
	s.schedule(s.now+after, func() {
		e.missing = ""
		s.changeEvacuations()
	})
}

// version returns the version of the entries in the store.
func (e *evacuationEntries) version() platform.Version {
	return platform.NewVersion(e.epoch, e.revision)
}

// OpenedIn returns the number of flows that were opened in a zone so far.
func (s *Simulation) OpenedIn(zone string) int { return s.evacuations.openings[zone] }

// changeEvacuations gives the entries a new revision, and lets a random relay read them
// after a random delay. If that relay is not running then, others are tried.
func (s *Simulation) changeEvacuations() {
	s.evacuations.revision++
	version := s.evacuations.version()
	var read func()
	read = func() {
		relays := slices.DeleteFunc(slices.Clone(s.vms), func(vm *SimulatedVM) bool { return vm.Relay == nil })
		reader := relays[s.random.IntN(len(relays))]
		switch {
		case version != s.evacuations.version(): // a later change is read instead
		case reader.processUp && !reader.frozen && !s.StoreDown:
			reader.readEvacuations()
		default:
			s.schedule(s.now+_coreTick, read)
		}
	}
	s.schedule(s.now+time.Duration(s.random.Int64N(int64(_evacuationReadDelay))), read)
}

// readEvacuations passes the entries in the store to the VM's relay.
func (vm *SimulatedVM) readEvacuations() {
	e := &vm.sim.evacuations
	if vm.sim.StoreDown || e.revision == 0 {
		return
	}
	zones := slices.DeleteFunc(slices.Collect(maps.Keys(e.since)), func(zone string) bool { return zone == e.missing })
	set, err := evacuation.New(uint64(e.version()), zones)
	if err != nil {
		vm.sim.addViolation("evacuated zones: %v", err)
		return
	}
	vm.Relay.SetEvacuations(vm.clock(), set, "simulation")
}

// checkEvacuation counts a flow that is opened at the VM's upstream, and checks that its
// zone is not evacuated.
func (s *Simulation) checkEvacuation(vm *SimulatedVM) {
	if s.evacuations.openings == nil {
		s.evacuations.openings = make(map[string]int)
	}
	s.evacuations.openings[vm.Zone]++
	if since, evacuated := s.evacuations.since[vm.Zone]; evacuated && s.now-since > _evacuationBound {
		s.addViolation("a flow was opened at %v, %v after its zone was evacuated", vm, s.now-since)
	}
}

// Users allow a cold upstream _coldOverage times its stated rate plus _coldSlack requests
// in any second.
const (
	_coldOverage = 1.5
	_coldSlack   = 5
)

// StateColdRate makes the checks assume a rate for the cold upstreams of a service that
// the processes do not get.
func (s *Simulation) StateColdRate(service string, cold directory.Cold) {
	s.table = s.table.WithCold(map[string]directory.Cold{service: cold})
}

// coldCount holds when flows were opened at a cold upstream within the last second.
type coldCount struct{ openedAt []time.Duration }

// warmupLeft returns how much longer the VM's upstream is cold.
func (vm *SimulatedVM) warmupLeft() time.Duration {
	return max(vm.sim.WarmupLeft(), vm.ColdUntil-vm.sim.now)
}

// checkColdRate counts a flow that is opened at the VM's upstream. If the upstream is
// cold, it must not have got more than users allow in the last second.
func (vm *SimulatedVM) checkColdRate(count *coldCount) {
	now := vm.sim.now
	cold, stated := vm.sim.table.Cold(vm.Service)
	if !stated || vm.warmupLeft() <= 0 {
		count.openedAt = nil
		return
	}
	count.openedAt = append(count.openedAt, now)
	count.openedAt = slices.DeleteFunc(count.openedAt, func(at time.Duration) bool { return now-at >= time.Second })
	if n := float64(len(count.openedAt)); n > cold.PerSecond*_coldOverage+_coldSlack {
		vm.sim.addViolation("%v flows were opened within a second at %v, which bears %v while it is cold", n, vm, cold.PerSecond)
	}
}
