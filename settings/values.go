package settings

import (
	"encoding/json"
	"net/netip"
	"slices"

	"dandelionhitch.example/service"
)

// Values are the settings that one node sets itself. A nil field is inherited;
// an empty list is a value. Values are immutable once they are in a tree.
type Values struct {
	// ID is the service's number, set at a service only.
	ID *service.ID `json:"id,omitzero"`
	// Addresses are where callers reach the service, set at a service only.
	Addresses []netip.AddrPort `json:"addresses,omitzero"`
	// MaxFlows bounds the open flows of a service at one place.
	MaxFlows *int `json:"max_flows,omitzero"`
	// MaxFlowsPerUpstream bounds the open flows at one upstream.
	MaxFlowsPerUpstream *int `json:"max_flows_per_upstream,omitzero"`
	// Slots is how many requests one upstream runs at once.
	Slots *int `json:"slots,omitzero"`
	// ReservedSlots is how many slots are kept for short requests.
	ReservedSlots *int `json:"reserved_slots,omitzero"`
	// QueueLength is how many requests wait at one upstream.
	QueueLength *int `json:"queue_length,omitzero"`
	// MaxHosts is the most upstreams of the service at one place.
	MaxHosts *int `json:"max_hosts,omitzero"`
	// LongRoutes are path prefixes of requests known to run long.
	LongRoutes []string `json:"long_routes,omitzero"`
	// NonRepeatableRoutes are path prefixes of requests that run at most once.
	NonRepeatableRoutes []string `json:"non_repeatable_routes,omitzero"`
	// RequestTimeout bounds one request when the caller gives no deadline.
	RequestTimeout *Duration `json:"request_timeout,omitzero"`
	// DrainDeadline bounds how long a draining upstream keeps its flows.
	DrainDeadline *Duration `json:"drain_deadline,omitzero"`
}

// IsEmpty reports whether the values set nothing.
func (v Values) IsEmpty() bool {
	return !slices.ContainsFunc(_fields, func(f fieldInfo) bool { return f.isSet(v) })
}

// Equal reports whether both set the same fields to the same values.
func (v Values) Equal(other Values) bool {
	return slices.Equal(v.encode(), other.encode())
}

// Over returns the values of a node whose parent's values are base.
func (v Values) Over(base Values) Values {
	return Values{
		ID:                  firstSet(v.ID, base.ID),
		Addresses:           firstList(v.Addresses, base.Addresses),
		MaxFlows:            firstSet(v.MaxFlows, base.MaxFlows),
		MaxFlowsPerUpstream: firstSet(v.MaxFlowsPerUpstream, base.MaxFlowsPerUpstream),
		Slots:               firstSet(v.Slots, base.Slots),
		ReservedSlots:       firstSet(v.ReservedSlots, base.ReservedSlots),
		QueueLength:         firstSet(v.QueueLength, base.QueueLength),
		MaxHosts:            firstSet(v.MaxHosts, base.MaxHosts),
		LongRoutes:          firstList(v.LongRoutes, base.LongRoutes),
		NonRepeatableRoutes: firstList(v.NonRepeatableRoutes, base.NonRepeatableRoutes),
		RequestTimeout:      firstSet(v.RequestTimeout, base.RequestTimeout),
		DrainDeadline:       firstSet(v.DrainDeadline, base.DrainDeadline),
	}
}

// UnmarshalJSON decodes values. It refuses unknown, repeated and null fields
// with a Findings error that names them all.
func (v *Values) UnmarshalJSON(data []byte) error {
	decoded, findings := decodeValues(Path{}, data)
	if err := findings.Err(); err != nil {
		return err
	}
	*v = decoded
	return nil
}

// encode returns the canonical form of the values.
func (v Values) encode() []byte {
	// Every field is a number, a string or a list of them, which always encode.
	data, _ := json.Marshal(v)
	return data
}

func firstSet[T any](own, inherited *T) *T {
	if own != nil {
		return own
	}
	return inherited
}

func firstList[T any](own, inherited []T) []T {
	if own != nil {
		return own
	}
	return inherited
}
