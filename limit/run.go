package limit

import (
	"net/netip"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// _sharePrefix is the prefix of the keys of all Share objects.
const _sharePrefix = "shares/"

// Key returns the key under which the platform's store holds the Share of the
// service at path.
func Key(path settings.Path) string {
	return _sharePrefix + path.String()
}

// Run identifies one run of an agent process. Nonce distinguishes two runs that
// have the same incarnation because the host's wall clock was set back between
// them.
type Run struct {
	Address     netip.AddrPort      `json:"address" cbor:"1,keyasint"`
	Incarnation service.Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Nonce       uint32              `json:"nonce" cbor:"3,keyasint"`
}

// Validate returns a BadParameter error unless the run has an IPv4 address
// with a port, and an incarnation.
func (r Run) Validate() error {
	if err := service.CheckAddress("agent address", r.Address); err != nil {
		return err
	}
	if r.Incarnation == 0 {
		return trace.BadParameter("agent %s: incarnation is zero, want a positive number", r.Address)
	}
	return nil
}

// Limits is the part of a service's settings that bounds its flows. The zero
// value admits no flows.
type Limits struct {
	// Revision is the revision of the settings that the limits come from.
	Revision settings.Revision
	// Flows is the maximum number of open flows at the place.
	Flows int
	// FlowsPerUpstream is the maximum number of open flows at one upstream.
	FlowsPerUpstream int
	// MaxHosts is the expected number of hosts, each of which has a floor.
	MaxHosts int
	// DrainDeadline is how long flows may outlive the lease of a silent run.
	DrainDeadline settings.Duration
}

// LimitsOf returns the limits in a service's settings.
func LimitsOf(s settings.Service) Limits {
	return Limits{
		Revision:         s.Revision,
		Flows:            s.Limits.Flows,
		FlowsPerUpstream: s.Limits.FlowsPerUpstream,
		MaxHosts:         s.Limits.MaxHosts,
		DrainDeadline:    s.DrainDeadline,
	}
}
