package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"math"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/standin"
)

// Time that the stand-in upstreams of a fleet take for a short and a long request.
const (
	_shortRequestTime = 5 * time.Millisecond
	_longRequestTime  = 100 * _shortRequestTime
)

// fleet runs the balancers and agents of a plan in this process, with stand-ins for
// the platform, the fabric that routes callers' datagrams, and the upstreams.
type fleet struct {
	plan      *plan
	log       *zap.Logger
	authority *authority
	keyData   []byte
	resources nodeResources
	platform  *standin.Platform
	client    *platform.Client
	fabric    *standin.Fabric
	balancers []*balancerNode
	// killed holds the indexes of the balancers that are closed already.
	killed    map[int]bool
	upstreams []*standin.Upstream
	agents    []*agentNode
}

// newFleet starts the stand-ins and submits the first settings. It starts no
// balancers or agents; startBalancers and startAgents do.
func newFleet(ctx context.Context, p *plan, limits settings.Values, log *zap.Logger) (_ *fleet, err error) {
	f := &fleet{plan: p, log: log, fabric: standin.NewFabric(1), killed: make(map[int]bool)}
	defer func() {
		if err != nil {
			_ = f.Close()
		}
	}()
	if f.platform, err = standin.NewPlatform(); err != nil {
		return nil, err
	}
	f.client = platform.NewClient(f.platform.URL())
	if f.resources, err = f.newResources(); err != nil {
		return nil, err
	}
	if err := f.startUpstreams(); err != nil {
		return nil, err
	}
	for _, s := range p.services {
		if err := f.fabric.Listen(s.address); err != nil {
			return nil, err
		}
	}
	return f, f.submitEdits(ctx, "first settings", p.edits(limits)...)
}

// newResources creates the keys, certificates and clients that all nodes share.
func (f *fleet) newResources() (nodeResources, error) {
	var err error
	if f.authority, err = newAuthority(); err != nil {
		return nodeResources{}, err
	}
	cert, err := f.authority.issue("control")
	if err != nil {
		return nodeResources{}, err
	}
	var file bytes.Buffer
	if err := printNewKeys(&file); err != nil {
		return nodeResources{}, err
	}
	f.keyData = file.Bytes()
	parsed, err := parseKeys(f.keyData)
	if err != nil {
		return nodeResources{}, err
	}
	return nodeResources{
		log:   f.log,
		meter: noop.NewMeterProvider().Meter(_meterName),
		keys:  parsed,
		tls:   mutualConfig(cert, f.authority.pool),
		store: f.client,
	}, nil
}

func (f *fleet) startUpstreams() error {
	for i, host := range f.plan.hosts {
		upstream, err := standin.NewUpstream(host.config.service, host.label,
			standin.WithShortDuration(_shortRequestTime), standin.WithLongDuration(_longRequestTime))
		if err != nil {
			return err
		}
		f.upstreams = append(f.upstreams, upstream)
		if f.plan.hosts[i].config.upstream, err = url.Parse(upstream.URL()); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// startBalancers starts all balancers and directs the fabric's datagrams to them.
func (f *fleet) startBalancers() error {
	for _, config := range f.plan.balancers {
		node, err := newBalancerNode(config, f.resources)
		if err != nil {
			return trace.Wrap(err, "start %s", config.name)
		}
		f.balancers = append(f.balancers, node)
	}
	f.fabric.SetBalancers(f.plan.balancerAddresses()...)
	return nil
}

// startAgents starts all agents, each with a certificate of its service.
func (f *fleet) startAgents(ctx context.Context) error {
	certs := make(map[service.Name]*tls.Config)
	for _, s := range f.plan.services {
		cert, err := f.authority.issue(string(s.name))
		if err != nil {
			return err
		}
		certs[s.name] = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	}
	for _, host := range f.plan.hosts {
		node, err := newAgentNode(ctx, host.config, f.resources, certs[host.config.service])
		if err != nil {
			return trace.Wrap(err, "start agent %s", host.label)
		}
		f.agents = append(f.agents, node)
	}
	return nil
}

// awaitServing waits until every balancer's routing table offers new flows to every upstream.
func (f *fleet) awaitServing(ctx context.Context) error {
	for !f.isServing() {
		if !sleepContext(ctx, _fleetPollInterval) {
			return trace.Wrap(ctx.Err(), "wait until all upstreams are known to all balancers")
		}
	}
	return nil
}

func (f *fleet) isServing() bool {
	for _, b := range f.balancers {
		if b.candidates.Load() < int64(len(f.agents)) {
			return false
		}
	}
	return true
}

// callerTLS returns the TLS configuration with which callers verify a service.
func (f *fleet) callerTLS() *tls.Config {
	return &tls.Config{RootCAs: f.authority.pool, MinVersion: tls.VersionTLS13}
}

// killBalancer closes a balancer without draining it. The fabric still sends it
// datagrams, which are lost, until removeBalancer.
func (f *fleet) killBalancer(i int) error {
	f.killed[i] = true
	return f.balancers[i].Close()
}

// removeBalancer makes the fabric send its datagrams to the planned balancers other than
// this one.
func (f *fleet) removeBalancer(i int) {
	addresses := f.plan.balancerAddresses()
	f.fabric.SetBalancers(append(addresses[:i], addresses[i+1:]...)...)
}

// Close closes all nodes and stand-ins and waits for their goroutines.
func (f *fleet) Close() error {
	var errs []error
	for _, a := range f.agents {
		errs = append(errs, a.Close())
	}
	for i, b := range f.balancers {
		if !f.killed[i] {
			errs = append(errs, b.Close())
		}
	}
	errs = append(errs, f.fabric.Close())
	for _, u := range f.upstreams {
		errs = append(errs, u.Close())
	}
	if f.client != nil {
		errs = append(errs, f.client.Close())
	}
	if f.platform != nil {
		errs = append(errs, f.platform.Close())
	}
	return trace.NewAggregate(errs...)
}

// submitEdits submits a settings change and returns once it is accepted.
func (f *fleet) submitEdits(ctx context.Context, reason string, edits ...settings.Edit) error {
	editor := follower.NewEditor(f.client)
	state, err := editor.Load(ctx)
	if err != nil {
		return err
	}
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return trace.Wrap(err)
	}
	_, err = editor.Submit(ctx, audit.Change{
		ID:     audit.NewChangeID(random),
		Base:   state.Document.Revision(),
		Author: "try",
		Time:   time.Now(),
		Reason: reason,
		Edits:  edits,
	})
	return err
}

// awaitRevision waits until the latest accepted revision is in force at every running
// balancer and agent. It returns how long that took, and false if the revision was not in
// force everywhere within the time limit.
func (f *fleet) awaitRevision(ctx context.Context, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	state, err := follower.NewEditor(f.client).Load(ctx)
	if err != nil {
		return time.Since(start), false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for f.lowestRevision() < state.Document.Revision() {
		if !sleepContext(ctx, _fleetPollInterval) {
			return time.Since(start), false
		}
	}
	return time.Since(start), true
}

// _fleetPollInterval is how often the state of a fleet is checked while waiting.
const _fleetPollInterval = 5 * time.Millisecond

func (f *fleet) lowestRevision() settings.Revision {
	lowest := settings.Revision(math.MaxUint64)
	for i, b := range f.balancers {
		if !f.killed[i] {
			lowest = min(lowest, b.follower.Revision())
		}
	}
	for _, a := range f.agents {
		if a.tomb.Alive() {
			lowest = min(lowest, a.follower.Revision())
		}
	}
	return lowest
}
