// Package evacuation tells which availability zones the operator has evacuated.
//
// The upstreams of an evacuated zone get no new flows until the operator takes the zone
// back. Their open flows stay, and the relays of the zone go on serving callers with
// upstreams of other zones.
//
// The operator's entries lie in the store. Relays read them together, and processes pass
// them on in their reports. The store's versions number its states in ascending order, also
// when it is restored from an older copy, so of two sets the one with the higher version is
// in force, whichever way it came.
package evacuation

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Limits of a set, which travels in reports.
const (
	// MaxZones is the maximum number of evacuated zones.
	MaxZones = 32
	// MaxZoneSize is the maximum length of a zone's name in bytes.
	MaxZoneSize = 63
)

// Set holds the evacuated zones at one version of the store. It is immutable. The zero
// Set means that the evacuated zones are not known, and contains none.
type Set struct {
	version uint64
	// zones are sorted and distinct.
	zones []string
}

// New returns the set of zones that were evacuated at a version of the store. It returns
// a BadParameter or LimitExceeded error if the version is zero, if there are too many
// zones, or if a zone's name is empty or too long.
func New(version uint64, zones []string) (Set, error) {
	if version == 0 {
		return Set{}, trace.BadParameter("evacuated zones: the version is zero")
	}
	sorted := slices.Clone(zones)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if len(sorted) > MaxZones {
		return Set{}, trace.LimitExceeded("evacuated zones: %d zones, want at most %d", len(sorted), MaxZones)
	}
	for _, zone := range sorted {
		if zone == "" || len(zone) > MaxZoneSize {
			return Set{}, trace.BadParameter("evacuated zone %q: want 1 to %d bytes", zone, MaxZoneSize)
		}
	}
	return Set{version: version, zones: sorted}, nil
}

// Version returns the store's version, or zero if the evacuated zones are not known.
func (s Set) Version() uint64 { return s.version }

// Zones returns the evacuated zones in ascending order. The caller must not modify the
// slice.
func (s Set) Zones() []string { return s.zones }

// Contains reports whether the zone is known to be evacuated.
func (s Set) Contains(zone string) bool {
	_, found := slices.BinarySearch(s.zones, zone)
	return found
}

// Newer reports whether the set is of a later version than other.
func (s Set) Newer(other Set) bool { return s.version > other.version }

// String returns the zones, separated by commas, for logs.
func (s Set) String() string { return join(s.zones) }

func join(zones []string) string {
	if len(zones) == 0 {
		return "none"
	}
	return strings.Join(zones, ",")
}
