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
	// _loadInterval is how often an agent's load is passed on, and how often a
	// starting agent looks whether it has a share of the flow limit.
	_loadInterval = 200 * time.Millisecond
	// _maxLoad is the highest value of Dispatcher.Load.
	_maxLoad = 7
	// _percent is a whole in percent.
	_percent = 100
)

// agentConfig is what an agent is told at its start.
type agentConfig struct {
	nodeConfig
	service  service.Name
	upstream *url.URL
	weight   uint16
}

func (c agentConfig) path() settings.Path {
	return settings.Path{Region: c.region, Place: c.place, Name: c.service}
}

// agentNode is a running agent: the callers' flows, their requests, the share
// of the flow limit, the announcement, and the settings of its one service.
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
	// serves says that connection IDs and leases carry the incarnation of now.
	serves atomic.Bool
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
	const most = 1000
	if weight < 1 || weight > most {
		return trace.BadParameter("%d: want 1 to %d", weight, most)
	}
	c.weight = uint16(weight)
	return nil
}

// runAgent runs an agent until ctx ends, then drains it.
func runAgent(ctx context.Context, flags *nodeFlags, config agentConfig, callers credentialFiles) error {
	surviveSignals()
	callerTLS, err := callers.callers()
	if err != nil {
		return err
	}
	parts, closeParts, err := flags.openNode(func() bool { return ctx.Err() == nil })
	if err != nil {
		return err
	}
	defer closeParts()
	node, err := newAgentNode(ctx, config, parts, callerTLS)
	if err != nil {
		return err
	}
	parts.log.Info("agent started", zap.Stringer("service", config.path()), zap.Stringer("data", config.data))
	reloader := newKeyReloader(flags.keyFile, parts.log, node.setKeys)
	defer reloader.Close()
	select {
	case <-ctx.Done():
	case <-node.tomb.Dead():
	}
	parts.log.Info("agent draining")
	return node.runStop()
}

// newAgentNode starts an agent. It waits for the settings of its service, which
// any balancer can give, until ctx ends.
func newAgentNode(ctx context.Context, config agentConfig, parts nodeParts, callers *tls.Config) (_ *agentNode, err error) {
	n := &agentNode{config: config, log: parts.log.With(zap.Stringer("service", config.path()), zap.Stringer("data", config.data))}
	defer func() {
		if err != nil {
			_ = n.closeParts()
		}
	}()
	if n.control, err = newControlNode(config.control, parts); err != nil {
		return nil, err
	}
	n.follower = follower.New(
		follower.WithService(config.path()),
		follower.WithFetch(n.control.fetch),
		follower.WithPeers(func() []netip.AddrPort { return config.peers }),
		follower.WithLogger(n.log),
		follower.WithMeter(parts.meter),
	)
	policy, err := n.awaitSettings(ctx)
	if err != nil {
		return nil, err
	}
	if err := n.announce(ctx, policy, parts); err != nil {
		return nil, err
	}
	if err := n.serve(policy, parts, callers); err != nil {
		return nil, err
	}
	n.control.start()
	n.tomb.Go(n.run)
	return n, nil
}

// policy returns what is in force for the agent's service. Once the service is
// taken out of the settings, no flow is admitted, and the flows that are open go
// on under what was in force last.
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

// announce starts the announcement. The incarnation is settled before the first
// flow, since every connection ID carries it.
func (n *agentNode) announce(ctx context.Context, policy settings.Service, parts nodeParts) error {
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
		announcer.WithHigherRevision(n.follower.Offer),
		announcer.WithNewIncarnation(n.endOldRun),
		announcer.WithStore(parts.store),
		announcer.WithLogger(n.log),
		announcer.WithMeter(parts.meter),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	return n.announcer.Announced(ctx)
}

// confirm asks the keepers whether a run of another agent of the service is gone.
func (n *agentNode) confirm(ctx context.Context, run limit.Run) (bool, error) {
	var failures []error
	for _, addr := range n.announcer.Keepers() {
		var reply keeper.RecordsReply
		err := n.control.client.Call(ctx, addr, keeper.MethodRecords, &keeper.RecordsRequest{Service: n.policy().ID}, &reply)
		if err == nil {
			return hasEnded(reply.Upstreams, run), nil
		}
		failures = append(failures, err)
	}
	return false, trace.NewAggregate(failures...)
}

// hasEnded reports whether the run has ended, or a later one is at its address.
func hasEnded(upstreams []roster.UpstreamStatus, run limit.Run) bool {
	for _, u := range upstreams {
		if u.Data == run.Address {
			return u.Incarnation > run.Incarnation || (u.Gone && u.Incarnation == run.Incarnation)
		}
	}
	return false
}

// serve starts the request and flow side.
func (n *agentNode) serve(policy settings.Service, parts nodeParts, callers *tls.Config) error {
	n.serves.Store(true)
	incarnation := n.announcer.Self().Incarnation
	run := limit.Run{Address: n.config.data, Incarnation: incarnation, Nonce: rand.Uint32()}
	var err error
	n.leaseholder, err = leaseholder.New(parts.store, n.config.path(), run, n.policy,
		leaseholder.WithUpdates(n.follower.Updates()),
		leaseholder.WithConfirm(n.confirm),
		leaseholder.WithHosts(n.announcer.Hosts),
		leaseholder.WithLogger(n.log),
		leaseholder.WithMeter(parts.meter),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	transport := dispatcher.NewPeerTransport(parts.tls)
	n.dispatcher, err = dispatcher.New(n.config.upstream, n.policy,
		dispatcher.WithSelf(dispatcher.Self{Service: policy.ID, Address: n.config.data, Incarnation: incarnation}),
		dispatcher.WithTicketKeys(parts.keys.ticket),
		dispatcher.WithPeers(peers{announcer: n.announcer}, transport),
		dispatcher.WithLogger(n.log),
		dispatcher.WithMeter(parts.meter),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	if n.peerServer, err = newPeerServer(n.config.data, parts.tls, n.dispatcher.PeerHandler()); err != nil {
		return err
	}
	if err := n.control.server.Register("Limits", leaseholder.NewLimits(n.leaseholder)); err != nil {
		return trace.Wrap(err)
	}
	n.agent, err = agent.New(agent.Config{
		Addr:        n.config.data,
		Service:     policy.ID,
		Incarnation: incarnation,
		Keys:        parts.keys.packet,
		TLS:         callers,
		Gate:        n.leaseholder,
		Handler:     n.dispatcher,
	},
		agent.WithFresh(n.announcer.HeardSince),
		agent.WithBalancers(n.announcer.Balancers),
		agent.WithWeight(n.config.weight),
		agent.WithLogger(n.log),
		agent.WithMeter(parts.meter),
	)
	return trace.Wrap(err)
}

// run begins to serve once flows can be admitted, and passes the load on until
// the agent stops.
func (n *agentNode) run() error {
	ticker := time.NewTicker(_loadInterval)
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

// endOldRun ends a run that serves under an incarnation which the fleet remembers
// as used up. Connection IDs and leases carry it, and balancers take its flows for
// those of a run that has ended, so only a new run can serve. Before a run serves,
// it simply begins with the adopted incarnation.
func (n *agentNode) endOldRun(adopted service.Incarnation) {
	if n.serves.Load() {
		n.tomb.Kill(trace.CompareFailed("run of %v at %v: the fleet remembers a later one, the next is %d",
			n.config.path(), n.config.data, adopted))
	}
}

// setKeys replaces the keys that are accepted. Connection IDs and tickets are
// issued under the keys of the start, so an agent uses a new key from its next run on.
func (n *agentNode) setKeys(k keys) { n.agent.SetKeys(k.packet) }

// runStop stops the agent within the operator's drain deadline.
func (n *agentNode) runStop() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.policy().DrainDeadline))
	defer cancel()
	return n.Stop(ctx)
}

// Stop takes no new flows, waits until the open ones have ended or ctx ends,
// and closes. Requests in progress are not cut before that.
func (n *agentNode) Stop(ctx context.Context) error {
	n.leaseholder.Drain()
	n.announcer.SetState(service.Draining)
	n.dispatcher.Leave()
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
	return trace.NewAggregate(err, n.closeParts())
}

func (n *agentNode) closeParts() error {
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
