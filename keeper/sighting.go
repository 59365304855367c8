package keeper

import (
	"time"

	"dandelionhitch.example/platform"
)

// sighting is one lease as this balancer has read it.
type sighting struct {
	version platform.Version
	// since is when this version was first read, reads how often in a row.
	since time.Duration
	reads int
}

// _leaseReads is how often in a row a lease must have been read unchanged
// before it counts as abandoned.
const _leaseReads = 4

// sightings tell abandoned leases. Members do not compare clocks: a lease is
// abandoned when it stayed the same over several readings and the whole term.
// A platform outage during which nobody could renew breaks the row of readings.
type sightings struct {
	seen   map[string]sighting
	lastAt time.Duration
}

// read notes a reading and returns the leases that are abandoned.
func (s *sightings) read(now time.Duration, objects []platform.Object) []platform.Object {
	if now-s.lastAt > 2*_leaseInterval {
		s.seen = nil
	}
	s.lastAt = now
	seen := make(map[string]sighting, len(objects))
	var abandoned []platform.Object
	for _, object := range objects {
		was, known := s.seen[object.Key]
		if !known || was.version != object.Version {
			was = sighting{version: object.Version, since: now}
		}
		was.reads++
		seen[object.Key] = was
		if was.reads >= _leaseReads && now-was.since >= _leaseTerm {
			abandoned = append(abandoned, object)
		}
	}
	s.seen = seen
	return abandoned
}
