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

// TestReach asks an agent whether keepers hear it: at its start with a clock
// that went back, while it is cut off, and afterwards.
func TestReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 1)
		defer f.close()
		time.Sleep(_settled)
		f.killAgent(0)
		time.Sleep(_noNewFlows)
		f.startAgent(0, 50)
		a := f.agents[0]
		assert.Assert(t, !a.HeardSince(time.Time{}))
		assert.NilError(t, a.Announced(t.Context()))
		assert.Equal(t, a.Self().Incarnation, service.Incarnation(101), "the incarnation is settled")
		time.Sleep(_settled)
		before := a.Keepers()
		assert.Equal(t, len(before), roster.KeeperCount)

		heal := f.vanish(0)
		time.Sleep(_noNewFlows)
		cut := time.Now()
		time.Sleep(time.Minute)
		assert.Assert(t, !a.HeardSince(cut))
		heal()
		time.Sleep(_settled)
		assert.Assert(t, a.HeardSince(cut))
		assert.Assert(t, !a.HeardSince(time.Now()))

		f.killKeeper(int(before[0].Addr().As4()[3]))
		time.Sleep(_settled)
		assert.Equal(t, len(a.Keepers()), roster.KeeperCount)
		assert.Assert(t, !slices.Contains(a.Keepers(), before[0]))
		for _, addr := range a.Keepers() {
			assert.Assert(t, !f.down[addr])
		}
	})
}
