// Package headroom calculates how much capacity the upstreams of each service have left, by
// zone and priority, and what would be refused if some of the upstreams were lost.
//
// The input is what relays know from the reports of sidecars. Reports state the load of an
// upstream as one number and don't divide it by priority, so what would be refused of a
// priority is an upper bound.
package headroom

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

// _noRoomMaxAgeMs is the age up to which a report is used to tell which priorities an upstream
// has capacity for. Relays place new flows by the same limit.
const _noRoomMaxAgeMs = 1000

// Report is what one relay, or several after Merge, know of the upstreams.
type Report struct {
	// Version is the version of the configuration in force at the relay.
	Version uint64 `json:"settings_version"`
	// Services are the services that routes lead to, sorted by name.
	Services  []Service  `json:"services"`
	Upstreams []Upstream `json:"upstreams"`
}

// Service is a service with the priorities of its routes, in ascending order.
type Service struct {
	Name       string `json:"service"`
	Priorities []int  `json:"priorities"`
}

// Upstream is one upstream, as known to a relay.
type Upstream struct {
	Sidecar netip.Addr `json:"sidecar"`
	Service string     `json:"service"`
	Zone    string     `json:"zone"`
	State   string     `json:"state"`
	// Eligible is set if the relay offers new flows to the upstream.
	Eligible bool `json:"eligible"`
	// Busy is the number of requests in progress and of waiting flows that are not late. Late
	// is the number of late waiting flows.
	Busy  int `json:"busy"`
	Late  int `json:"late"`
	Slots int `json:"slots"`
	// RunTimeMs is the mean duration of a request, or zero if it is not known.
	RunTimeMs float64 `json:"run_time_ms"`
	// NoRoomFrom is one more than the smallest priority number without capacity, or zero if
	// there is capacity for all priorities or this is not known.
	NoRoomFrom int `json:"no_room_from"`
	// NoRoomAgeMs is the age of NoRoomFrom.
	NoRoomAgeMs int64 `json:"no_room_age_ms"`
	// SlowdownPercent is the run time in percent of the median of the peers, or zero if it is
	// not known.
	SlowdownPercent int `json:"slowdown_percent"`
	// AgeMs is the age of the load.
	AgeMs int64 `json:"age_ms"`
}

// load returns the number of requests and flows that the upstream has.
func (u Upstream) load() int { return max(u.Busy, 0) + max(u.Late, 0) }

// room returns the number of free slots for new flows of a priority. It is zero if the
// upstream reports that it has no capacity for the priority.
func (u Upstream) room(priority int) int {
	if !u.hasRoom(priority) {
		return 0
	}
	return u.free()
}

func (u Upstream) free() int { return max(u.Slots-u.load(), 0) }

// hasRoom reports whether the upstream has capacity for new flows of a priority, as far as
// its report tells.
func (u Upstream) hasRoom(priority int) bool {
	return u.NoRoomFrom == 0 || u.NoRoomAgeMs > _noRoomMaxAgeMs || priority+1 < u.NoRoomFrom
}

// Merge returns the union of reports of several relays. For each sidecar, the entry with the
// lowest age counts, and the NoRoomFrom with the lowest age; for the services, the report with
// the highest version.
func Merge(reports ...Report) Report {
	var merged Report
	freshest := make(map[netip.Addr]Upstream)
	for _, r := range reports {
		if r.Version >= merged.Version {
			merged.Version, merged.Services = r.Version, r.Services
		}
		for _, u := range r.Upstreams {
			known, ok := freshest[u.Sidecar]
			if !ok {
				freshest[u.Sidecar] = u
				continue
			}
			noRoom := known
			if u.NoRoomAgeMs < known.NoRoomAgeMs {
				noRoom = u
			}
			if u.AgeMs < known.AgeMs {
				known = u
			}
			known.NoRoomFrom, known.NoRoomAgeMs = noRoom.NoRoomFrom, noRoom.NoRoomAgeMs
			freshest[u.Sidecar] = known
		}
	}
	merged.Upstreams = slices.SortedFunc(maps.Values(freshest), func(a, b Upstream) int { return a.Sidecar.Compare(b.Sidecar) })
	return merged
}

// Loss describes upstreams whose loss is assumed.
type Loss struct {
	// Zone is the zone that is lost; empty if none is.
	Zone string `json:"zone,omitempty"`
	// Upstreams is the number of upstreams of each service that are lost in addition. They are
	// those whose loss leaves the least free slots.
	Upstreams int `json:"upstreams,omitempty"`
}

// Table is the result of the calculation.
type Table struct {
	Rows []Row `json:"rows"`
	// Without holds the effect of the loss on each service; empty if no loss is assumed.
	Without []Effect `json:"without,omitempty"`
}

// Row is the capacity of a service in one zone for one priority.
type Row struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Priority is nil if no route leads to the service.
	Priority *int `json:"priority"`
	// Known is the number of known upstreams, Upstreams the number of those that get new flows,
	// and WithRoom the number of the latter that report capacity for the priority.
	Known     int `json:"known"`
	Upstreams int `json:"upstreams"`
	WithRoom  int `json:"with_room"`
	// Slots and Load are the sums over Upstreams, and Room is the number of free slots for the
	// priority.
	Slots int `json:"slots"`
	Load  int `json:"load"`
	Room  int `json:"room"`
}

// Effect is the effect of a loss on one service.
type Effect struct {
	Service string `json:"service"`
	// Lost and Upstreams are the numbers of upstreams that get new flows now and are lost or
	// remain. Slots is the sum over those that remain.
	Lost      int `json:"lost"`
	Upstreams int `json:"upstreams"`
	Slots     int `json:"slots"`
	// Moved is the load of the lost upstreams. WithoutSlot is how much of it finds no free slot
	// at those that remain, so that work of some priority waits or is refused.
	Moved       int              `json:"moved"`
	WithoutSlot int              `json:"without_slot"`
	Priorities  []PriorityEffect `json:"priorities"`
}

// PriorityEffect is the effect of a loss on the requests of one priority.
type PriorityEffect struct {
	// Priority is nil if no route leads to the service.
	Priority *int `json:"priority"`
	// Room is the number of free slots for the priority at the upstreams that remain.
	Room int `json:"room"`
	// RefusedAtMost is the number of requests at a time that are refused if all load that moves
	// is of this or a higher priority. RefusedPerSecond is the same as a rate, or zero if the
	// run time is not known.
	RefusedAtMost    int     `json:"refused_at_most"`
	RefusedPerSecond float64 `json:"refused_per_second_at_most"`
}

// HasZone reports whether any upstream is in the zone.
func (r Report) HasZone(zone string) bool { return slices.Contains(r.Zones(), zone) }

// Zones returns the zones of the upstreams, sorted.
func (r Report) Zones() []string {
	zones := make(map[string]bool)
	for _, u := range r.Upstreams {
		zones[u.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// NewTable calculates the capacity of each service by zone and priority, and the effect of
// the loss.
func NewTable(r Report, loss Loss) Table {
	var t Table
	for _, service := range r.allServices() {
		upstreams := r.upstreamsOf(service.Name)
		priorities := service.priorityPointers()
		t.Rows = append(t.Rows, newRows(service.Name, priorities, upstreams)...)
		if loss != (Loss{}) {
			t.Without = append(t.Without, newEffect(service.Name, priorities, upstreams, loss))
		}
	}
	return t
}

// allServices returns the services of routes and those of upstreams, sorted by name.
func (r Report) allServices() []Service {
	byName := make(map[string]Service)
	for _, u := range r.Upstreams {
		byName[u.Service] = Service{Name: u.Service}
	}
	for _, s := range r.Services {
		byName[s.Name] = s
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

func (r Report) upstreamsOf(service string) []Upstream {
	return slices.DeleteFunc(slices.Clone(r.Upstreams), func(u Upstream) bool { return u.Service != service })
}

// priorityPointers returns pointers to the priorities, or one nil pointer if there are none.
func (s Service) priorityPointers() []*int {
	if len(s.Priorities) == 0 {
		return []*int{nil}
	}
	pointers := make([]*int, 0, len(s.Priorities))
	for _, p := range s.Priorities {
		pointers = append(pointers, &p)
	}
	return pointers
}

func newRows(service string, priorities []*int, upstreams []Upstream) []Row {
	var rows []Row
	for _, zone := range (Report{Upstreams: upstreams}).Zones() {
		for _, priority := range priorities {
			rows = append(rows, newRow(service, zone, priority, upstreams))
		}
	}
	if len(rows) == 0 {
		for _, priority := range priorities {
			rows = append(rows, Row{Service: service, Priority: priority})
		}
	}
	return rows
}

func newRow(service, zone string, priority *int, upstreams []Upstream) Row {
	row := Row{Service: service, Zone: zone, Priority: priority}
	for _, u := range upstreams {
		if u.Zone != zone {
			continue
		}
		row.Known++
		if !u.Eligible {
			continue
		}
		row.Upstreams++
		row.Slots += u.Slots
		row.Load += u.load()
		row.Room += u.room(orHighest(priority))
		if u.hasRoom(orHighest(priority)) {
			row.WithRoom++
		}
	}
	return row
}

// orHighest returns the priority, or the highest one if it is nil: without a route, nothing
// is known about the priorities of the load.
func orHighest(priority *int) int {
	if priority == nil {
		return 0
	}
	return *priority
}

func newEffect(service string, priorities []*int, upstreams []Upstream, loss Loss) Effect {
	lost, remaining := divide(upstreams, loss)
	e := Effect{Service: service, Lost: len(lost), Upstreams: len(remaining)}
	for _, u := range lost {
		e.Moved += u.load()
	}
	free, runTimes, runTimeSum := 0, 0, 0.0
	for _, u := range remaining {
		e.Slots += u.Slots
		free += u.free()
	}
	// The run time of the work is that of all its present upstreams. Those that remain may be
	// none.
	for _, u := range slices.Concat(lost, remaining) {
		if u.RunTimeMs > 0 {
			runTimes++
			runTimeSum += u.RunTimeMs
		}
	}
	e.WithoutSlot = max(e.Moved-free, 0)
	for _, priority := range priorities {
		p := PriorityEffect{Priority: priority}
		for _, u := range remaining {
			p.Room += u.room(orHighest(priority))
		}
		p.RefusedAtMost = max(e.Moved-p.Room, 0)
		if runTimes > 0 {
			p.RefusedPerSecond = float64(p.RefusedAtMost) / (runTimeSum / float64(runTimes)) * 1000
		}
		e.Priorities = append(e.Priorities, p)
	}
	return e
}

// divide divides the eligible upstreams of a service into those that are lost and those that
// remain.
func divide(upstreams []Upstream, loss Loss) (lost, remaining []Upstream) {
	for _, u := range upstreams {
		switch {
		case !u.Eligible:
		case loss.Zone != "" && u.Zone == loss.Zone:
			lost = append(lost, u)
		default:
			remaining = append(remaining, u)
		}
	}
	// The loss of an upstream costs its free slots and moves its load to the others.
	slices.SortStableFunc(remaining, func(a, b Upstream) int {
		return cmp.Compare(b.load()+b.free(), a.load()+a.free())
	})
	count := min(max(loss.Upstreams, 0), len(remaining))
	return append(lost, remaining[:count]...), remaining[count:]
}
