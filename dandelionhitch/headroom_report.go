package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/headroom"
	"dandelionhitch.example/relay"
)

// _headroomPath is where relays serve their headroom.Report, on the metrics address.
const _headroomPath = "/headroom"

// headroomHandler returns a handler that answers with what a relay knows of the upstreams,
// as a headroom.Report in JSON.
func headroomHandler(known func() ([]relay.KnownUpstream, directory.Table)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(newHeadroomReport(known()))
	}
}

func newHeadroomReport(upstreams []relay.KnownUpstream, table directory.Table) headroom.Report {
	r := headroom.Report{Version: table.Version(), Services: routedServices(table), Upstreams: []headroom.Upstream{}}
	for _, u := range upstreams {
		r.Upstreams = append(r.Upstreams, headroom.Upstream{
			Sidecar: u.Sidecar, Service: u.Service, Zone: u.Zone, State: u.State.String(), Eligible: u.Eligible,
			Busy: u.Busy, Late: u.Late, Slots: u.Slots, RunTimeMs: float64(u.RunTime) / float64(time.Millisecond),
			NoRoomFrom: int(u.NoRoomFrom), NoRoomAgeMs: u.NoRoomAge.Milliseconds(), SlowdownPercent: int(u.Slowdown), AgeMs: u.LoadAge.Milliseconds(),
		})
	}
	return r
}

// routedServices returns the services that routes lead to, with the priorities of these
// routes.
func routedServices(table directory.Table) []headroom.Service {
	priorities := make(map[string][]int)
	for _, route := range table.Routes() {
		for _, share := range route.Shares {
			priorities[share.Service] = append(priorities[share.Service], route.Priority)
		}
	}
	services := make([]headroom.Service, 0, len(priorities))
	for _, name := range slices.Sorted(slices.Values(table.ServiceNames())) {
		slices.Sort(priorities[name])
		services = append(services, headroom.Service{Name: name, Priorities: slices.Compact(priorities[name])})
	}
	return services
}
