// Package service names the things that dandelionhitch balances: services,
// the places where they run, and the upstreams that serve them.
//
// Every other module speaks in these types. They check themselves when they
// are decoded, so a value that came over a wire or out of a file is valid once
// it exists; code further in never checks it again.
package service

import (
	"encoding/json"
	"net/netip"
	"regexp"

	"github.com/gravitational/trace"
)

// _labelPattern is the form shared by names of services, places, regions and
// members: an RFC 1123 label in lower case, 1 to 63 octets.
var _labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name is the name of a service, such as "orders".
type Name string

// ID is the number of a service. It is part of every connection ID, so it is
// never reused for another service. Zero is not a service.
type ID uint16

// Place is an availability zone, such as "oslo-a".
type Place string

// Region is a set of places that are near each other, such as "oslo".
type Region string

// Incarnation numbers the runs of one process at one address. A later run has
// a higher number. It is the start time in tenths of a second since
// IncarnationEpoch, raised where an earlier run is known to have used a higher one.
type Incarnation uint32

// CheckLabel returns a BadParameter error unless s is a valid label.
// The kind ("service name") is used in the error.
func CheckLabel(kind, s string) error {
	if !_labelPattern.MatchString(s) {
		return trace.BadParameter("%s %q: want 1 to 63 of a-z, 0-9 and '-', not beginning or ending in '-'", kind, s)
	}
	return nil
}

// UnmarshalText decodes and checks a service name.
func (n *Name) UnmarshalText(text []byte) error {
	return unmarshalLabel("service name", text, n)
}

// UnmarshalText decodes and checks a place.
func (p *Place) UnmarshalText(text []byte) error {
	return unmarshalLabel("place", text, p)
}

// UnmarshalText decodes and checks a region.
func (r *Region) UnmarshalText(text []byte) error {
	return unmarshalLabel("region", text, r)
}

// UnmarshalJSON decodes and checks a service number.
func (id *ID) UnmarshalJSON(data []byte) error {
	var n uint16
	if err := json.Unmarshal(data, &n); err != nil {
		return trace.BadParameter("service id %s: want a number from 1 to 65535", data)
	}
	if n == 0 {
		return trace.BadParameter("service id 0: want a number from 1 to 65535")
	}
	*id = ID(n)
	return nil
}

// CheckAddress returns a BadParameter error unless addr is an IPv4 address
// with a port, which is what wrapped packets and connection IDs can carry.
func CheckAddress(kind string, addr netip.AddrPort) error {
	if !addr.IsValid() || !addr.Addr().Unmap().Is4() || addr.Port() == 0 {
		return trace.BadParameter("%s %q: want an IPv4 address and a port", kind, addr)
	}
	return nil
}

func unmarshalLabel[T ~string](kind string, text []byte, out *T) error {
	if err := CheckLabel(kind, string(text)); err != nil {
		return err
	}
	*out = T(text)
	return nil
}
