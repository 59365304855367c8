package standin

import "dandelionhitch.example/flow"

// Entry is a relay as routers see it.
type Entry interface {
	comparable
	// InZone reports whether the relay is in a zone, and InRotation whether it has
	// answered that it is ready.
	InZone(zone string) bool
	InRotation() bool
}

// Route returns the relay to which a router of a zone hands a flow's packet, or the
// zero value: one in rotation in the zone, or any there if fewer than half are. If
// none is, the packet goes to another zone that has one in rotation.
func Route[E Entry](relays []E, zone string, key flow.Key) E {
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
