package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// _wantExplanation is the explanation printed for explainShare and explainStatus.
const _wantExplanation = `oslo/oslo-a/rutetjeneste in revision 2

LIMIT                   VALUE     SET AT                    REVISION  BY     WHEN                  WHY
max_flows               1000      oslo/oslo-a/rutetjeneste  2         aroha  2026-12-04T03:00:00Z  night
max_flows_per_upstream  2000      /                         1         kari   2026-12-04T03:00:00Z  crest
slots                   4         /                         1         kari   2026-12-04T03:00:00Z  crest
reserved_slots          1         default                   -         -      -                     -
queue_length            20        /                         1         kari   2026-12-04T03:00:00Z  crest
max_hosts               10        /                         1         kari   2026-12-04T03:00:00Z  crest
drain_deadline          "8h0m0s"  default                   -         -      -                     -

HOST           OPEN  SHARE  OF IT FLOOR  LACKING  ALLOWED NOW  LEASE LEFT  REVISION
10.0.0.1:8443  620   500    50           120      500          9m0s        2
10.0.0.2:8443  400   250    50           0        700          8m0s        1
10.0.0.3:8443  7     100    50           0        no answer    -           -
free                 150

REFUSED FLOWS  IN ALL  REASON
3 in 10 min    5       draining: the host is draining
12 in 10 min   90      flows: the host's share of max_flows is full

NOTES
  27 more flows are open than max_flows allows. They were opened under a higher limit; none is cut, and no new ones take their place.
  10.0.0.1:8443 has 620 flows open and may have 500: it refuses new ones until enough have ended.
  10.0.0.2:8443 has revision 1 in force and goes by max_flows 14000, not 1000.
  10.0.0.2:8443 is draining: it takes no new flows.
  10.0.0.3:8443 does not answer (cut off). Its share returns 11m0s after its last renewal once it is confirmed gone, else 8h0m0s later.
`

// explainRun returns the run of the agent at 10.0.0.host.
func explainRun(host byte) limit.Run {
	return limit.Run{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 8443), Incarnation: 9}
}

// explainStatus returns the status of two of the three hosts in explainShare, and an
// error for the third.
func explainStatus(_ context.Context, run limit.Run, path settings.Path) (leaseholder.Status, error) {
	statuses := map[limit.Run]limit.Snapshot{
		explainRun(1): {
			Revision: 2, FlowLimit: 1000, Share: 500, Floor: 50, Allowed: 500, Open: 620, LeaseLeft: 9 * time.Minute, Joined: true,
			Refusals: []limit.RefusalCount{{Reason: limit.Flows, Recent: 12, Total: 90}},
		},
		explainRun(2): {
			Revision: 1, FlowLimit: 14000, Share: 700, Floor: 700, Allowed: 700, Open: 400, LeaseLeft: 8 * time.Minute, Joined: true, Draining: true,
			Refusals: []limit.RefusalCount{{Reason: limit.Draining, Recent: 3, Total: 5}},
		},
	}
	snapshot, ok := statuses[run]
	if !ok {
		return leaseholder.Status{}, trace.ConnectionProblem(nil, "cut off")
	}
	snapshot.Run = run
	return leaseholder.Status{Snapshot: snapshot, Path: path}, nil
}

// explainShare returns the shares of three hosts.
func explainShare() limit.Share {
	const term = settings.Duration(10 * time.Minute)
	share := limit.Share{Revision: 2, Limit: 1000}
	for i, flows := range []int{500, 250, 100} {
		entry := limit.Entry{Run: explainRun(byte(i + 1)), Seq: 1, Open: 7, Term: term, FloorTerm: term}
		entry.Floor = limit.UnitsFor(50, 1000)
		entry.Leased = limit.UnitsFor(flows, 1000) - entry.Floor
		share = share.WithEntry(entry)
	}
	share.Entries[0].Lacking = limit.UnitsFor(120, 1000)
	return share
}

// TestExplain explains a service with three hosts as text and as JSON, a service
// without hosts, and agents that cannot be queried. Invalid arguments give an error.
func TestExplain(t *testing.T) {
	h := newSettingsHarness(t)
	for _, line := range []string{
		"apply -author kari -reason crest -",
		"set -author aroha -reason night oslo/oslo-a/rutetjeneste max_flows=1000",
	} {
		_, err := h.run(line)
		assert.NilError(t, err)
	}
	value, err := json.Marshal(explainShare())
	assert.NilError(t, err)
	path := settings.Path{Region: "oslo", Place: "oslo-a", Name: "rutetjeneste"}
	_, err = h.client.Put(t.Context(), limit.Key(path), value, 0)
	assert.NilError(t, err)

	status := explainStatus
	explain := func(line string) (string, error) {
		var out bytes.Buffer
		command := explainCommand(explainEnvironment{
			stdout: &out,
			store:  func() (platform.Store, error) { return h.client, nil },
			status: status,
		})
		err := command.ParseAndRun(t.Context(), strings.Fields(line))
		return out.String(), err
	}
	text, err := explain("rutetjeneste")
	assert.NilError(t, err)
	assert.Equal(t, text, _wantExplanation)

	text, err = explain("-json oslo/oslo-a/rutetjeneste")
	assert.NilError(t, err)
	var decoded []explanation
	assert.NilError(t, json.Unmarshal([]byte(text), &decoded))
	assert.Equal(t, decoded[0].String(), _wantExplanation)

	status = nil
	text, err = explain("rutetjeneste")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(text, "NOTES\n  Not all agents were asked: agents cannot be asked from here.\n"), text)

	text, err = explain("fotoarkiv")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "No host has joined"), text)
	for line, want := range map[string]string{
		"":                    "want one service, got 0",
		"roundservice":        "no such service",
		"oslo/oslo-a/ghost":   "no such service",
		"oslo/oslo-a/a/b/c/d": "want region/place/service",
	} {
		_, err := explain(line)
		assert.ErrorContains(t, err, want, line)
	}
}

// TestExplainFetchStatusesWithoutAgents fetches the statuses of no agents. All loops then
// return at once, and starting another loop after the last one has ended would panic in the
// tomb. The race is rare, so the test repeats.
func TestExplainFetchStatusesWithoutAgents(t *testing.T) {
	for range 1000 {
		statuses, failures := explainGatherer{}.fetchStatuses(t.Context(), settings.Path{}, nil)
		assert.Equal(t, len(statuses)+len(failures), 0)
	}
}
