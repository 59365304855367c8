package configcheck

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"dandelionhitch.example/directory"
)

// Action is what a change does.
type Action string

// Actions of changes.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is a difference of a configuration from the one in force.
type Change struct {
	Action Action `json:"action"`
	// Place names the route with its address, the service, or the limits. The index is the one
	// in the new configuration, or, of what is removed, the one in force.
	Place string `json:"place"`
	// Fields are the fields that differ, sorted by name. They are empty unless Action is
	// Changed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the change of one field. From and To are JSON, and empty if the field is
// missing.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// CheckVersion returns a finding if next would not replace the configuration in force.
func CheckVersion(inForce, next directory.Configuration) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	text := fmt.Sprintf("version is %d, not above %d in force, so processes ignore it", next.Version, inForce.Version)
	return []Finding{NewFinding(PlaceConfiguration, NotHigher, text)}
}

// Compare returns how next differs from the configuration in force. Routes are compared by
// address and services by name, among those that take effect.
func Compare(inForce, next directory.Configuration) []Change {
	var changes []Change
	if inForce.IdleTimeout != next.IdleTimeout {
		changes = append(changes, Change{Action: Changed, Place: PlaceLimits, Fields: []FieldChange{
			{Field: "idleTimeoutMs", From: fmt.Sprint(inForce.IdleTimeout.Milliseconds()), To: fmt.Sprint(next.IdleTimeout.Milliseconds())},
		}})
	}
	changes = append(changes, compareItems(routesInForce(inForce), routesInForce(next), netip.AddrPort.Compare)...)
	return append(changes, compareItems(servicesInForce(inForce), servicesInForce(next), strings.Compare)...)
}

// item is a route or a service that takes effect.
type item struct {
	place  string
	fields map[string]string
}

// routesInForce returns the routes that take effect, by address.
func routesInForce(c directory.Configuration) map[netip.AddrPort]item {
	items := make(map[netip.AddrPort]item)
	for i, r := range c.Routes {
		if _, duplicate := items[r.Route.Address]; r.Err == nil && !duplicate {
			items[r.Route.Address] = item{place: fmt.Sprintf("%s at %s", routePlace(i, r), r.Route.Address), fields: r.Fields}
		}
	}
	return items
}

// servicesInForce returns the services that take effect, by name.
func servicesInForce(c directory.Configuration) map[string]item {
	items := make(map[string]item)
	for i, s := range c.Services {
		if s.Err == nil {
			items[s.Name] = item{place: servicePlace(i, s), fields: s.Fields}
		}
	}
	return items
}

// compareItems returns the differences in the order of the keys.
func compareItems[K comparable](inForce, next map[K]item, order func(a, b K) int) []Change {
	keys := maps.Clone(inForce)
	maps.Copy(keys, next)
	var changes []Change
	for _, key := range slices.SortedFunc(maps.Keys(keys), order) {
		from, was := inForce[key]
		to, is := next[key]
		switch fields := compareFields(from.fields, to.fields); {
		case !was:
			changes = append(changes, Change{Action: Added, Place: to.place})
		case !is:
			changes = append(changes, Change{Action: Removed, Place: from.place})
		case len(fields) > 0:
			changes = append(changes, Change{Action: Changed, Place: to.place, Fields: fields})
		}
	}
	return changes
}

func compareFields(from, to map[string]string) []FieldChange {
	names := make(map[string]string)
	maps.Copy(names, from)
	maps.Copy(names, to)
	var changes []FieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if from[name] != to[name] {
			changes = append(changes, FieldChange{Field: name, From: from[name], To: to[name]})
		}
	}
	return changes
}
