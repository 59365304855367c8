package standin

import "dandelionhitch.example/flow"

// Relay is a relay in the list from which routers choose.
type Relay interface {
	comparable
	// InZone reports whether the relay is in the zone.
	InZone(zone string) bool
	// InRotation reports whether the relay has passed its readiness probes.
	InRotation() bool
}

// Route returns the relay to which a router in the zone sends the packets of a flow:
//
//   - if at least half of the zone's relays are in rotation, one of the relays in rotation;
//   - if some of the zone's relays are in rotation, but fewer than half, any relay of the zone;
//   - if none of the zone's relays is in rotation, a relay of another zone that is in rotation;
//   - if no relay of any zone is in rotation, any relay of the zone.
//
// The hash of the flow's key selects one of the relays that qualify. Route returns the
// zero value if no relay qualifies.
func Route[E Relay](relays []E, zone string, key flow.Key) E {
	var inZone, zoneReady, ready []E
	for _, r := range relays {
		if r.InZone(zone) {
			inZone = append(inZone, r)
		}
		if !r.InRotation() {
			continue
		}
		ready = append(ready, r)
		if r.InZone(zone) {
			zoneReady = append(zoneReady, r)
		}
	}
	choice := zoneReady
	switch {
	case len(zoneReady) == 0 && len(ready) > 0:
		choice = ready
	case 2*len(zoneReady) < len(inZone):
		choice = inZone
	}
	if len(choice) == 0 {
		var none E
		return none
	}
	return choice[key.Hash()%uint64(len(choice))]
}
