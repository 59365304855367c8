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

// TestAProcessWithoutSettingsAsksAgainSoon starts a follower whose only peer has
// no settings yet, as when a whole fleet starts at once. While it has none, it
// must ask again within the time in which settings are to be in force.
func TestAProcessWithoutSettingsAsksAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int64
		f := follower.New(
			follower.WithService(settings.Path{Region: "oslo", Place: "oslo-a", Name: "rutetjeneste"}),
			follower.WithPeers(func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7001")} }),
			follower.WithFetch(func(context.Context, netip.AddrPort, follower.FetchRequest) (follower.FetchReply, error) {
				asked.Add(1)
				return follower.FetchReply{}, trace.ConnectionProblem(nil, "no settings yet")
			}),
		)
		defer f.Close()
		time.Sleep(_inForceWithin)
		synctest.Wait()
		assert.Assert(t, asked.Load() >= 2, "asked %d times in %v", asked.Load(), _inForceWithin)
	})
}
