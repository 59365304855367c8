package keeper

import (
	"time"

	"dandelionhitch.example/platform"
)

// sighting is one lease as this balancer has read it.
type leaseObservation struct {
	version platform.Version
	// since is when this version was first read, reads how often in a row.
	firstReadAt time.Duration
	reads       int
}

// _leaseReads is how often in a row a lease must have been read unchanged
// before it counts as abandoned.
const _minLeaseReads = 4

// sightings tell abandoned leases. Members do not compare clocks: a lease is
// abandoned when it stayed the same over several readings and the whole term.
// A platform outage during which nobody could renew breaks the row of readings.
type leaseTracker struct {
	observed   map[string]leaseObservation
	lastReadAt time.Duration
}

// read notes a reading and returns the leases that are abandoned.
func (s *leaseTracker) observe(now time.Duration, objects []platform.Object) []platform.Object {
	if now-s.lastReadAt > 2*_leaseInterval {
		s.observed = nil
	}
	s.lastReadAt = now
	seen := make(map[string]leaseObservation, len(objects))
	var abandoned []platform.Object
	for _, object := range objects {
		was, known := s.observed[object.Key]
		if !known || was.version != object.Version {
			was = leaseObservation{version: object.Version, firstReadAt: now}
		}
		was.reads++
		seen[object.Key] = was
		if was.reads >= _minLeaseReads && now-was.firstReadAt >= _leaseTerm {
			abandoned = append(abandoned, object)
		}
	}
	s.observed = seen
	return abandoned
}
