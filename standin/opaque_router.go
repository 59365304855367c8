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
//   - if at least half of the zone's relays are in rotation, one of these;
//   - if some are, but fewer than half, any relay of the zone;
//   - if none is, a relay in rotation in any zone;
//   - if no relay is in rotation at all, any relay of the zone.
//
// The hash of the flow's key selects the relay among these. Route returns the zero
// value if there is none.
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
