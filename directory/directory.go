// Package directory maps service addresses to services, according to one version of the
// operator's configuration.
//
// A Table is immutable. A process replaces its table when it accepts a higher version, and
// never returns to a lower one. A route may split its flows between services; the choice
// depends only on the flow's key, so that every process with the same version makes the
// same choice for all copies of an opening packet.
package directory

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/flow"
)

// MaxWeight is the maximum weight of a share. It ensures that sums of weights do not
// overflow.
const MaxWeight = 1 << 32

// Share is one service of a route and its weight among the route's services.
type Share struct {
	Service string
	Weight  uint64
}

// Route assigns the flows of one address to services.
type Route struct {
	Address netip.AddrPort
	// Shares are in the operator's order; their weights are above zero.
	Shares []Share
	// TargetLatency is the target latency of responses to callers; zero if it is not set.
	TargetLatency time.Duration
	// Timeout is how long callers wait for a response; zero if it is not set.
	Timeout time.Duration
	// Priority orders the flows that wait for the same upstream; priority 0 is served first.
	Priority int
}

// Cold tells how a service's upstreams behave after a start.
type Cold struct {
	// For is how long an upstream is cold after its start.
	For time.Duration
	// PerSecond is how many requests a cold upstream bears in a second, above zero.
	PerSecond float64
}

// Table holds the routes of one version of the configuration. The zero Table has no
// routes.
type Table struct {
	version     uint64
	idleTimeout time.Duration
	routes      map[netip.AddrPort]Route
	services    []string
	cold        map[string]Cold
	// prioritized holds the services whose routes differ in priority.
	prioritized map[string]bool
	// highestPriority is the smallest priority number of the routes.
	highestPriority int
}

// New returns the table of a version. Routes without shares are ignored, and so are all
// but the first of several routes for one address.
func New(version uint64, idleTimeout time.Duration, routes []Route) Table {
	t := Table{version: version, idleTimeout: idleTimeout, routes: make(map[netip.AddrPort]Route, len(routes))}
	for _, r := range routes {
		if _, duplicate := t.routes[r.Address]; !duplicate && len(r.Shares) > 0 {
			if len(t.routes) == 0 || r.Priority < t.highestPriority {
				t.highestPriority = r.Priority
			}
			t.routes[r.Address] = r
			t.addServices(r)
		}
	}
	t.prioritized = prioritizedServices(t.routes)
	return t
}

// prioritizedServices returns the services whose routes differ in priority.
func prioritizedServices(routes map[netip.AddrPort]Route) map[string]bool {
	first, differ := make(map[string]int), make(map[string]bool)
	for _, r := range routes {
		for _, s := range r.Shares {
			if priority, known := first[s.Service]; !known {
				first[s.Service] = r.Priority
			} else if priority != r.Priority {
				differ[s.Service] = true
			}
		}
	}
	return differ
}

func (t *Table) addServices(r Route) {
	for _, s := range r.Shares {
		if !slices.Contains(t.services, s.Service) {
			t.services = append(t.services, s.Service)
		}
	}
}

// WithCold returns the table with the behaviour of cold upstreams by service. Services
// whose rate is not above zero are left out: no rate is stated for them.
func (t Table) WithCold(cold map[string]Cold) Table {
	t.cold = maps.Clone(cold)
	maps.DeleteFunc(t.cold, func(_ string, c Cold) bool { return !(c.PerSecond > 0) || c.For < 0 })
	return t
}

// Cold returns how the cold upstreams of a service behave, and whether that is stated.
func (t Table) Cold(service string) (Cold, bool) {
	c, ok := t.cold[service]
	return c, ok
}

// ColdServices returns the services with a stated rate for cold upstreams, sorted by name.
func (t Table) ColdServices() []string { return slices.Sorted(maps.Keys(t.cold)) }

// Prioritized reports whether the routes of a service differ in priority.
func (t Table) Prioritized(service string) bool { return t.prioritized[service] }

// HighestPriority returns the smallest priority number of the routes, which stands for the
// highest priority, or zero if there are no routes.
func (t Table) HighestPriority() int { return t.highestPriority }

// ServiceNames returns the names of all services in the routes. The caller must not modify
// the slice.
func (t Table) ServiceNames() []string { return t.services }

// Version returns the version of the operator's configuration. Zero means that the process
// has no configuration yet.
func (t Table) Version() uint64 { return t.version }

// IdleTimeout returns how long a flow may be idle before it ends. Zero means that the
// timeout is not set.
func (t Table) IdleTimeout() time.Duration { return t.idleTimeout }

// Routes returns the routes, sorted by address.
func (t Table) Routes() []Route {
	routes := make([]Route, 0, len(t.routes))
	for _, r := range t.routes {
		routes = append(routes, r)
	}
	slices.SortFunc(routes, func(a, b Route) int { return a.Address.Compare(b.Address) })
	return routes
}

// Len returns the number of addresses.
func (t Table) Len() int { return len(t.routes) }

// Service returns the service for a new flow, and whether its address has a route.
func (t Table) Service(key flow.Key) (string, bool) {
	shares := t.routes[key.Address].Shares
	switch len(shares) {
	case 0:
		return "", false
	case 1:
		return shares[0].Service, true
	}
	var total uint64
	for _, s := range shares {
		total += s.Weight
	}
	point := key.Hash() % total
	for _, s := range shares {
		if point < s.Weight {
			return s.Service, true
		}
		point -= s.Weight
	}
	return "", false
}

// Allows reports whether a new flow to the address may go to the service.
func (t Table) Allows(address netip.AddrPort, service string) bool {
	for _, s := range t.routes[address].Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

// Shares returns the services of an address and their weights.
func (t Table) Shares(address netip.AddrPort) []Share { return t.routes[address].Shares }

// Route returns the route of an address, and whether there is one.
func (t Table) Route(address netip.AddrPort) (Route, bool) {
	r, ok := t.routes[address]
	return r, ok
}
