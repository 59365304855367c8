package roster

import (
	"net/netip"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Load is the coarse load level of an upstream, as its agent reports it.
type Load uint8

// The load levels. LoadFilter limits how often an upstream changes its level, and adds
// hysteresis to the thresholds given here.
const (
	// LoadLow is a load below 60 percent of the capacity.
	LoadLow Load = iota + 1
	// LoadHigh is a load from 60 percent of the capacity.
	LoadHigh
	// LoadFull is a load from 95 percent of the capacity.
	LoadFull
)

// Upstream is the record of one upstream. Only the upstream's agent writes it; other
// processes merge it by (Incarnation, Seq).
type Upstream struct {
	// Service is the ID of the upstream's service.
	Service service.ID `cbor:"1,keyasint" json:"service"`
	// Name is the service's name.
	Name service.Name `cbor:"2,keyasint" json:"name"`
	// Place is the place that the upstream runs in.
	Place service.Place `cbor:"3,keyasint" json:"place"`
	// Data is the address at which the agent receives wrapped packets. It identifies the
	// record.
	Data netip.AddrPort `cbor:"4,keyasint" json:"data"`
	// Control is the address at which the agent answers RPC calls.
	Control netip.AddrPort `cbor:"5,keyasint" json:"control"`
	// Incarnation identifies the agent's run. A later run at the same data address has a
	// higher one.
	Incarnation service.Incarnation `cbor:"6,keyasint" json:"incarnation"`
	// Seq numbers the states of the record within one incarnation, from 1.
	Seq uint64 `cbor:"7,keyasint" json:"seq"`
	// State is the agent's state in its life cycle.
	State service.State `cbor:"8,keyasint" json:"state"`
	// Weight is the capacity relative to other upstreams of the service, at least 1.
	Weight uint16 `cbor:"9,keyasint" json:"weight"`
	// Load is the coarse load level.
	Load Load `cbor:"10,keyasint" json:"load"`
}

// Member is the record of one balancer. Only that balancer writes it; other processes
// merge it by (Incarnation, Seq).
type Member struct {
	// Name is the balancer's name, unique in the fleet.
	Name string `cbor:"1,keyasint" json:"name"`
	// Place is the place that the balancer runs in.
	Place service.Place `cbor:"2,keyasint" json:"place"`
	// Data is the address that agents send replies to. It identifies the record.
	Data netip.AddrPort `cbor:"3,keyasint" json:"data"`
	// Control is the address at which the balancer answers RPC calls.
	Control netip.AddrPort `cbor:"4,keyasint" json:"control"`
	// Incarnation identifies the balancer's run. A later run at the same data address
	// has a higher one.
	Incarnation service.Incarnation `cbor:"5,keyasint" json:"incarnation"`
	// Seq numbers the states of the record within one incarnation, from 1.
	Seq uint64 `cbor:"6,keyasint" json:"seq"`
	// State is the balancer's state in its life cycle.
	State service.State `cbor:"7,keyasint" json:"state"`
	// Revision is the revision of the settings in force at the balancer.
	Revision settings.Revision `cbor:"8,keyasint" json:"revision"`
}

// Validate returns a BadParameter error unless all fields of the record are valid.
func (u Upstream) Validate() error {
	if u.Service == 0 {
		return trace.BadParameter("upstream %s: service id is zero, want 1 to 65535", u.Data)
	}
	if err := service.CheckLabel("service name", string(u.Name)); err != nil {
		return trace.Wrap(err)
	}
	if u.Weight == 0 {
		return trace.BadParameter("upstream %s: weight 0: want 1 to 65535", u.Data)
	}
	if u.Load < LoadLow || u.Load > LoadFull {
		return trace.BadParameter("upstream %s: load level %d is unknown", u.Data, u.Load)
	}
	return checkCommon("upstream", u.Place, u.Data, u.Control, u.Incarnation, u.Seq, u.State)
}

// Validate returns a BadParameter error unless all fields of the record are valid.
func (m Member) Validate() error {
	if err := service.CheckLabel("member name", m.Name); err != nil {
		return trace.Wrap(err)
	}
	return checkCommon("member", m.Place, m.Data, m.Control, m.Incarnation, m.Seq, m.State)
}

func checkCommon(
	kind string,
	place service.Place,
	data, control netip.AddrPort,
	incarnation service.Incarnation,
	seq uint64,
	state service.State,
) error {
	if err := service.CheckLabel("place", string(place)); err != nil {
		return trace.Wrap(err)
	}
	if err := service.CheckAddress("data address", data); err != nil {
		return trace.Wrap(err)
	}
	if err := service.CheckAddress("control address", control); err != nil {
		return trace.Wrap(err)
	}
	if incarnation == 0 || seq == 0 {
		return trace.BadParameter("%s %s: incarnation %d, seq %d: want both to be at least 1", kind, data, incarnation, seq)
	}
	if state < service.Starting || state > service.Gone {
		return trace.BadParameter("%s %s: state %d is unknown", kind, data, state)
	}
	return nil
}
