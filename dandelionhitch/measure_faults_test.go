package main

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/follower"
	"dandelionhitch.example/settings"
)

// TestFollowerWithoutSettingsRepeatsRequest starts a follower whose only peer has no
// settings yet, as happens when a whole fleet starts at once. The follower must repeat
// its request within _inForceTimeout.
func TestFollowerWithoutSettingsRepeatsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int64
		f := follower.New(
			follower.WithService(settings.Path{Region: "oslo", Place: "oslo-a", Name: "rutetjeneste"}),
			follower.WithPeers(func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7001")} }),
			follower.WithFetch(func(context.Context, netip.AddrPort, follower.FetchRequest) (follower.FetchReply, error) {
				requests.Add(1)
				return follower.FetchReply{}, trace.ConnectionProblem(nil, "no settings yet")
			}),
		)
		defer f.Close()
		time.Sleep(_inForceTimeout)
		synctest.Wait()
		assert.Assert(t, requests.Load() >= 2, "%d requests in %v", requests.Load(), _inForceTimeout)
	})
}
