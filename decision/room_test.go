package decision_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
)

// _roomLog holds beliefs about capacity around a flow that is refused at side-2 and at two relays, of which front-2
// logs no beliefs about capacity.
const _roomLog = `{"time":"2026-05-12T18:50:00.000Z","message":"sidecar started","node":"side-2","service":"orders","upstream":"10.1.0.2:8080"}
{"time":"2026-05-12T18:50:00.000Z","message":"sidecar started","node":"side-3","service":"orders","upstream":"10.1.0.3:8080"}
{"time":"2026-05-12T18:50:00.000Z","message":"sidecar started","node":"side-4","service":"photos","upstream":"10.1.0.4:8080"}
{"time":"2026-05-12T19:00:00.000Z","message":"belief","node":"front-1","subject":"room","name":"orders","from":"all","to":"below 2"}
{"time":"2026-05-12T19:00:01.000Z","message":"belief","node":"front-1","subject":"room","name":"10.1.0.2","from":"below 1","to":"all"}
{"time":"2026-05-12T18:59:00.000Z","message":"belief","node":"side-2","subject":"room","name":"i-2","from":"all","to":"below 1"}
{"time":"2026-05-12T18:59:30.000Z","message":"belief","node":"side-2","subject":"upstream_capacity","name":"i-2","from":"0","to":"10"}
{"time":"2026-05-12T19:00:03.000Z","message":"belief","node":"side-2","subject":"room","name":"i-2","from":"below 1","to":"all"}
{"time":"2026-05-12T19:00:03.000Z","message":"belief","node":"side-3","subject":"room","name":"i-3","from":"below 0","to":"all"}
{"time":"2026-05-12T18:59:00.000Z","message":"belief","node":"side-4","subject":"room","name":"i-4","from":"all","to":"below 1"}
{"time":"2026-05-12T19:00:02.000Z","message":"decision","node":"side-2","flow":"100.64.0.7:40001>198.18.0.1:443","action":"refused","reason":"overloaded","service":"orders"}
{"time":"2026-05-12T19:00:02.100Z","message":"decision","node":"front-1","flow":"100.64.0.7:40001>198.18.0.1:443","action":"reset","reason":"no_room","service":"orders"}
{"time":"2026-05-12T19:00:04.000Z","message":"decision","node":"front-2","flow":"100.64.0.7:40001>198.18.0.1:443","action":"reset","reason":"no_room","service":"orders"}
`

// TestRoomsAtRefusal guards against the capacity of another process, of another time, of another
// service, or of single sidecars where that of the service is known.
func TestRoomsAtRefusal(t *testing.T) {
	lines, _, err := decision.ReadLines(strings.NewReader(_roomLog))
	assert.NilError(t, err)
	key, err := flow.ParseKey("100.64.0.7:40001>198.18.0.1:443")
	assert.NilError(t, err)
	trail := decision.NewTrail(key, lines)
	var got []string
	for _, line := range trail.Decisions {
		for _, room := range trail.Rooms(line) {
			got = append(got, strings.Join([]string{line.Node, room.Name, room.String(), room.Capacity, room.Age.String()}, " | "))
		}
	}
	assert.DeepEqual(t, got, []string{
		"side-2 | i-2 | capacity only for priorities below 1 | 10 | 1m2s",
		"front-1 | orders | capacity only for priorities below 2 |  | 2.1s",
		"front-2 | side-2 | capacity for all priorities | 10 | 1s",
		"front-2 | side-3 | capacity for all priorities |  | 1s",
	})
	assert.Equal(t, trail.Rooms(decision.Line{Node: "side-3", Time: trail.Decisions[0].Time})[0].String(), "no capacity for any priority")
	for noRoomFrom, want := range []string{"all", "below 0", "below 1"} {
		assert.Equal(t, decision.RoomState(uint8(noRoomFrom)), want)
	}
}
