package settings

import (
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
)

// Defaults of optional settings that no node sets.
const (
	_defaultReservedSlots  = 1
	_defaultRequestTimeout = Duration(30 * time.Second)
	_defaultDrainDeadline  = Duration(8 * time.Hour)
)

// Limits of settings. Route lengths are in octets.
const (
	_maxCount       = 1 << 30
	_maxRoutes      = 64
	_maxRouteLength = 256
	_maxAddresses   = 16
)

// countRange is the valid range of an integer setting; its maximum is _maxCount.
type countRange struct {
	field Field
	value func(Values) *int
	min   int
}

var _countRanges = []countRange{
	{"max_flows", func(v Values) *int { return v.MaxFlows }, 1},
	{"max_flows_per_upstream", func(v Values) *int { return v.MaxFlowsPerUpstream }, 1},
	{"slots", func(v Values) *int { return v.Slots }, 1},
	{"reserved_slots", func(v Values) *int { return v.ReservedSlots }, 0},
	{"queue_length", func(v Values) *int { return v.QueueLength }, 0},
	{"max_hosts", func(v Values) *int { return v.MaxHosts }, 1},
}

// _requiredFields are the settings that every service must set or inherit.
var _requiredFields = []Field{"id", "addresses", "max_flows", "max_flows_per_upstream", "slots", "queue_length", "max_hosts"}

// Check returns all findings about the tree, ordered by path, field and message.
func (t Tree) Check() Findings {
	c := checker{
		tree:      t,
		ids:       make(map[service.ID]Path),
		names:     make(map[service.Name]Path),
		addresses: make(map[netip.AddrPort]Path),
		places:    make(map[service.Place]Path),
	}
	for path, values := range t.All() {
		c.checkNode(path, values)
		if path.IsService() {
			c.checkService(path, t.Resolve(path))
		}
	}
	c.findings.sort()
	return c.findings
}

// checker collects findings. Its maps hold, for each service id, service name, address and
// place, a path at which it is used.
type checker struct {
	tree      Tree
	findings  Findings
	ids       map[service.ID]Path
	names     map[service.Name]Path
	addresses map[netip.AddrPort]Path
	places    map[service.Place]Path
}

// checkNode checks the values that one node sets, even if descendants override
// all of them.
func (c *checker) checkNode(path Path, values Values) {
	for _, count := range _countRanges {
		if n := count.value(values); n != nil && (*n < count.min || *n > _maxCount) {
			c.findings.add(path, count.field, "%d: want %d to %d", *n, count.min, _maxCount)
		}
	}
	if !path.IsService() {
		c.checkNoServiceFields(path, values)
	}
	c.checkAddresses(path, values.Addresses)
	c.checkRoutes(path, "long_routes", values.LongRoutes)
	c.checkRoutes(path, "non_repeatable_routes", values.NonRepeatableRoutes)
	c.checkDuration(path, "request_timeout", values.RequestTimeout)
	c.checkDuration(path, "drain_deadline", values.DrainDeadline)
	if first, used := c.places[path.Place]; path.Place != "" && used && first.Region != path.Region {
		c.findings.add(path, "", "place %s is in region %s already", path.Place, first.Region)
		return
	}
	c.places[path.Place] = path
}

// checkNoServiceFields reports settings that only a service may set.
func (c *checker) checkNoServiceFields(path Path, values Values) {
	if values.ID != nil {
		c.findings.add(path, "id", "can be set at a service only")
	}
	if values.Addresses != nil {
		c.findings.add(path, "addresses", "can be set at a service only")
	}
}

func (c *checker) checkAddresses(path Path, addresses []netip.AddrPort) {
	if addresses != nil && (len(addresses) == 0 || len(addresses) > _maxAddresses) {
		c.findings.add(path, "addresses", "%d addresses: want 1 to %d", len(addresses), _maxAddresses)
	}
	seen := make(map[netip.AddrPort]bool, len(addresses))
	for _, address := range addresses {
		if err := service.CheckAddress("address", address); err != nil {
			c.findings.add(path, "addresses", "%v", trace.UserMessage(err))
		}
		if seen[address] {
			c.findings.add(path, "addresses", "%s is given twice", address)
		}
		seen[address] = true
	}
}

func (c *checker) checkRoutes(path Path, field Field, routes []string) {
	if len(routes) > _maxRoutes {
		c.findings.add(path, field, "%d routes: want up to %d", len(routes), _maxRoutes)
	}
	for _, route := range routes {
		if !strings.HasPrefix(route, "/") || len(route) > _maxRouteLength {
			c.findings.add(path, field, "%q: want a path prefix that begins with '/', up to %d octets", route, _maxRouteLength)
		}
	}
}

func (c *checker) checkDuration(path Path, field Field, d *Duration) {
	if d != nil && *d == 0 {
		c.findings.add(path, field, "want more than zero")
	}
}

// checkService checks the resolved values of one service.
func (c *checker) checkService(path Path, v Values) {
	for _, field := range _requiredFields {
		if f, _ := findField(field); !f.isSet(v) {
			c.findings.add(path, field, "is missing: neither the service nor a node above it sets it")
		}
	}
	if v.Slots != nil && v.ReservedSlots != nil && *v.ReservedSlots >= *v.Slots {
		c.findings.add(path, "reserved_slots", "%d of %d slots: want fewer than slots", *v.ReservedSlots, *v.Slots)
	}
	if v.ID != nil {
		c.checkID(path, *v.ID)
	}
	for _, address := range v.Addresses {
		first, used := c.addresses[address]
		if used && first.Name != path.Name {
			c.findings.add(path, "addresses", "%s is used by %s", address, first)
			continue
		}
		c.addresses[address] = path
	}
}

// checkID reports an id that belongs to another service, and a service that has
// different ids at different places.
func (c *checker) checkID(path Path, id service.ID) {
	if first, used := c.ids[id]; used && first.Name != path.Name {
		c.findings.add(path, "id", "%d is used by %s", id, first)
	} else {
		c.ids[id] = path
	}
	first, used := c.names[path.Name]
	if !used {
		c.names[path.Name] = path
		return
	}
	if known, _ := c.tree.Get(first); known.ID != nil && *known.ID != id {
		c.findings.add(path, "id", "%d: the service has id %d at %s", id, *known.ID, first)
	}
}

// defaultsOf returns the defaults for a node with resolved values v. The default of
// reserved_slots is less than the number of slots.
func defaultsOf(v Values) Values {
	reserved := _defaultReservedSlots
	if v.Slots != nil {
		reserved = min(reserved, *v.Slots-1)
	}
	timeout, drain := _defaultRequestTimeout, _defaultDrainDeadline
	return Values{ReservedSlots: &reserved, RequestTimeout: &timeout, DrainDeadline: &drain}
}
