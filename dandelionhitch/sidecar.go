package main

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/sidecar"
)

// _sidecarFlowBytes is the memory that a sidecar needs for the state of one flow.
const _sidecarFlowBytes = 448

// sidecarFlags are the settings of a sidecar.
type sidecarFlags struct {
	*opaqueFlags
	service   string
	upstream  netip.AddrPort
	outbound  netip.AddrPort
	callers   netip.AddrPort
	heartbeat time.Duration
	// addressReuse is as in sidecar.Identity.
	addressReuse time.Duration
	cold         sidecar.ColdBound
}

// _defaultHeartbeat is the longest interval between heartbeats of the users' upstreams.
const _defaultHeartbeat = 1200 * time.Millisecond

func newSidecarFlags(stdout, stderr io.Writer) *sidecarFlags {
	f := &sidecarFlags{opaqueFlags: newOpaqueFlags("sidecar", stdout, stderr)}
	f.StringVar(&f.service, "service", "", "service of the upstream on this host")
	f.text(&f.upstream, "upstream", "IP:PORT where the upstream takes packets (UDP)")
	f.text(&f.outbound, "outbound", "IP:PORT where the upstream sends its packets (UDP)")
	f.text(&f.callers, "callers", "IP:PORT whose port is the one at which callers take packets")
	f.DurationVar(&f.heartbeat, "heartbeat", _defaultHeartbeat, "how often the upstream reports")
	f.DurationVar(&f.addressReuse, "address-reuse", 0,
		"least time from the end of the upstream until another one may have its address; 0: not known, 2s are assumed")
	f.Float64Var(&f.cold.Overage, "cold-overage", 0,
		"bound of the requests that a cold upstream gets in a second, as a multiple of the rate that its service states; 0: the rate itself")
	f.Float64Var(&f.cold.Slack, "cold-slack", 0, "requests a second that are added to this bound")
	f.require("service", "upstream", "outbound", "callers")
	return f
}

func sidecarCommand(stdout, stderr io.Writer) *ffcli.Command {
	return opaqueCommand("sidecar", "Carry opaque packets between callers and the upstream on this host.", newSidecarFlags(stdout, stderr))
}

func (f *sidecarFlags) check(args []string) error {
	if f.heartbeat <= 0 {
		f.add("-heartbeat", trace.BadParameter("%v is not above zero", f.heartbeat))
	}
	if f.addressReuse < 0 {
		f.add("-address-reuse", trace.BadParameter("%v is below zero", f.addressReuse))
	}
	if f.cold.Overage < 0 || f.cold.Slack < 0 {
		f.add("-cold-overage", trace.BadParameter("%v with a slack of %v is below zero", f.cold.Overage, f.cold.Slack))
	}
	return f.opaqueFlags.check(args)
}

func (f *sidecarFlags) renew() opaqueRole { return newSidecarFlags(f.logOutput, io.Discard) }

func (f *sidecarFlags) run(ctx context.Context) (_ opaqueRole, err error) {
	node, err := openOpaqueNode(f.opaqueFlags, func() bool { return true })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { err = trace.NewAggregate(err, node.Close()) }()
	spans, err := node.newHistograms()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s, err := sidecar.New(sidecar.Config{
		Identity: sidecar.Identity{
			Addr: f.addr, Zone: f.zone, Incarnation: newIncarnation(),
			Service: f.service, Upstream: f.upstream, Heartbeat: f.heartbeat, AddressReuse: f.addressReuse,
		},
		Outbound:   f.outbound,
		CallerPort: f.callers.Port(),
		PeerPort:   uint16(f.peerPort),
		PeerListen: node.peerAddr(),
		MaxFlows:   f.maxFlows(_sidecarFlowBytes),
		Cold:       f.cold,

		PriorityAdmission: f.priorityAdmission,
	}, platform.PacketWire{}, decision.NewRecorder(node.decisions, spans.observe))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	node.add(s)
	if err := node.registerMetrics(sidecarMetrics(s)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := f.startServices(node, s); err != nil {
		return nil, trace.Wrap(err)
	}
	node.log.Info("sidecar started", zap.String("zone", f.zone), zap.String("service", f.service),
		zap.Stringer("upstream", f.upstream), zap.Int("seeds", len(f.seeds)))
	next := node.awaitEnd(ctx)
	f.drain(s, node.log)
	return next, nil
}

// drain keeps carrying packets until the upstream has answered its open requests, or
// the grace period less _stopMargin is over.
func (f *sidecarFlags) drain(s *sidecar.Sidecar, log *zap.Logger) {
	start := time.Now()
	s.Stop()
	log.Info("sidecar stops", zap.Int("busy", s.Stats().Busy), zap.Duration("grace", f.grace))
	for !s.Drained() && time.Since(start) < f.grace-_stopMargin {
		time.Sleep(_drainPollInterval)
	}
	log.Info("sidecar stopped", zap.Duration("after", time.Since(start)), zap.Int("busy", s.Stats().Busy))
}

// startServices starts the services that run beside the sidecar's data path.
func (f *sidecarFlags) startServices(node *opaqueNode, s *sidecar.Sidecar) error {
	return node.startServices(opaqueServices{
		dataPath: s, ready: func() bool { return true }, control: platform.HeartbeatHandler(s),
		newRole:  f.renew,
		isolated: s.Isolated,
	})
}

// sidecarMetrics returns a function that reads the metrics of the sidecar.
func sidecarMetrics(s *sidecar.Sidecar) func() []metricValue {
	return func() []metricValue {
		st := s.Stats()
		return slices.Concat([]metricValue{
			{"sidecar_accepted", int64(st.Accepted)},
			{"sidecar_passed_on", int64(st.PassedOn)},
			{"sidecar_stray", int64(st.Stray)},
			{"sidecar_refused", int64(st.Refused)},
			{"sidecar_bounced", int64(st.Bounced)},
			{"sidecar_carried", int64(st.Carried)},
			{"sidecar_replies", int64(st.Replies)},
			{"sidecar_not_held", int64(st.NotHeld)},
			{"sidecar_resets", int64(st.Resets)},
			{"sidecar_dropped", int64(st.Dropped)},
			{"sidecar_ignored_heartbeats", int64(st.IgnoredHeartbeats)},
			{"sidecar_other_upstream_heartbeats", int64(st.OtherUpstreamHeartbeats)},
			{"sidecar_identity_revocations", int64(st.IdentityRevocations)},
			{"sidecar_unconfirmed_openings", int64(st.UnconfirmedOpenings)},
			{"sidecar_malformed", int64(st.Malformed)},
			{"sidecar_unsent", int64(st.Unsent)},
			{"sidecar_flows", int64(st.Flows)},
			{"sidecar_busy", int64(st.Busy)},
			{"known_relays", int64(st.Relays)},
			{"known_peers", int64(st.Peers)},
			{"settings_version", int64(st.Version)},
		}, admissionMetrics(st), sharedMetrics(st.Behind, st.Configurations, st.Traffic), evacuationMetrics(st.Evacuations, st.Evacuated))
	}
}

// admissionMetrics returns the metrics of admission by priority.
func admissionMetrics(st sidecar.Stats) []metricValue {
	values := []metricValue{
		{"sidecar_displaced", int64(st.Displaced)},
		{"sidecar_held", int64(st.Held)},
		{"sidecar_held_now", int64(st.HeldNow)},
		{"sidecar_upstream_refusals", int64(st.UpstreamRefusals)},
		{"sidecar_capacity", int64(st.Capacity)},
		{"sidecar_slowdown_percent", int64(st.SlowdownPercent)},
	}
	for priority := range st.RefusedByPriority {
		suffix := "_priority_" + strconv.Itoa(priority)
		values = append(values,
			metricValue{"sidecar_refused" + suffix, int64(st.RefusedByPriority[priority])},
			metricValue{"sidecar_served" + suffix, int64(st.ServedByPriority[priority])})
	}
	return values
}
