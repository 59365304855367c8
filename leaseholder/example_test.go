package leaseholder_test

import (
	"fmt"
	"net/netip"
	"time"

	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/settings"
)

// An agent calls TryAdmit before it accepts a flow. Without a share, TryAdmit
// refuses every flow.
func Example() {
	store := &memoryStore{}
	path := settings.Path{Region: "akl", Place: "akl-a", Name: "orders"}
	run := limit.Run{Address: netip.MustParseAddrPort("127.0.0.1:443"), Incarnation: 1, Nonce: 7}
	policy := func() settings.Service {
		return settings.Service{Limits: settings.Limits{Flows: 100, FlowsPerUpstream: 50, MaxHosts: 2}}
	}
	pace := limit.DefaultPace()
	pace.JoinSpread = time.Hour
	holder, err := leaseholder.New(store, path, run, policy, leaseholder.WithPace(pace))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer holder.Close()
	if err := holder.TryAdmit(); err != nil {
		fmt.Println(err)
	} else {
		defer holder.Release()
	}
	// Output: flow refused: no_share
}
