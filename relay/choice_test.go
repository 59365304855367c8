package relay_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

// choiceWorld is a relay together with what it must know by what it was sent.
type choiceWorld struct {
	*testCore
	rt  *rapid.T
	now time.Duration
	// tables are the versions of the configuration; the index is the version less one.
	tables []directory.Table
	view   *fleet.View
	// reports are all reports that sidecars have sent, also those that were not delivered.
	reports      []peer.UpstreamReport
	incarnations uint64
	// answers are the verdicts that may arrive yet.
	answers []peer.Verdict
}

var _choiceSidecars = []netip.Addr{_firstSidecar, _secondSidecar, _farSidecar}

func newChoiceWorld(t *testing.T, rt *rapid.T) *choiceWorld {
	w := &choiceWorld{
		testCore: newTestCore(t), rt: rt, now: _afterStartup, view: fleet.New(600 * time.Millisecond),
	}
	w.changeRoute()
	for _, addr := range _choiceSidecars {
		w.restart(addr)
	}
	w.Tick(w.now)
	w.clearSent()
	return w
}

// changeRoute puts the next version in force, in which the route is dropped, leads to a
// service or is split between both.
func (w *choiceWorld) changeRoute() {
	var shares []directory.Share
	for _, service := range []string{"orders", "photos"} {
		if weight := rapid.SampledFrom([]uint64{0, 1, 1, 1000}).Draw(w.rt, service); weight > 0 {
			shares = append(shares, directory.Share{Service: service, Weight: weight})
		}
	}
	table := directory.New(uint64(len(w.tables)+1), 0, []directory.Route{{Address: _address, Shares: shares}})
	w.tables = append(w.tables, table)
	assert.Assert(w.t, w.SetTable(w.now, table, "test"))
}

// restart starts a sidecar anew at an address, beside an upstream of any service.
func (w *choiceWorld) restart(addr netip.Addr) {
	w.incarnations++
	w.report(peer.UpstreamReport{
		Sidecar: addr, Incarnation: w.incarnations, Sequence: 1, Zone: "a", Slots: 2,
		State:   rapid.SampledFrom([]peer.State{peer.Ready, peer.Ready, peer.Suspect}).Draw(w.rt, "state"),
		Service: rapid.SampledFrom([]string{"orders", "photos"}).Draw(w.rt, "service"),
	})
}

// report sends a report, which is lost in some cases.
func (w *choiceWorld) report(r peer.UpstreamReport) {
	w.reports = append(w.reports, r)
	if rapid.IntRange(0, 3).Draw(w.rt, "report_lost") > 0 {
		w.deliverReport(r)
	}
}

func (w *choiceWorld) deliverReport(r peer.UpstreamReport) {
	b, err := peer.AppendUpstream(nil, r)
	assert.NilError(w.t, err)
	w.view.Report(w.now, r)
	w.PeerMessage(w.now, b)
}

// reportAgain sends the next report of a sidecar that runs or has run.
func (w *choiceWorld) reportAgain() {
	r := rapid.SampledFrom(w.reports).Draw(w.rt, "report")
	r.Sequence += uint64(rapid.IntRange(0, 2).Draw(w.rt, "sequence"))
	w.report(r)
}

// open sends a copy of the opening packet of a flow.
func (w *choiceWorld) open() {
	port := rapid.SampledFrom([]uint16{1000, 1001, 1002}).Draw(w.rt, "port")
	w.CallerPacket(w.now, binary.BigEndian.AppendUint16(encodePacket(flow.SYN, 10, 0, 0), port))
}

// answer delivers one of the answers, which may be late, and may be lost.
func (w *choiceWorld) answer() {
	if len(w.answers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.answers)-1).Draw(w.rt, "answer")
	v := w.answers[i]
	w.answers = append(w.answers[:i:i], w.answers[i+1:]...)
	if rapid.IntRange(0, 3).Draw(w.rt, "answer_lost") > 0 {
		w.PeerMessage(w.now, v.Append(nil))
	}
}

// check checks the offers that were sent since the last call, and adds answers to them.
func (w *choiceWorld) check() {
	for _, m := range w.messages {
		if m.kind != peer.KindOffer {
			continue
		}
		offered, err := peer.DecodeCarried(m.body)
		assert.NilError(w.t, err)
		p, err := testWire{}.Decode(offered.Packet)
		assert.NilError(w.t, err)
		if offered.Version < 1 || offered.Version > uint64(len(w.tables)) {
			w.rt.Fatalf("the label names version %d; the last is %d", offered.Version, len(w.tables))
		}
		inForce := w.tables[len(w.tables)-1]
		chosen, routed := w.tables[offered.Version-1].Service(p.FromCaller())
		u := w.view.Upstream(m.to)
		switch {
		case !routed || peer.NewServiceID(chosen) != offered.Service:
			w.rt.Fatalf("the label names a service that version %d does not choose", offered.Version)
		case !inForce.Allows(_address, chosen):
			w.rt.Fatalf("the version in force does not allow %s, chosen under version %d", chosen, offered.Version)
		case u == nil || u.Service != chosen:
			w.rt.Fatalf("an offer of a flow of %s was sent to %v, which has another service", chosen, m.to)
		}
		outcome := rapid.SampledFrom([]peer.Outcome{peer.Accepted, peer.Refused, peer.Overloaded, peer.Ended}).Draw(w.rt, "outcome")
		v := peer.Verdict{Outcome: outcome, Sidecar: m.to, Flow: p.FromCaller(), Slots: 2}
		if outcome == peer.Refused || outcome == peer.Overloaded {
			v.Packet = offered.Packet
		}
		w.answers = append(w.answers, v)
	}
	w.clearSent()
}

// TestOffersCarryTheirChoice plays openings while sidecars change their service and are heard
// late, routes change and are dropped, and answers are lost or late. Each offer must be
// labelled with the service that the version in its label chooses for the flow, the version in
// force must allow it, and it must go to a sidecar of this service by what was reported.
func TestOffersCarryTheirChoice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newChoiceWorld(t, rt)
		steps := []func(){
			w.open, w.open, w.answer, w.answer, w.changeRoute, w.reportAgain,
			func() { w.restart(rapid.SampledFrom(_choiceSidecars).Draw(rt, "sidecar")) },
			func() {
				w.now += time.Duration(rapid.IntRange(1, 120).Draw(rt, "ms")) * time.Millisecond
				w.Tick(w.now)
			},
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			w.check()
		}
	})
}
