package relay

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

// _reasonOtherService is the reason for placing a flow anew if the sidecar at its holder's
// address has another service than the one that was chosen for the flow.
const _reasonOtherService = "sidecar_of_other_service"
