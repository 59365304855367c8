package directory_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
)

var _address = netip.MustParseAddrPort("198.18.0.1:443")

func key(caller int) flow.Key {
	return flow.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), 40001),
		Address: _address,
	}
}

func ExampleTable_Service() {
	table := directory.New(7, 15*time.Second, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
	})
	service, ok := table.Service(key(1))
	fmt.Println(service, ok, table.Allows(_address, "photos"))
	// Output: orders true false
}

// TestRouteSplitsFlowsByWeight checks that the flows of a route are divided by the weights
// of its services, that the same flow always gets the same service, and that a second
// route for the address is ignored.
func TestRouteSplitsFlowsByWeight(t *testing.T) {
	table := directory.New(1, 0, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}},
		{Address: _address, Shares: []directory.Share{{Service: "ignored", Weight: 1}}},
	})
	counts := map[string]int{}
	for i := range 10_000 {
		service, ok := table.Service(key(i))
		assert.Assert(t, ok)
		again, _ := table.Service(key(i))
		assert.Equal(t, service, again)
		counts[service]++
	}
	assert.Equal(t, counts["ignored"], 0)
	assert.Assert(t, counts["new"] > 800 && counts["new"] < 1200, "%v", counts)
	assert.Assert(t, table.Allows(_address, "new") && table.Allows(_address, "old"))
}

func TestUnknownAddress(t *testing.T) {
	var empty directory.Table
	_, ok := empty.Service(key(1))
	assert.Assert(t, !ok)
	_, ok = empty.Route(_address)
	assert.Assert(t, !ok)
}
