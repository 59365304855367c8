package decision_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
)

// _log holds lines of a relay and two sidecars as a log collector stores them: prefixed
// with the host's name and not ordered by time.
const _log = `vm1 {"time":"2026-05-12T19:00:00.000Z","message":"sidecar started","node":"side-2","upstream":"10.1.0.2:8080"}
vm2 {"time":"2026-05-12T19:00:00.100Z","message":"relay started","node":"front-1","addr":"10.1.0.9"}
vm1 {"time":"2026-05-12T19:00:02.020Z","message":"decision","node":"side-2","flow":"100.64.0.7:40001>198.18.0.1:443","action":"refused","reason":"overloaded","busy":3,"slots":2,"attempt":1,"settings_version":7,"age_ms":4}
vm2 {"time":"2026-05-12T19:00:02.000Z","message":"decision","node":"front-1","flow":"100.64.0.7:40001>198.18.0.1:443","action":"placed","target":"10.1.0.2","busy":1,"slots":2,"attempt":1,"settings_version":7,"age_ms":40}
vm2 {"time":"2026-05-12T19:00:02.300Z","message":"decision","node":"front-1","flow":"100.64.0.7:40001>198.18.0.1:443","action":"reset","reason":"all_refused","settings_version":7,"age_ms":0}
vm1 {"time":"2026-05-12T19:00:01.500Z","message":"belief","node":"side-2","subject":"upstream","name":"i-1","from":"absent","to":"ready","reason":"heartbeat"}
vm2 {"time":"2026-05-12T19:00:01.600Z","message":"belief","node":"front-1","subject":"upstream","name":"10.1.0.2","from":"absent","to":"ready","reason":"report of orders"}
vm2 {"time":"2026-05-12T19:00:01.700Z","message":"belief","node":"front-1","subject":"upstream","name":"10.1.0.3","from":"absent","to":"ready","reason":"report of photos"}
vm3 {"time":"2026-05-12T19:00:01.700Z","message":"belief","node":"side-3","subject":"upstream","name":"i-9","from":"ready","to":"gone","reason":"left"}
vm2 {"time":"2026-05-12T19:00:02.100Z","message":"decision","node":"front-1","flow":"100.64.0.7:40002>198.18.0.1:443","action":"placed","target":"10.1.0.3","attempt":1}
vm2 {"time":"2026-05-12T19:00:02.200Z","message":"lines left out","node":"front-1","routine_decisions":3,"other_decisions":1,"ends":2,"beliefs":0}
vm2 {"time":"2026-05-12T19:00:03.200Z","message":"lines left out","node":"front-1","routine_decisions":4,"other_decisions":0,"ends":0,"beliefs":0}
vm2 {"time":"2026-05-12T19:10:00.000Z","message":"store lost","node":"front-1","error":"timeout"}
a line of something else
`

func readLog(t *testing.T) []decision.Line {
	t.Helper()
	lines, invalid, err := decision.ReadLines(strings.NewReader(_log))
	assert.NilError(t, err)
	assert.Equal(t, invalid, 1)
	return lines
}

// TestTrail checks that a flow's trail has the flow's own lines ordered by time and the
// beliefs and starts of the processes that handled it, but no lines of other flows,
// processes or times.
func TestTrail(t *testing.T) {
	key, err := flow.ParseKey("100.64.0.7:40001>198.18.0.1:443")
	assert.NilError(t, err)
	trail := decision.NewTrail(key, readLog(t))
	var actions, related []string
	for _, line := range trail.Decisions {
		actions = append(actions, string(line.Action))
	}
	assert.DeepEqual(t, actions, []string{"placed", "refused", "reset"})
	for _, line := range trail.Related {
		related = append(related, strings.TrimSpace(line.Node+" "+line.Message+" "+line.Name))
	}
	assert.DeepEqual(t, related, []string{
		"side-2 sidecar started", "front-1 relay started", "side-2 belief i-1", "front-1 belief 10.1.0.2",
	})
	assert.Equal(t, trail.Process("10.1.0.2"), "side-2")
	assert.Equal(t, trail.Process("10.1.0.77"), "10.1.0.77")
	end, ok := trail.End()
	assert.Assert(t, ok)
	assert.Equal(t, end.Reason, "all_refused")
	line, took := trail.Slowest()
	assert.Equal(t, line.Action, decision.Refused)
	assert.Equal(t, took, 280*time.Millisecond)
	assert.Equal(t, len(trail.Omitted), 1)
	assert.Equal(t, trail.Omitted[0].RoutineOmitted, 7)
	assert.Equal(t, trail.Omitted[0].EndsOmitted, 2)
}

func TestFlowsOfCaller(t *testing.T) {
	lines := readLog(t)
	assert.Equal(t, len(decision.Flows(lines, netip.MustParseAddrPort("100.64.0.7:0"))), 2)
	one := decision.Flows(lines, netip.MustParseAddrPort("100.64.0.7:40002"))
	assert.Equal(t, len(one), 1)
	assert.Equal(t, one[0].String(), "100.64.0.7:40002>198.18.0.1:443")
	assert.Equal(t, len(decision.Flows(lines, netip.MustParseAddrPort("100.64.0.8:0"))), 0)
}
