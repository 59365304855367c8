package main

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/balancer"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/keeper"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// _minTableInterval is the minimum time between two updates of the routing table.
const _minTableInterval = 200 * time.Millisecond

// _balancerDrainTimeout bounds how long a stopping balancer waits until the fabric
// sends it no more datagrams.
const _balancerDrainTimeout = 30 * time.Second

// balancerConfig is the configuration of a balancer, read from its flags.
type balancerConfig struct {
	nodeConfig
	name string
	// listeners are the sockets behind a fabric that rewrites service addresses.
	// If empty, the balancer opens a wildcard socket for each service port.
	listeners []balancer.Listener
}

// balancerNode is a running balancer: the data path that forwards datagrams, the
// keeper of the member and upstream roster, the settings in force, and the control
// server.
type balancerNode struct {
	tomb     tomb.Tomb
	config   balancerConfig
	log      *zap.Logger
	control  *controlNode
	follower *follower.Follower
	keeper   *keeper.Keeper
	balancer *balancer.Balancer
	tables   tableBuilder
	// candidates is how many upstreams the routing table offers new flows to.
	candidates atomic.Int64
	// expectedHosts is the sum of max_hosts over all services in the settings.
	expectedHosts atomic.Int64
	// members are the members in the latest roster view; nil before the first view.
	members atomic.Pointer[[]roster.MemberStatus]
}

func balancerCommand(stderr io.Writer) *ffcli.Command {
	flags := newNodeFlags("balancer", stderr)
	config := &balancerConfig{}
	flags.StringVar(&config.name, "name", "", "name of this balancer, unique in the fleet")
	flags.Func("listen", "IP:PORT=ADDRESS:PORT pairs separated by commas, for a fabric that rewrites a service address to IP:PORT; not set: a wildcard socket for each port", func(value string) error {
		flags.add("-listen", config.parseListeners(value))
		return nil
	})
	flags.require("name")
	return &ffcli.Command{
		Name:       "balancer",
		ShortUsage: "dandelionhitch balancer -config FILE",
		ShortHelp:  "Forward callers' datagrams; runs on an entry VM.",
		FlagSet:    flags.FlagSet,
		Options:    flags.options(),
		Exec: func(ctx context.Context, args []string) error {
			if config.name != "" {
				flags.add("-name", service.CheckLabel("member name", config.name))
			}
			if err := flags.check(args); err != nil {
				return err
			}
			config.nodeConfig = flags.config
			return runBalancer(ctx, flags, *config)
		},
	}
}

// parseListeners reads IP:PORT=ADDRESS:PORT pairs.
func (c *balancerConfig) parseListeners(value string) error {
	var errs []error
	for item := range strings.SplitSeq(value, ",") {
		bind, address, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok {
			errs = append(errs, trace.BadParameter("%q: want IP:PORT=ADDRESS:PORT", item))
			continue
		}
		local, err := netip.ParseAddrPort(bind)
		errs = append(errs, err)
		public, err := netip.ParseAddrPort(address)
		errs = append(errs, err)
		c.listeners = append(c.listeners, balancer.Listener{Bind: local, Address: public})
	}
	return trace.NewAggregate(errs...)
}

// runBalancer runs a balancer until ctx ends, then drains it.
func runBalancer(ctx context.Context, flags *nodeFlags, config balancerConfig) error {
	ignoreHangupAndPipe()
	resources, closeResources, err := flags.openNode(func() bool { return ctx.Err() == nil })
	if err != nil {
		return err
	}
	defer closeResources()
	node, err := newBalancerNode(config, resources)
	if err != nil {
		return err
	}
	resources.log.Info("balancer started", zap.String("name", config.name), zap.Stringer("data", config.data))
	reloader := newKeyReloader(flags.keyFile, resources.log, node.setKeys)
	defer reloader.Close()
	select {
	case <-ctx.Done():
	case <-node.tomb.Dead():
	}
	resources.log.Info("balancer stopping")
	drainCtx, cancel := context.WithTimeout(context.Background(), _balancerDrainTimeout)
	defer cancel()
	return node.Stop(drainCtx)
}

// newBalancerNode starts a balancer. The balancer forwards datagrams once it has
// received the settings and knows the upstreams.
func newBalancerNode(config balancerConfig, resources nodeResources) (_ *balancerNode, err error) {
	n := &balancerNode{
		config: config,
		log:    resources.log.With(zap.String("balancer", config.name)),
		tables: tableBuilder{region: config.region},
	}
	defer func() {
		if err != nil {
			_ = n.closeComponents()
		}
	}()
	if n.control, err = newControlNode(config.control, resources); err != nil {
		return nil, err
	}
	n.follower = n.newFollower(resources)
	if n.keeper, err = n.newKeeper(resources); err != nil {
		return nil, err
	}
	n.balancer, err = balancer.New(balancer.Config{
		Addr:      config.data,
		Keys:      resources.keys.packet,
		Listeners: config.listeners,
		Wildcard:  len(config.listeners) == 0,
	}, balancer.WithLogger(n.log), balancer.WithMeter(resources.meter))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	errs := []error{
		n.keeper.Register(n.control.server),
		n.control.server.Register("Settings", n.follower.Endpoint()),
	}
	if err := trace.NewAggregate(errs...); err != nil {
		return nil, err
	}
	n.control.start()
	n.tomb.Go(n.run)
	return n, nil
}

func (n *balancerNode) newFollower(resources nodeResources) *follower.Follower {
	options := []follower.Option{
		follower.WithLogger(n.log),
		follower.WithMeter(resources.meter),
		follower.WithFetch(n.control.fetch),
		follower.WithPeers(func() []netip.AddrPort { return n.config.peers }),
	}
	if resources.store != nil {
		options = append(options, follower.WithStore(resources.store), follower.WithWatch(n.isWatcher))
	}
	return follower.New(options...)
}

func (n *balancerNode) newKeeper(resources nodeResources) (*keeper.Keeper, error) {
	self := roster.Member{
		Name:        n.config.name,
		Place:       n.config.place,
		Data:        n.config.data,
		Control:     n.config.control,
		Incarnation: service.IncarnationAt(time.Now()),
		State:       service.Serving,
	}
	options := []keeper.Option{
		keeper.WithPeers(n.config.peers...),
		keeper.WithRevision(n.follower.Revision),
		keeper.WithHigherRevisionHandler(n.follower.Offer),
		keeper.WithHosts(func() int { return int(n.expectedHosts.Load()) }),
		keeper.WithLogger(n.log),
		keeper.WithMeter(resources.meter),
	}
	if resources.store != nil {
		options = append(options, keeper.WithStore(resources.store))
	}
	k, err := keeper.New(self, n.control.client, options...)
	return k, trace.Wrap(err)
}

// run updates the routing table when the settings or the roster change. Changes that follow
// each other within _minTableInterval are combined into one update.
func (n *balancerNode) run() error {
	ticker := time.NewTicker(_minTableInterval)
	defer ticker.Stop()
	n.updateTable()
	changed := false
	for {
		select {
		case <-n.follower.Updates():
			n.keeper.RevisionChanged()
			changed = true
		case <-n.keeper.Updates():
			changed = true
		case <-ticker.C:
			if changed {
				n.updateTable()
				changed = false
			}
		case <-n.tomb.Dying():
			return nil
		}
	}
}

func (n *balancerNode) updateTable() {
	view := n.keeper.View()
	n.members.Store(&view.Members)
	document := n.follower.Current()
	n.expectedHosts.Store(expectedHosts(document))
	table, err := n.tables.build(document, view)
	if err != nil {
		n.log.Error("routing table refused, keeping the previous one", zap.Error(err))
		return
	}
	n.balancer.SetTable(table)
	n.candidates.Store(countCandidates(view))
}

func (n *balancerNode) setKeys(k keys) { n.balancer.SetKeys(k.packet) }

// Stop announces to the other members that this balancer leaves, keeps forwarding
// until the fabric sends no more datagrams or ctx ends, and closes.
func (n *balancerNode) Stop(ctx context.Context) error {
	if err := n.keeper.Drain(ctx); err != nil {
		n.log.Warn("no other member acknowledged this balancer's departure", zap.Error(err))
	}
	if err := n.balancer.Drain(ctx); err != nil {
		n.log.Warn("datagrams were still arriving at the drain timeout", zap.Error(err))
	}
	return n.Close()
}

// Close stops at once and waits for all goroutines.
func (n *balancerNode) Close() error {
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	return trace.NewAggregate(err, n.closeComponents())
}

func (n *balancerNode) closeComponents() error {
	var errs []error
	if n.balancer != nil {
		errs = append(errs, n.balancer.Close())
	}
	if n.keeper != nil {
		errs = append(errs, n.keeper.Close())
	}
	if n.follower != nil {
		errs = append(errs, n.follower.Close())
	}
	if n.control != nil {
		errs = append(errs, n.control.Close())
	}
	return trace.NewAggregate(errs...)
}
