package main

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"net/url"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/control"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/service"
)

// nodeConfig is the configuration common to balancers and agents.
type nodeConfig struct {
	region  service.Region
	place   service.Place
	data    netip.AddrPort
	control netip.AddrPort
	peers   []netip.AddrPort
}

// nodeFlags are the flags common to balancers and agents: a nodeConfig, and the
// credentials, keys and platform that the process uses.
type nodeFlags struct {
	*flagSet
	config    nodeConfig
	metrics   netip.AddrPort
	platform  platformFlags
	control   credentialFiles
	keyFile   string
	logLevel  zapcore.Level
	logOutput io.Writer
}

func newNodeFlags(role string, stderr io.Writer) *nodeFlags {
	f := &nodeFlags{flagSet: newFlagSet("dandelionhitch "+role, stderr), logOutput: stderr}
	f.text(&f.config.region, "region", "region where this process runs, such as oslo")
	f.text(&f.config.place, "place", "place (availability zone) where this process runs, such as oslo-a")
	f.text(&f.config.data, "data", "IP:PORT of this process for wrapped packets (UDP)")
	f.text(&f.config.control, "control", "IP:PORT of this process for calls of other processes (TCP)")
	f.addresses(&f.config.peers, "peers", "IP:PORT of the control of a few balancers, separated by commas")
	f.text(&f.metrics, "metrics", "IP:PORT of the metrics and readiness endpoint (HTTP); not set: none")
	f.text(&f.logLevel, "log-level", "debug, info, warn or error")
	f.StringVar(&f.keyFile, "keys", "", "JSON file of the keys shared by balancers and agents")
	f.platform.add(f.flagSet)
	f.control.add(f.flagSet)
	f.require("region", "place", "data", "control", "keys", "control-cert", "control-key", "control-ca")
	return f
}

func (f *credentialFiles) add(s *flagSet) {
	s.StringVar(&f.cert, "control-cert", "", "PEM file of the certificate for calls between processes")
	s.StringVar(&f.key, "control-key", "", "PEM file of that certificate's key")
	s.StringVar(&f.ca, "control-ca", "", "PEM file of the authority that signs all of these certificates")
}

// platformFlags are the flags for access to the platform's object API.
type platformFlags struct {
	url       string
	tokenFile string
}

func (p *platformFlags) add(s *flagSet) {
	s.Func("platform", "URL of the platform's object API", func(value string) error {
		parsed, err := url.Parse(value)
		if err == nil && (parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https")) {
			err = trace.BadParameter("want a URL such as https://objects.example:8443")
		}
		s.add("-platform", err)
		p.url = value
		return nil
	})
	s.StringVar(&p.tokenFile, "platform-token", "", "file of the bearer token for the platform; not set: none")
}

// client returns a client of the platform, or nil if no URL is set.
func (p *platformFlags) client() (*platform.Client, error) {
	if p.url == "" {
		return nil, nil
	}
	base, err := url.Parse(p.url)
	if err != nil {
		return nil, trace.Wrap(err, "platform URL")
	}
	var options []platform.Option
	if p.tokenFile != "" {
		options = append(options, platform.WithTokenFile(p.tokenFile))
	}
	return platform.NewClient(base, options...), nil
}

// nodeResources are the resources that balancers and agents share. openNode opens
// them as the flags say; the try command creates its own.
type nodeResources struct {
	log   *zap.Logger
	meter metric.Meter
	keys  keys
	tls   *tls.Config
	store platform.Store
}

// openNode opens the resources that the flags name, and starts the metrics endpoint,
// where ready reports readiness. The returned function closes both.
func (f *nodeFlags) openNode(ready func() bool) (nodeResources, func(), error) {
	var resources nodeResources
	var errs []error
	var err error
	resources.log = newLogger(f.logOutput, f.logLevel)
	resources.keys, err = readKeys(f.keyFile)
	errs = append(errs, err)
	resources.tls, err = f.control.mutualTLS()
	errs = append(errs, err)
	client, err := f.platform.client()
	errs = append(errs, err)
	if err := trace.NewAggregate(errs...); err != nil {
		return resources, nil, trace.Wrap(err)
	}
	metrics, err := newMetricsServer(f.metrics, ready)
	if err != nil {
		return resources, nil, trace.Wrap(err)
	}
	resources.meter = metrics.meter()
	closeAll := func() {
		_ = metrics.Close()
		if client != nil {
			_ = client.Close()
		}
	}
	if client != nil {
		resources.store = client
	}
	return resources, closeAll, nil
}

// controlNode is a process's client and server for RPC between balancers and agents.
type controlNode struct {
	tomb     tomb.Tomb
	client   *control.Client
	server   *control.Server
	listener net.Listener
	started  bool
}

// newControlNode listens at address. The server answers no calls before start.
func newControlNode(address netip.AddrPort, resources nodeResources) (*controlNode, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for control calls at %s", address)
	}
	return &controlNode{
		client:   control.NewClient(resources.tls, control.WithMeter(resources.meter)),
		server:   control.NewServer(resources.tls, control.WithMeter(resources.meter)),
		listener: listener,
	}, nil
}

// start starts answering calls.
func (c *controlNode) start() {
	c.started = true
	c.tomb.Go(c.run)
}

func (c *controlNode) run() error {
	return trace.Wrap(c.server.Serve(c.listener))
}

// fetch requests the settings of the process at addr.
func (c *controlNode) fetch(ctx context.Context, addr netip.AddrPort, request follower.FetchRequest) (follower.FetchReply, error) {
	var reply follower.FetchReply
	err := c.client.Call(ctx, addr, follower.FetchMethod, &request, &reply)
	return reply, trace.Wrap(err)
}

// Close closes the server and the client and waits for their goroutines.
func (c *controlNode) Close() error {
	errs := []error{c.server.Close(), c.client.Close()}
	if c.started {
		errs = append(errs, c.tomb.Wait())
	}
	c.listener.Close()
	return trace.NewAggregate(errs...)
}
