package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/relay"
)

const (
	// _relayFlowBytes is the memory that a relay needs for the state of one flow.
	_relayFlowBytes = 256
	// _quietPeriod is the time without callers' packets after which a draining relay
	// stops: routers check readiness twice a second and stop sending after two failures.
	_quietPeriod = 900 * time.Millisecond
	// _stopMargin is the part of the grace period that is reserved for closing the
	// process after the drain.
	_stopMargin = 700 * time.Millisecond
	// _drainPollInterval is how often a draining process checks whether it may stop.
	_drainPollInterval = 100 * time.Millisecond
)

// relayFlags are the settings of a relay.
type relayFlags struct {
	*opaqueFlags
	ingress netip.AddrPort
	// linkMbps is as in relay.WithLink.
	linkMbps float64
	wire     relay.Wire
}

func newRelayFlags(stdout, stderr io.Writer) *relayFlags {
	f := &relayFlags{opaqueFlags: newOpaqueFlags("relay", stdout, stderr), wire: platform.PacketWire{}}
	f.text(&f.ingress, "ingress", "IP:PORT where routers send callers' packets (UDP); callers take packets at its port")
	f.Float64Var(&f.linkMbps, "link-mbps", 0,
		"capacity of this VM's link in Mbit/s, which callers that send much data may not fill; 0: not known; only with -priority-admission")
	f.require("ingress")
	return f
}

func relayCommand(stdout, stderr io.Writer) *ffcli.Command {
	return opaqueCommand("relay", "Forward opaque packets of callers to the sidecars beside upstreams.", newRelayFlags(stdout, stderr))
}

func (f *relayFlags) check(args []string) error {
	if f.linkMbps < 0 {
		f.add("-link-mbps", trace.BadParameter("%v is below zero", f.linkMbps))
	}
	return f.opaqueFlags.check(args)
}

func (f *relayFlags) renew() opaqueRole {
	next := newRelayFlags(f.logOutput, io.Discard)
	next.wire = f.wire
	return next
}

func (f *relayFlags) run(ctx context.Context) (_ opaqueRole, err error) {
	var r *relay.Relay
	node, err := openOpaqueNode(f.opaqueFlags, func() bool { return r.Ready() })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { err = trace.NewAggregate(err, node.Close()) }()
	spans, err := node.newHistograms()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	self := relay.Identity{Addr: f.addr, Zone: f.zone, Incarnation: newIncarnation()}
	r, err = relay.New(relay.Config{
		Identity:   self,
		Ingress:    f.ingress,
		PeerPort:   uint16(f.peerPort),
		PeerListen: node.peerAddr(),
		MaxFlows:   f.maxFlows(_relayFlowBytes),

		PriorityAdmission: f.priorityAdmission,
		LinkMbps:          f.linkMbps,
	}, f.wire, decision.NewRecorder(node.decisions, spans.observe))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	node.add(r)
	node.metrics.mux.HandleFunc("GET "+_headroomPath, headroomHandler(r.Upstreams))
	if err := node.registerMetrics(relayMetrics(r)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := f.startServices(node, r, self); err != nil {
		return nil, trace.Wrap(err)
	}
	node.log.Info("relay started", zap.String("zone", f.zone), zap.Stringer("addr", f.addr),
		zap.Uint64("incarnation", self.Incarnation), zap.Int("seeds", len(f.seeds)))
	next := node.awaitEnd(ctx)
	f.drain(r, node.log)
	return next, nil
}

// startServices starts the services that run beside the relay's data path.
func (f *relayFlags) startServices(node *opaqueNode, r *relay.Relay, self relay.Identity) error {
	// Upstreams send heartbeats to the sidecar on their host. A relay must not
	// acknowledge one, since it cannot stop new flows to an upstream that drains.
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "upstreams report to their sidecar", http.StatusServiceUnavailable)
	})
	return node.startServices(opaqueServices{
		dataPath: r, ready: r.Ready, control: refuse,
		newRole:      f.renew,
		configTarget: r,
		self:         &relayEntry{Addr: f.addr, Zone: f.zone, Incarnation: self.Incarnation},
		storeEpoch:   r.StoreEpoch,
		hasReported:  r.HasReported, isolated: r.Isolated, lastStoreReadAge: r.LastStoreReadAge,
	})
}

// drain keeps forwarding until routers have stopped sending packets to the relay, or
// the grace period less _stopMargin is over.
func (f *relayFlags) drain(r *relay.Relay, log *zap.Logger) {
	start := time.Now()
	r.Leave()
	log.Info("relay leaves", zap.Duration("grace", f.grace))
	for time.Since(start) < f.grace-_stopMargin {
		time.Sleep(_drainPollInterval)
		if time.Since(start) > _quietPeriod && r.Idle() > _quietPeriod {
			break
		}
	}
	log.Info("relay stopped", zap.Duration("after", time.Since(start)), zap.Duration("idle", r.Idle()))
}

// relayMetrics returns a function that reads the metrics of the relay.
func relayMetrics(r *relay.Relay) func() []metricValue {
	return func() []metricValue {
		s := r.Stats()
		return append(append([]metricValue{
			{"relay_packets", int64(s.Packets)},
			{"relay_openings", int64(s.Openings)},
			{"relay_offers", int64(s.Offers)},
			{"relay_offers_unanswered", int64(s.Unanswered)},
			{"relay_carried", int64(s.Carried)},
			{"relay_asked", int64(s.Asked)},
			{"relay_tried", int64(s.Tried)},
			{"relay_searches_found", int64(s.SearchesFound)},
			{"relay_searches_denied", int64(s.SearchesDenied)},
			{"relay_searches_unfinished", int64(s.SearchesUnfinished)},
			{"relay_resets", int64(s.Resets)},
			{"relay_no_room", int64(s.NoRoom)},
			{"relay_probes", int64(s.Probes)},
			{"relay_link_full", int64(s.LinkFull)},
			{"relay_throttled", int64(s.Throttled)},
			{"relay_crossings", int64(s.Crossings)},
			{"relay_dropped", int64(s.Dropped)},
			{"relay_malformed", int64(s.Malformed)},
			{"relay_unsent", int64(s.Unsent)},
			{"relay_flows", int64(s.Flows)},
			{"known_relays", int64(s.Relays)},
			{"known_sidecars", int64(s.Sidecars)},
			{"settings_version", int64(s.Version)},
		}, sharedMetrics(s.Behind, s.Configurations, s.Traffic)...), evacuationMetrics(s.Evacuations, s.Evacuated)...)
	}
}
