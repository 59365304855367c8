// Package service defines the basic types of dandelionhitch: services, the places where
// they run, and the incarnations and states of the processes that serve them.
//
// The types are validated when they are decoded, so that values received over the network
// or read from a file need no further checks.
package service

import (
	"encoding/json"
	"net/netip"
	"regexp"

	"github.com/gravitational/trace"
)

// _labelPattern matches valid names of services, places, regions and members: RFC 1123
// labels in lower case, 1 to 63 octets.
var _labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name is the name of a service, such as "orders".
type Name string

// ID is the number of a service. It must not be reused for another service, because it is
// part of connection IDs. Zero is not a valid ID.
type ID uint16

// Place is an availability zone, such as "oslo-a".
type Place string

// Region is a set of places that are near each other, such as "oslo".
type Region string

// Incarnation numbers the runs of a process at one address in ascending order. It is the
// start time of the run in tenths of a second since IncarnationEpoch, or a higher number if
// an earlier run is known to have used one that is not lower.
type Incarnation uint32

// CheckLabel returns a BadParameter error unless s is a valid label. The error names the
// kind of the label, such as "service name".
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

// CheckAddress returns a BadParameter error unless addr is an IPv4 address with a port:
// wrapped packets and connection IDs have no room for other addresses. The error names the
// kind of the address, such as "control address".
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
