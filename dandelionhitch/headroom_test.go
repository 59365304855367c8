package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/relay"
)

// newHeadroomRelay serves /headroom as a relay that knows three upstreams of "orders".
func newHeadroomRelay(t *testing.T, version uint64, age time.Duration) string {
	t.Helper()
	known := func(host byte, zone string, busy int, noRoomFrom uint8) relay.KnownUpstream {
		u := relay.KnownUpstream{Eligible: true, LoadAge: age}
		u.Sidecar, u.Service, u.Zone, u.State = netip.AddrFrom4([4]byte{10, 2, 0, host}), "orders", zone, peer.Ready
		u.Busy, u.Slots, u.RunTime, u.NoRoomFrom = busy, 2, 40*time.Millisecond, noRoomFrom
		return u
	}
	var routes []directory.Route
	for i, address := range []string{"198.18.0.1:443", "198.18.0.2:443"} {
		routes = append(routes, directory.Route{
			Address: netip.MustParseAddrPort(address), Shares: []directory.Share{{Service: "orders", Weight: 1}}, Priority: i + 1,
		})
	}
	table := directory.New(version, 0, routes)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+_headroomPath, headroomHandler(func() ([]relay.KnownUpstream, directory.Table) {
		return []relay.KnownUpstream{known(1, "akl-a", 2, 0), known(2, "akl-a", 1, 0), known(3, "akl-b", 1, 3)}, table
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const _wantHeadroom = `SERVICE  ZONE   PRIORITY  UPSTREAMS  WITH ROOM  SLOTS  LOAD  ROOM
orders   akl-a  1         2 of 2     2          4      3     1
orders   akl-a  2         2 of 2     2          4      3     1
orders   akl-b  1         1 of 1     1          2      1     1
orders   akl-b  2         1 of 1     0          2      1     0

WITHOUT ZONE akl-a
SERVICE  PRIORITY  LOST  UPSTREAMS  SLOTS  MOVED  WITHOUT SLOT  ROOM  REFUSED AT MOST  PER SECOND
orders   1         2     1          2      3      2             1     2                50
orders   2         2     1          2      3      2             0     3                75
`

// TestHeadroom asks two relays, one of which does not answer, and checks the tables.
func TestHeadroom(t *testing.T) {
	living, silent := newHeadroomRelay(t, 7, 0), httptest.NewServer(http.NotFoundHandler())
	silent.Close()
	var out, errs bytes.Buffer
	args := []string{"headroom", "-relays", strings.TrimPrefix(silent.URL, "http://") + "," + living, "-without-zone", "akl-a"}
	assert.Equal(t, run(t.Context(), args, nil, &out, &errs), _exitOK, errs.String())
	assert.Equal(t, out.String(), _wantHeadroom)
	assert.Assert(t, cmp.Contains(errs.String(), "does not answer"))
	out.Reset()
	assert.Equal(t, run(t.Context(), []string{"headroom", "-relays", living, "-json", "-without", "1"}, nil, &out, &errs), _exitOK)
	assert.Assert(t, cmp.Contains(out.String(), `"refused_at_most": 1`))
}

// TestHeadroomBadInput guards against an exit status that does not tell bad input from relays
// that don't answer.
func TestHeadroomBadInput(t *testing.T) {
	living, silent := newHeadroomRelay(t, 7, 0), httptest.NewServer(http.NotFoundHandler())
	silent.Close()
	dead := strings.TrimPrefix(silent.URL, "http://")
	odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`[7]`)) }))
	t.Cleanup(odd.Close)
	for _, tt := range []struct {
		name, args, want string
		status           int
	}{
		{"no relays", "", "-relays: not set", _exitUsage},
		{"empty relays", "-relays=", "names no relay", _exitUsage},
		{"not an address", "-relays=here", "-relays", _exitUsage},
		{"below zero", "-relays=" + living + " -without=-1", "below zero", _exitUsage},
		{"unknown zone", "-relays=" + living + " -without-zone=osl", "zones: akl-a, akl-b", _exitUsage},
		{"argument", "-relays=" + living + " more", "not expected", _exitUsage},
		{"no living relay", "-relays=" + dead, "no relay answers", _exitFailed},
		{"odd answer", "-relays=" + strings.TrimPrefix(odd.URL, "http://"), "no relay answers", _exitFailed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			status := run(t.Context(), append([]string{"headroom"}, strings.Fields(tt.args)...), nil, &out, &errs)
			assert.Equal(t, status, tt.status, errs.String())
			assert.Assert(t, cmp.Contains(errs.String(), tt.want))
		})
	}
}

// TestRelayServesHeadroom guards against a relay whose metrics address does not serve /headroom.
func TestRelayServesHeadroom(t *testing.T) {
	p := startConfigured(t, "relay", netip.MustParseAddr("127.0.7.60"))
	report, err := fetchHeadroomReport(t.Context(), netip.MustParseAddrPort(p.at(_testMetricsPort)))
	assert.NilError(t, err)
	assert.Equal(t, len(report.Upstreams), 0)
}
