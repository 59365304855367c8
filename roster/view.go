package roster

import (
	"net/netip"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// View is an immutable snapshot of what routing needs.
type View struct {
	// Services holds the eligible upstreams of each service, ordered by data address.
	Services map[service.ID][]Candidate
	// Gone holds, for each address where a run has ended, the highest such run.
	Gone []GoneRun
	// Members holds the balancers that are not gone, ordered by name.
	Members []MemberStatus
	// Highest is the highest settings revision that any member has in force.
	Highest settings.Revision
}

// Candidate is an upstream that may get new flows.
type Candidate struct {
	Upstream
	// Share is the weight for placement: the upstream's own weight times
	// ShareScale, lowered during a cold start and under full load. Never zero.
	Share uint32
}

// ShareScale is the share of an upstream of weight 1 at full weight.
const ShareScale = 16

// GoneRun is a run of an agent that has ended for certain. Runs at the same
// address with a lower incarnation have ended as well.
type GoneRun struct {
	Data        netip.AddrPort
	Incarnation service.Incarnation
}

// MemberStatus is a member and whether it is suspected.
type MemberStatus struct {
	Member
	Suspect bool `cbor:"9,keyasint,omitempty" json:"suspect"`
}

// UpstreamStatus is an upstream with what the roster concludes about it.
type UpstreamStatus struct {
	Upstream
	Suspect bool `cbor:"11,keyasint,omitempty" json:"suspect"`
	Gone    bool `cbor:"12,keyasint,omitempty" json:"gone"`
}
