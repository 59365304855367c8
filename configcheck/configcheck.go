// Package configcheck checks a version of the operator's configuration before it is written to
// the store, and compares it with the version in force.
//
// It works on decoded values. A finding is something that does not work as it is written; a
// change is a difference from the version in force and no fault.
package configcheck

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"dandelionhitch.example/directory"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Invalid means that a route, a service or the whole configuration is ignored.
	Invalid Kind = "invalid"
	// IgnoredValue means that a value does not take effect as it is written.
	IgnoredValue Kind = "ignored_value"
	// NeverMatches means that no flow takes a route.
	NeverMatches Kind = "never_matches"
	// Contradiction means that two limits contradict each other.
	Contradiction Kind = "contradiction"
	// UnusedService means that no valid route leads to a service.
	UnusedService Kind = "unused_service"
	// NotHigher means that the version would not come into force.
	NotHigher Kind = "version_not_higher"
)

// Finding is one result of the check.
type Finding struct {
	// Place names the part of the configuration, such as `route 2 "checkout"`. Indexes begin
	// at 0.
	Place string `json:"place"`
	Kind  Kind   `json:"kind"`
	Text  string `json:"text"`
}

// Places of findings and changes that concern the whole configuration or its limits.
const (
	PlaceConfiguration = "configuration"
	PlaceLimits        = "limits"
)

// _maxPriority is the least important priority that reports of capacity and metrics tell from
// others.
const _maxPriority = 7

// checker collects the findings about one configuration.
type checker struct {
	config    directory.Configuration
	roundTrip time.Duration
	findings  []Finding
}

// Check returns the findings about a configuration. roundTrip is the time of a round trip
// between callers and upstreams, which no target latency can be below.
func Check(c directory.Configuration, roundTrip time.Duration) []Finding {
	check := checker{config: c, roundTrip: roundTrip}
	check.addAll(PlaceLimits, c.Warnings)
	first := make(map[netip.AddrPort]int)
	for i, route := range c.Routes {
		check.checkRoute(i, route, first)
	}
	check.checkServices(first)
	return check.findings
}

func (c *checker) add(place string, kind Kind, format string, args ...any) {
	c.findings = append(c.findings, NewFinding(place, kind, fmt.Sprintf(format, args...)))
}

// NewFinding returns a finding whose text is on one line: package trace separates the messages
// of wrapped errors by line breaks.
func NewFinding(place string, kind Kind, text string) Finding {
	return Finding{Place: place, Kind: kind, Text: strings.ReplaceAll(text, "\n\t", ": ")}
}

// addAll adds the values that do not take effect as they are written.
func (c *checker) addAll(place string, warnings []error) {
	for _, warning := range warnings {
		c.add(place, IgnoredValue, "%v", warning)
	}
}

func routePlace(index int, r directory.WrittenRoute) string {
	return fmt.Sprintf("route %d %q", index, r.Name)
}

func servicePlace(index int, s directory.WrittenService) string {
	return fmt.Sprintf("service %d %q", index, s.Name)
}

// checkRoute checks one route. first has the index of the first valid route for each address.
func (c *checker) checkRoute(index int, r directory.WrittenRoute, first map[netip.AddrPort]int) {
	place := routePlace(index, r)
	if r.Err != nil {
		c.add(place, Invalid, "%v", r.Err)
		return
	}
	address := r.Route.Address
	if earlier, duplicate := first[address]; duplicate {
		c.add(place, NeverMatches, "%s has the address %s, which counts for the first route only", routePlace(earlier, c.config.Routes[earlier]), address)
	} else {
		first[address] = index
	}
	if ip := address.Addr(); address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		c.add(place, NeverMatches, "callers cannot open a flow to %s", address)
	}
	c.addAll(place, r.Warnings)
	c.checkLimits(place, r.Route)
	if len(r.Split) > 0 && totalWeight(r.Split) == 0 {
		c.add(place, Contradiction, "the weights of the split are all zero, so all flows go to the service %q", r.Service)
	}
}

// totalWeight returns the sum of weights, limited to the range of the type.
func totalWeight(shares []directory.Share) uint64 {
	var total uint64
	for _, s := range shares {
		total += min(s.Weight, directory.MaxWeight)
	}
	return total
}

// checkLimits checks the limits of a route against each other. A limit of zero is not set.
func (c *checker) checkLimits(place string, r directory.Route) {
	if r.TargetLatency > 0 && r.Timeout > 0 && r.Timeout < r.TargetLatency {
		c.add(place, Contradiction, "timeoutMs is %v, below targetLatencyMs of %v", r.Timeout, r.TargetLatency)
	}
	if r.TargetLatency > 0 && r.TargetLatency < c.roundTrip {
		c.add(place, Contradiction, "targetLatencyMs is %v, below the round trip of %v", r.TargetLatency, c.roundTrip)
	}
	if idle := c.config.IdleTimeout; idle > 0 && idle < r.Timeout {
		c.add(place, Contradiction, "timeoutMs is %v, above idleTimeoutMs of %v, so that a flow may end while its caller waits", r.Timeout, idle)
	}
	if r.Priority < 0 || r.Priority > _maxPriority {
		c.add(place, Contradiction, "priority is %d; reports of capacity and metrics tell 0 to %d apart", r.Priority, _maxPriority)
	}
}

// checkServices checks the services. inForce has the indexes of the routes that take effect.
func (c *checker) checkServices(inForce map[netip.AddrPort]int) {
	used := make(map[string]bool)
	for _, index := range inForce {
		// A share with a weight of zero also counts: operators shift flows by weights.
		route := c.config.Routes[index]
		for _, share := range slices.Concat(route.Split, route.Route.Shares) {
			used[share.Service] = true
		}
	}
	last := make(map[string]int)
	for i, s := range c.config.Services {
		if s.Err == nil {
			last[s.Name] = i
		}
	}
	for i, s := range c.config.Services {
		place := servicePlace(i, s)
		if s.Err != nil {
			c.add(place, Invalid, "%v", s.Err)
			continue
		}
		c.addAll(place, s.Warnings)
		if last[s.Name] != i {
			c.add(place, Invalid, "service %d has the same name, and the last one counts", last[s.Name])
		} else if !used[s.Name] {
			c.add(place, UnusedService, "no valid route leads to it")
		}
	}
}
