package decision_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
)

// _powerLossLog holds lines of two relays and a sidecar after a loss of power.
const _powerLossLog = `{"time":"2026-05-12T19:00:00.100Z","message":"relay started","node":"front-1"}
{"time":"2026-05-12T19:00:00.200Z","message":"decision","node":"front-1","flow":"100.64.0.1:1>198.18.0.1:443","action":"waits","reason":"no_route_yet"}
{"time":"2026-05-12T19:00:00.300Z","message":"belief","node":"front-1","subject":"settings","name":"routes","from":"0","to":"7"}
{"time":"2026-05-12T19:00:00.310Z","message":"decision","node":"front-1","flow":"100.64.0.1:1>198.18.0.1:443","action":"placed"}
{"time":"2026-05-12T19:00:00.320Z","message":"decision","node":"front-1","flow":"100.64.0.2:1>198.18.0.1:443","action":"placed"}
{"time":"2026-05-12T19:00:00.330Z","message":"decision","node":"side-1","flow":"100.64.0.2:1>198.18.0.1:443","action":"refused","reason":"overloaded"}
{"time":"2026-05-12T19:00:00.340Z","message":"decision","node":"front-1","flow":"100.64.0.2:1>198.18.0.1:443","action":"reset","reason":"all_refused"}
{"time":"2026-05-12T19:00:00.400Z","message":"decision","node":"front-1","flow":"100.64.0.2:2>198.18.0.1:443","action":"placed"}
{"time":"2026-05-12T19:00:00.410Z","message":"decision","node":"side-1","flow":"100.64.0.2:2>198.18.0.1:443","action":"waits"}
{"time":"2026-05-12T19:00:01.050Z","message":"decision","node":"front-1","flow":"100.64.0.3:1>198.18.0.1:443","action":"placed"}
{"time":"2026-05-12T19:00:01.060Z","message":"decision","node":"side-1","flow":"100.64.0.3:1>198.18.0.1:443","action":"waits"}
{"time":"2026-05-12T19:00:01.100Z","message":"decision","node":"front-2","flow":"100.64.0.4:1>198.18.0.1:443","action":"placed"}
{"time":"2026-05-12T19:00:01.150Z","message":"decision","node":"front-2","flow":"100.64.0.5:1>198.18.0.1:443","action":"asked","reason":"holder_not_known"}
{"time":"2026-05-12T19:00:01.200Z","message":"lines left out","node":"front-2","routine_decisions":30,"other_decisions":2,"ends":4}
{"time":"2026-05-12T19:00:09.000Z","message":"decision","node":"front-2","flow":"100.64.0.9:1>198.18.0.1:443","action":"placed"}
`

// TestPeriods checks that each flow is counted once, in the period of its first line and
// under the outcome with the highest precedence.
func TestPeriods(t *testing.T) {
	lines, _, err := decision.ReadLines(strings.NewReader(_powerLossLog))
	assert.NilError(t, err)
	from := time.Date(2026, 5, 12, 19, 0, 0, 0, time.UTC)
	periods := decision.NewPeriods(lines, from, from.Add(2*time.Second), time.Second)
	assert.Equal(t, len(periods), 2)
	first, second := periods[0], periods[1]
	assert.Equal(t, first.Total(), 3)
	for outcome, n := range map[decision.FlowOutcome]int{decision.NoConfiguration: 1, decision.Overloaded: 1, decision.Retried: 1} {
		assert.Equal(t, first.Flows[outcome], n, "%v", outcome)
	}
	assert.Assert(t, first.Started == 1 && first.Configured == 1 && first.Relays == 1)
	assert.Equal(t, second.Total(), 3)
	for outcome, n := range map[decision.FlowOutcome]int{decision.Waiting: 1, decision.AcceptedAtOnce: 1, decision.HolderUnknown: 1} {
		assert.Equal(t, second.Flows[outcome], n, "%v", outcome)
	}
	assert.Assert(t, second.Relays == 2 && second.Omitted.EndsOmitted == 4)
}
