package announcer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// TestKeeperReachability starts an agent with a lower incarnation than that of its
// last run, cuts the agent off from all keepers for a time, and kills one of its
// keepers. The announcer must adopt a higher incarnation, replace the killed keeper, and
// report through AnsweredSince whether a keeper has answered since the cut: false during
// the partition and true after it.
func TestKeeperReachability(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 1)
		defer f.close()
		time.Sleep(_settleTime)
		f.killAgent(0)
		time.Sleep(_exclusionBound)
		f.startAgent(0, 50)
		a := f.agents[0]
		assert.Assert(t, !a.AnsweredSince(time.Time{}))
		assert.NilError(t, a.WaitAcknowledged(t.Context()))
		assert.Equal(t, a.Self().Incarnation, service.Incarnation(101), "the announcer has adopted the next incarnation")
		time.Sleep(_settleTime)
		keepers := a.Keepers()
		assert.Equal(t, len(keepers), roster.KeeperCount)

		heal := f.isolate(0)
		time.Sleep(_exclusionBound)
		isolatedAt := time.Now()
		time.Sleep(time.Minute)
		assert.Assert(t, !a.AnsweredSince(isolatedAt))
		heal()
		time.Sleep(_settleTime)
		assert.Assert(t, a.AnsweredSince(isolatedAt))
		assert.Assert(t, !a.AnsweredSince(time.Now()))

		f.killKeeper(int(keepers[0].Addr().As4()[3]))
		time.Sleep(_settleTime)
		assert.Equal(t, len(a.Keepers()), roster.KeeperCount)
		assert.Assert(t, !slices.Contains(a.Keepers(), keepers[0]))
		for _, addr := range a.Keepers() {
			assert.Assert(t, !f.down[addr])
		}
	})
}
