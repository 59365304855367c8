package roster_test

import (
	"fmt"
	"net/netip"
	"time"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// A suspected upstream is not eligible for new flows until it refutes the suspicion. A
// verdict ends one incarnation permanently.
func Example() {
	addr := netip.MustParseAddrPort("10.0.0.7:4000")
	u := roster.Upstream{
		Service: 1, Name: "orders", Place: "akl-a", Data: addr, Control: addr,
		Incarnation: 100, Seq: 1, State: service.Serving, Weight: 1, Load: roster.LoadLow,
	}
	other := u
	other.Data = netip.MustParseAddrPort("10.0.0.8:4000")
	key := roster.UpstreamKey(addr)
	now := time.Minute

	r := roster.New()
	r.Announce(now, u)
	r.Announce(now, other)
	show := func(what string) {
		status, _ := r.Status(key)
		fmt.Printf("%s: %d eligible, suspect %t, %v\n", what, len(r.View(now).Services[1]), status.Suspect, status.State)
	}
	show("announced")
	r.Suspect(now, key)
	show("suspected")
	u.Seq = 2
	r.Announce(now, u)
	show("refuted")
	r.ConfirmGone(now, key, u.Incarnation)
	show("gone")
	u.Seq = 3
	r.Announce(now, u)
	show("too late")
	u.Incarnation = 101
	r.Announce(now, u)
	show("restarted")
	// Output:
	// announced: 2 eligible, suspect false, serving
	// suspected: 1 eligible, suspect true, serving
	// refuted: 2 eligible, suspect false, serving
	// gone: 1 eligible, suspect false, gone
	// too late: 1 eligible, suspect false, gone
	// restarted: 2 eligible, suspect false, serving
}
