package relay

import "dandelionhitch.example/flow"

// choice is the service that was chosen for a flow, and the version of the configuration
// under which it was chosen.
//
// The address of a sidecar does not stand for its service: it may pass on to a sidecar of
// another one, of which a relay hears late or through a delayed report. So both ends check.
// A relay offers a flow only to sidecars that have the chosen service by their last
// report, for a repeated opening packet as well, and labels the offer with the choice, not
// with what it knows of the sidecar or with the version in force. The sidecar compares the
// label with its own service and, unless the label's version is newer than its own, asks its
// own configuration whether the route allows the service. Packets of open flows carry no
// service: the sidecar compares them with the flows that its upstream holds.
type choice struct {
	service string
	version uint64
}

// Reasons for placing a flow anew.
const (
	// _reasonOtherService means that the sidecar at the address of the flow's holder has
	// another service than the one that was chosen for the flow.
	_reasonOtherService = "sidecar_of_other_service"
	// _reasonRouteChanged means that the route does not lead to the chosen service any more.
	_reasonRouteChanged = "route_changed"
)

// renew returns the choice under which a flow may be offered now, and whether there is one:
// the configuration in force allows the chosen service. The version is that in force if it
// would choose the same service. Otherwise it stays, for instance if the weights of the
// route have changed, so that all offers of a flow go to one service.
func (c *Core) renew(key flow.Key, chosen choice) (choice, bool) {
	if chosen.version == c.table.Version() {
		return chosen, true
	}
	if service, ok := c.table.Service(key); ok && service == chosen.service {
		return choice{service: service, version: c.table.Version()}, true
	}
	return chosen, c.table.Allows(key.Address, chosen.service)
}
