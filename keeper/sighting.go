package keeper

import (
	"time"

	"dandelionhitch.example/platform"
)

// leaseObservation is what this balancer has observed of one lease.
type leaseObservation struct {
	version platform.Version
	// firstReadAt is the time of the first read of this version; reads is the number
	// of consecutive reads of it.
	firstReadAt time.Duration
	reads       int
}

// _minLeaseReads is the number of consecutive reads with the same version after which a
// lease can be abandoned.
const _minLeaseReads = 4

// leaseTracker detects abandoned leases. It needs no synchronized clocks: a lease is
// abandoned if _minLeaseReads consecutive reads over at least _leaseTerm have found the
// same version. A long gap between two reads, as by an outage of the platform in which
// no member could renew its lease, resets all observations.
type leaseTracker struct {
	observed   map[string]leaseObservation
	lastReadAt time.Duration
}

// observe records a read of all leases and returns the abandoned ones.
func (t *leaseTracker) observe(now time.Duration, objects []platform.Object) []platform.Object {
	if now-t.lastReadAt > 2*_leaseInterval {
		t.observed = nil
	}
	t.lastReadAt = now
	observed := make(map[string]leaseObservation, len(objects))
	var abandoned []platform.Object
	for _, object := range objects {
		observation, known := t.observed[object.Key]
		if !known || observation.version != object.Version {
			observation = leaseObservation{version: object.Version, firstReadAt: now}
		}
		observation.reads++
		observed[object.Key] = observation
		if observation.reads >= _minLeaseReads && now-observation.firstReadAt >= _leaseTerm {
			abandoned = append(abandoned, object)
		}
	}
	t.observed = observed
	return abandoned
}
