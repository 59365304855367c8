package settings

import (
	"net/netip"

	"dandelionhitch.example/service"
)

// Service is the whole of what is in force for one service at one place, after
// inheritance. It is immutable: every process holds one value and replaces it.
type Service struct {
	Region service.Region
	Place  service.Place
	Name   service.Name
	// ID is the service's number; it never changes.
	ID service.ID
	// Addresses are where callers reach the service.
	Addresses []netip.AddrPort
	// Revision is the revision of the tree that these values come from.
	Revision Revision
	// Limits bound the service's flows and requests.
	Limits Limits
	// Requests says how requests are classed and retried.
	Requests Requests
	// DrainDeadline bounds how long a draining upstream keeps its flows.
	DrainDeadline Duration
}

// Limits are the operator's limits for one service at one place.
// Lowering one never cuts what is established.
type Limits struct {
	// Flows is the most open flows of the service at this place, over all its upstreams.
	Flows int
	// FlowsPerUpstream is the most open flows at one upstream.
	FlowsPerUpstream int
	// Slots is how many requests one upstream runs at once.
	Slots int
	// ReservedSlots is how many of the slots are kept for short requests; less than Slots.
	ReservedSlots int
	// QueueLength is how many requests wait at one upstream before more are refused.
	QueueLength int
	// MaxHosts is the most upstreams the service is expected to have at this
	// place; the static floor of each is (Flows × floor share) ÷ MaxHosts.
	MaxHosts int
}

// Requests says how the requests of one service are treated.
type Requests struct {
	// LongRoutes are path prefixes of requests known to run long.
	LongRoutes []string
	// NonRepeatableRoutes are path prefixes of requests that may run at most once.
	NonRepeatableRoutes []string
	// Timeout bounds one request when the caller gives no deadline.
	Timeout Duration
}
