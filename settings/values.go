package settings

import (
	"encoding/json"
	"net/netip"
	"slices"

	"dandelionhitch.example/service"
)

// Values are the settings that one node sets itself. A nil field is inherited; an
// empty non-nil list is a value of its own. Values must not be modified once they
// are in a tree.
type Values struct {
	// ID is the service's number. Only a service may set it.
	ID *service.ID `json:"id,omitzero"`
	// Addresses are the addresses at which callers reach the service. Only a
	// service may set them.
	Addresses []netip.AddrPort `json:"addresses,omitzero"`
	// MaxFlows is the maximum number of open flows of a service at one place.
	MaxFlows *int `json:"max_flows,omitzero"`
	// MaxFlowsPerUpstream is the maximum number of open flows at one upstream.
	MaxFlowsPerUpstream *int `json:"max_flows_per_upstream,omitzero"`
	// Slots is the number of requests that one upstream runs concurrently.
	Slots *int `json:"slots,omitzero"`
	// ReservedSlots is the number of slots reserved for short requests.
	ReservedSlots *int `json:"reserved_slots,omitzero"`
	// QueueLength is the maximum number of requests queued at one upstream.
	QueueLength *int `json:"queue_length,omitzero"`
	// MaxHosts is the maximum number of upstreams of a service at one place.
	MaxHosts *int `json:"max_hosts,omitzero"`
	// LongRoutes are URL path prefixes of requests that are expected to run long.
	LongRoutes []string `json:"long_routes,omitzero"`
	// NonRepeatableRoutes are URL path prefixes of requests that must run at most
	// once.
	NonRepeatableRoutes []string `json:"non_repeatable_routes,omitzero"`
	// RequestTimeout is the timeout of a request for which the caller gives no
	// deadline.
	RequestTimeout *Duration `json:"request_timeout,omitzero"`
	// DrainDeadline is the maximum time that a draining upstream keeps its flows.
	DrainDeadline *Duration `json:"drain_deadline,omitzero"`
}

// IsEmpty reports whether no field is set.
func (v Values) IsEmpty() bool {
	return !slices.ContainsFunc(_fields, func(f fieldInfo) bool { return f.isSet(v) })
}

// Equal reports whether v and other have the same fields set to the same values.
func (v Values) Equal(other Values) bool {
	return slices.Equal(v.encode(), other.encode())
}

// InheritFrom returns the values with each unset field taken from parent.
func (v Values) InheritFrom(parent Values) Values {
	return Values{
		ID:                  valueOrInherited(v.ID, parent.ID),
		Addresses:           listOrInherited(v.Addresses, parent.Addresses),
		MaxFlows:            valueOrInherited(v.MaxFlows, parent.MaxFlows),
		MaxFlowsPerUpstream: valueOrInherited(v.MaxFlowsPerUpstream, parent.MaxFlowsPerUpstream),
		Slots:               valueOrInherited(v.Slots, parent.Slots),
		ReservedSlots:       valueOrInherited(v.ReservedSlots, parent.ReservedSlots),
		QueueLength:         valueOrInherited(v.QueueLength, parent.QueueLength),
		MaxHosts:            valueOrInherited(v.MaxHosts, parent.MaxHosts),
		LongRoutes:          listOrInherited(v.LongRoutes, parent.LongRoutes),
		NonRepeatableRoutes: listOrInherited(v.NonRepeatableRoutes, parent.NonRepeatableRoutes),
		RequestTimeout:      valueOrInherited(v.RequestTimeout, parent.RequestTimeout),
		DrainDeadline:       valueOrInherited(v.DrainDeadline, parent.DrainDeadline),
	}
}

// UnmarshalJSON decodes values. It returns a FindingsError that names all unknown,
// repeated, null and malformed fields.
func (v *Values) UnmarshalJSON(data []byte) error {
	decoded, findings := decodeValues(Path{}, data)
	if err := findings.Err(); err != nil {
		return err
	}
	*v = decoded
	return nil
}

// encode returns the JSON encoding of the values, which is the same for equal
// values.
func (v Values) encode() []byte {
	// Every field is a number, a string or a list of strings, whose encoding never
	// fails.
	data, _ := json.Marshal(v)
	return data
}

func valueOrInherited[T any](own, inherited *T) *T {
	if own != nil {
		return own
	}
	return inherited
}

func listOrInherited[T any](own, inherited []T) []T {
	if own != nil {
		return own
	}
	return inherited
}
