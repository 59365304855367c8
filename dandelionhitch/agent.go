package main

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/agent"
	"dandelionhitch.example/announcer"
	"dandelionhitch.example/dispatcher"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/keeper"
	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

const (
	// _loadAnnounceInterval is how often an agent passes its load to the announcer. At the
	// same interval, a starting agent checks whether it has a share of the flow limit.
	_loadAnnounceInterval = 200 * time.Millisecond
	// _maxLoad is the highest level that Dispatcher.Load returns.
	_maxLoad = 7
	// _fullPercent is the load in percent that corresponds to _maxLoad.
	_fullPercent = 100
)

// agentConfig is the configuration of an agent, read from its flags.
type agentConfig struct {
	nodeConfig
	service  service.Name
	upstream *url.URL
	weight   uint16
}

func (c agentConfig) path() settings.Path {
	return settings.Path{Region: c.region, Place: c.place, Name: c.service}
}

// agentNode is a running agent. An agent runs beside an upstream, terminates callers'
// QUIC flows and proxies their requests to the upstream. It holds a share of its
// service's flow limit and announces itself to the balancers.
type agentNode struct {
	tomb        tomb.Tomb
	config      agentConfig
	log         *zap.Logger
	control     *controlNode
	follower    *follower.Follower
	announcer   *announcer.Announcer
	leaseholder *leaseholder.Leaseholder
	dispatcher  *dispatcher.Dispatcher
	peerServer  *httpServer
	agent       *agent.Agent
	// incarnationInUse is set once connection IDs and leases carry the incarnation,
	// which can't change from then on.
	incarnationInUse atomic.Bool
}

func agentCommand(stderr io.Writer) *ffcli.Command {
	flags := newNodeFlags("agent", stderr)
	config := &agentConfig{}
	var callers credentialFiles
	flags.text(&config.service, "service", "name of the service that the upstream serves")
	flags.Func("upstream", "URL of the upstream beside this agent, such as http://127.0.0.1:8080", func(value string) error {
		upstream, err := parseUpstream(value)
		flags.add("-upstream", err)
		config.upstream = upstream
		return nil
	})
	weight := flags.Uint("weight", 1, "capacity relative to the service's other upstreams, 1 to 1000")
	flags.StringVar(&callers.cert, "caller-cert", "", "PEM file of the service's certificate, which callers verify")
	flags.StringVar(&callers.key, "caller-key", "", "PEM file of that certificate's key")
	flags.require("service", "upstream", "caller-cert", "caller-key", "peers", "platform")
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "dandelionhitch agent -config FILE",
		ShortHelp:  "End callers' flows and hand their requests to the upstream on this host.",
		FlagSet:    flags.FlagSet,
		Options:    flags.options(),
		Exec: func(ctx context.Context, args []string) error {
			flags.add("-weight", config.setWeight(*weight))
			if err := flags.check(args); err != nil {
				return err
			}
			config.nodeConfig = flags.config
			return runAgent(ctx, flags, *config, callers)
		},
	}
}

func parseUpstream(value string) (*url.URL, error) {
	upstream, err := url.Parse(value)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	if upstream.Scheme != "http" || upstream.Host == "" {
		return nil, trace.BadParameter("%q: want a URL such as http://127.0.0.1:8080", value)
	}
	return upstream, nil
}

func (c *agentConfig) setWeight(weight uint) error {
	const maxWeight = 1000
	if weight < 1 || weight > maxWeight {
		return trace.BadParameter("%d: want 1 to %d", weight, maxWeight)
	}
	c.weight = uint16(weight)
	return nil
}

// runAgent runs an agent until ctx ends, then drains it.
func runAgent(ctx context.Context, flags *nodeFlags, config agentConfig, callers credentialFiles) error {
	ignoreHangupAndPipe()
	callerTLS, err := callers.serverTLS()
	if err != nil {
		return err
	}
	resources, closeResources, err := flags.openNode(func() bool { return ctx.Err() == nil })
	if err != nil {
		return err
	}
	defer closeResources()
	node, err := newAgentNode(ctx, config, resources, callerTLS)
	if err != nil {
		return err
	}
	resources.log.Info("agent started", zap.Stringer("service", config.path()), zap.Stringer("data", config.data))
	reloader := newKeyReloader(flags.keyFile, resources.log, node.setKeys)
	defer reloader.Close()
	select {
	case <-ctx.Done():
	case <-node.tomb.Dead():
	}
	resources.log.Info("agent draining")
	return node.runDrain()
}

// newAgentNode starts an agent. It first waits, until ctx ends, to receive the
// settings of its service from any balancer.
func newAgentNode(ctx context.Context, config agentConfig, resources nodeResources, callers *tls.Config) (_ *agentNode, err error) {
	n := &agentNode{config: config, log: resources.log.With(zap.Stringer("service", config.path()), zap.Stringer("data", config.data))}
	defer func() {
		if err != nil {
			_ = n.closeComponents()
		}
	}()
	if n.control, err = newControlNode(config.control, resources); err != nil {
		return nil, err
	}
	n.follower = follower.New(
		follower.WithService(config.path()),
		follower.WithFetch(n.control.fetch),
		follower.WithPeers(func() []netip.AddrPort { return config.peers }),
		follower.WithLogger(n.log),
		follower.WithMeter(resources.meter),
	)
	policy, err := n.awaitSettings(ctx)
	if err != nil {
		return nil, err
	}
	if err := n.announce(ctx, policy, resources); err != nil {
		return nil, err
	}
	if err := n.serve(policy, resources, callers); err != nil {
		return nil, err
	}
	n.control.start()
	n.tomb.Go(n.run)
	return n, nil
}

// policy returns the settings in force for the agent's service. After the service
// is removed from the settings, policy returns its last settings with a flow limit
// of zero, so that open flows continue and new flows are refused.
func (n *agentNode) policy() settings.Service {
	s, ok := n.follower.Service(n.config.region, n.config.place, n.config.service)
	if !ok {
		s.Limits.Flows = 0
	}
	return s
}

func (n *agentNode) awaitSettings(ctx context.Context) (settings.Service, error) {
	for {
		if s := n.policy(); s.ID != 0 {
			return s, nil
		}
		select {
		case <-n.follower.Updates():
		case <-ctx.Done():
			return settings.Service{}, trace.Wrap(ctx.Err(), "wait for the settings of %s", n.config.path())
		}
	}
}

// announce starts the announcer and waits until a keeper has acknowledged the
// agent. The incarnation is final then; it must be final before the first flow,
// because every connection ID carries it.
func (n *agentNode) announce(ctx context.Context, policy settings.Service, resources nodeResources) error {
	self := roster.Upstream{
		Service:     policy.ID,
		Name:        n.config.service,
		Place:       n.config.place,
		Data:        n.config.data,
		Control:     n.config.control,
		Incarnation: service.IncarnationAt(time.Now()),
		State:       service.Starting,
		Weight:      n.config.weight,
		Load:        roster.LoadLow,
	}
	var err error
	n.announcer, err = announcer.New(self, n.control.client, n.config.peers,
		announcer.WithRevision(n.follower.Revision),
		announcer.WithHigherRevisionHandler(n.follower.Offer),
		announcer.WithNewIncarnationHandler(n.killSupersededRun),
		announcer.WithStore(resources.store),
		announcer.WithLogger(n.log),
		announcer.WithMeter(resources.meter),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	return n.announcer.WaitAcknowledged(ctx)
}

// confirmGone asks the keepers, one after another until one answers, whether a
// run of another agent of the service has ended. The address of a run that has ended may be
// that of an agent of another service by now.
func (n *agentNode) confirmGone(ctx context.Context, run limit.Run) (bool, error) {
	var failures []error
	for _, addr := range n.announcer.Keepers() {
		var reply keeper.RecordsReply
		err := n.control.client.Call(ctx, addr, keeper.MethodRecords, &keeper.RecordsRequest{Service: n.policy().ID, Data: run.Address}, &reply)
		if err == nil {
			return hasEnded(reply.Upstreams, run), nil
		}
		failures = append(failures, err)
	}
	return false, trace.NewAggregate(failures...)
}

// hasEnded reports whether the run has ended or was replaced by a later run at its address.
func hasEnded(upstreams []roster.UpstreamStatus, run limit.Run) bool {
	for _, u := range upstreams {
		if u.Data == run.Address {
			return u.Incarnation > run.Incarnation || (u.Gone && u.Incarnation == run.Incarnation)
		}
	}
	return false
}

// serve starts the leaseholder, the dispatcher, the peer server and the QUIC agent.
func (n *agentNode) serve(policy settings.Service, resources nodeResources, callers *tls.Config) error {
	n.incarnationInUse.Store(true)
	incarnation := n.announcer.Self().Incarnation
	run := limit.Run{Address: n.config.data, Incarnation: incarnation, Nonce: rand.Uint32()}
	var err error
	n.leaseholder, err = leaseholder.New(resources.store, n.config.path(), run, n.policy,
		leaseholder.WithUpdates(n.follower.Updates()),
		leaseholder.WithConfirm(n.confirmGone),
		leaseholder.WithHosts(n.announcer.Hosts),
		leaseholder.WithLogger(n.log),
		leaseholder.WithMeter(resources.meter),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	transport := dispatcher.NewPeerTransport(resources.tls)
	n.dispatcher, err = dispatcher.New(n.config.upstream, n.policy,
		dispatcher.WithIdentity(dispatcher.Identity{Service: policy.ID, Address: n.config.data, Incarnation: incarnation}),
		dispatcher.WithTicketKeys(resources.keys.ticket),
		dispatcher.WithPeers(peers{announcer: n.announcer}, transport),
		dispatcher.WithLogger(n.log),
		dispatcher.WithMeter(resources.meter),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	if n.peerServer, err = newPeerServer(n.config.data, resources.tls, n.dispatcher.PeerHandler()); err != nil {
		return err
	}
	if err := n.control.server.Register("Limits", leaseholder.NewLimits(n.leaseholder)); err != nil {
		return trace.Wrap(err)
	}
	n.agent, err = agent.New(agent.Config{
		Addr:        n.config.data,
		Service:     policy.ID,
		Incarnation: incarnation,
		Keys:        resources.keys.packet,
		TLS:         callers,
		Gate:        n.leaseholder,
		Handler:     n.dispatcher,
	},
		agent.WithAnsweredSince(n.announcer.AnsweredSince),
		agent.WithBalancers(n.announcer.Balancers),
		agent.WithWeight(n.config.weight),
		agent.WithLogger(n.log),
		agent.WithMeter(resources.meter),
	)
	return trace.Wrap(err)
}

// run puts the agent into service once it has a share of the flow limit, and
// passes its load to the announcer until the agent stops.
func (n *agentNode) run() error {
	ticker := time.NewTicker(_loadAnnounceInterval)
	defer ticker.Stop()
	for {
		if n.agent.State() == service.Starting && n.leaseholder.Status().Allowed > 0 {
			n.agent.Serve()
			n.announcer.SetState(service.Serving)
			n.log.Info("agent serves")
		}
		select {
		case <-ticker.C:
			n.announcer.SetLoad(percentOf(n.dispatcher.Load()))
		case <-n.tomb.Dying():
			return nil
		}
	}
}

// killSupersededRun ends the run if it already uses an incarnation that keepers
// know to be superseded: balancers treat flows of that incarnation as flows of a run
// that has ended, and issued connection IDs and leases can't change, so a new run
// must take over. A run that has not used its incarnation continues with the adopted one.
func (n *agentNode) killSupersededRun(adopted service.Incarnation) {
	if n.incarnationInUse.Load() {
		n.tomb.Kill(trace.CompareFailed("run of %v at %v: its incarnation is superseded, the next one is %d",
			n.config.path(), n.config.data, adopted))
	}
}

// setKeys replaces the keys whose packets are accepted. The agent issues connection
// IDs and tickets under the keys that it read at its start; it issues under a new
// key only after a restart.
func (n *agentNode) setKeys(k keys) { n.agent.SetKeys(k.packet) }

// runDrain stops the agent within the drain deadline of its service's settings.
func (n *agentNode) runDrain() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.policy().DrainDeadline))
	defer cancel()
	return n.Stop(ctx)
}

// Stop refuses new flows, waits until the open flows and the requests in progress
// have ended or ctx ends, and then closes the agent.
func (n *agentNode) Stop(ctx context.Context) error {
	n.leaseholder.Drain()
	n.announcer.SetState(service.Draining)
	n.dispatcher.StartDrain()
	if err := n.agent.Drain(ctx); err != nil {
		n.log.Warn("flows were still open at the drain deadline", zap.Int("flows", n.agent.Flows()), zap.Error(err))
	}
	if err := n.dispatcher.Drain(ctx); err != nil {
		n.log.Warn("requests were still in progress at the drain deadline", zap.Error(err))
	}
	return n.Close()
}

// Close stops at once and waits for all goroutines.
func (n *agentNode) Close() error {
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	return trace.NewAggregate(err, n.closeComponents())
}

func (n *agentNode) closeComponents() error {
	var errs []error
	if n.agent != nil {
		errs = append(errs, n.agent.Close())
	}
	if n.dispatcher != nil {
		errs = append(errs, n.dispatcher.Close())
	}
	if n.peerServer != nil {
		errs = append(errs, n.peerServer.Close())
	}
	if n.leaseholder != nil {
		errs = append(errs, n.leaseholder.Close())
	}
	if n.announcer != nil {
		errs = append(errs, n.announcer.Close())
	}
	if n.follower != nil {
		errs = append(errs, n.follower.Close())
	}
	if n.control != nil {
		errs = append(errs, n.control.Close())
	}
	return trace.NewAggregate(errs...)
}
