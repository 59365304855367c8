package limit

import (
	"net/netip"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// _sharePrefix begins the keys of all Share objects.
const _sharePrefix = "shares/"

// Key is the key in the platform's store of the Share for the service at path.
func Key(path settings.Path) string {
	return _sharePrefix + path.String()
}

// Run is one run of one agent. Nonce tells apart two runs that have the same
// incarnation because the host's wall clock went back between them.
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
		return trace.BadParameter("agent %s: incarnation 0", r.Address)
	}
	return nil
}

// Limits is the part of a service's settings that bounds its flows. The zero
// value admits none.
type Limits struct {
	// Revision is the revision of the settings that the limits come from.
	Revision settings.Revision
	// Flows is the most open flows at the place.
	Flows int
	// FlowsPerUpstream is the most open flows at one upstream.
	FlowsPerUpstream int
	// MaxHosts is how many hosts divide the floor part among them.
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
