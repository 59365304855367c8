package standin_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
)

// TestPlacementByWait compares placement by the expected wait, which the setting priority_admission enables, with
// placement by utilization: at 0.7 of the capacity, with upstreams that are 4 times as slow, and with
// three times the load in one zone. Calls of each zone must be answered in time as often as before, and at an even
// load of 0.7 no more offers may cross zones than before. No healthy upstream may be taken for a slow one.
func TestPlacementByWait(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	base := loadProfile{
		zones: 3, relays: 9, hosts: 42, slots: 2, runTime: 26 * time.Millisecond, target: 300 * time.Millisecond,
		timeout: 3 * _seconds, duration: 4 * _seconds,
	}
	for _, tt := range []struct {
		name              string
		utilization, skew float64
		slow              int
	}{
		{"even", 0.7, 0, 0},
		{"slow and uneven", 0.5, 0.4, 12},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := slowLoad{loadProfile: base, slow: tt.slow, factor: 4}
			l.utilization, l.skew = tt.utilization, tt.skew
			var inTime [2]float64
			var offersBetweenZones [2]int
			for i, prioritized := range []bool{false, true} {
				l.prioritized = prioritized
				slowdowns := make(map[string]int)
				s := l.runWith(1, func(s *scenario) {
					s.OnBelief = func(vm netip.Addr, b decision.Belief) {
						if b.Subject == "upstream_slowdown" && b.From == "normal" {
							slowdowns[vm.String()]++
						}
					}
				})
				assert.Assert(t, len(s.Violations) == 0, "%v", s.Violations)
				inTime[i] = fractionWithin(s.Calls, l.target)
				offersBetweenZones[i] = s.CrossZoneBytesByKind[peer.KindOffer]
				detected := 0
				for _, vm := range s.orders[:l.slow] {
					detected += min(slowdowns[vm.Addr.String()], 1)
					delete(slowdowns, vm.Addr.String())
				}
				t.Logf("prioritized %v: %d kB of offers between zones, %d of %d slow upstreams detected; %s",
					prioritized, offersBetweenZones[i]/1000, detected, l.slow, l.summary(s))
				if prioritized {
					assert.Equal(t, detected, l.slow)
				}
				assert.Equal(t, len(slowdowns), 0, "healthy upstreams taken for slow ones: %v", slowdowns)
			}
			assert.Assert(t, inTime[1] >= inTime[0]-0.005, fmt.Sprint(inTime))
			if tt.slow == 0 && tt.skew == 0 {
				assert.Assert(t, offersBetweenZones[1] <= offersBetweenZones[0])
			}
		})
	}
}
