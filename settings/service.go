package settings

import (
	"net/netip"

	"dandelionhitch.example/service"
)

// Service is the resolved settings of one service at one place, after inheritance
// and defaults. It is immutable: a process replaces it as a whole when the settings
// change.
type Service struct {
	Region service.Region
	Place  service.Place
	Name   service.Name
	// ID is the service's number; it never changes.
	ID service.ID
	// Addresses are the addresses at which callers reach the service.
	Addresses []netip.AddrPort
	// Revision is the revision of the tree that these values come from.
	Revision Revision
	// Limits are the limits on the service's flows and requests.
	Limits Limits
	// Requests determines how requests are classified and retried.
	Requests Requests
	// DrainDeadline is the maximum time that a draining upstream keeps its flows.
	DrainDeadline Duration
}

// Limits are the operator's limits for one service at one place. Lowering a limit
// never ends established flows or running requests.
type Limits struct {
	// Flows is the maximum number of open flows of the service at this place,
	// summed over all its upstreams.
	Flows int
	// FlowsPerUpstream is the maximum number of open flows at one upstream.
	FlowsPerUpstream int
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int
	// ReservedSlots is the number of slots reserved for short requests; less
	// than Slots.
	ReservedSlots int
	// QueueLength is the maximum number of requests queued at one upstream;
	// further requests are refused.
	QueueLength int
	// MaxHosts is the maximum number of upstreams that the service is expected
	// to have at this place. The static floor of each, the flows that it may
	// admit even during an outage of the platform, is (Flows × floor share) ÷
	// MaxHosts.
	MaxHosts int
}

// Requests determines how the requests of one service are classified and retried.
type Requests struct {
	// LongRoutes are URL path prefixes of requests that are expected to run long.
	LongRoutes []string
	// NonRepeatableRoutes are URL path prefixes of requests that must run at most
	// once.
	NonRepeatableRoutes []string
	// Timeout is the timeout of a request for which the caller gives no deadline.
	Timeout Duration
}
