package main

import (
	"context"
	"io"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap/zapcore"

	"dandelionhitch.example/platform"
)

// opaqueFlags are the settings that relay and sidecar share.
type opaqueFlags struct {
	*flagSet
	node       string
	zone       string
	addr       netip.Addr
	ready      netip.AddrPort
	control    netip.AddrPort
	metrics    netip.AddrPort
	seeds      []netip.AddrPort
	peerPort   uint
	peerListen netip.AddrPort
	memoryMB   uint
	grace      time.Duration
	upstreamMode string
	platform   platformFlags
	logLevel   zapcore.Level
	logOutput  io.Writer
}

// _hostedMode is the only way to reach upstreams that is served: through a
// sidecar on the upstream's host.
const _agentUpstreamMode = "agent"

// Defaults of opaque settings.
const (
	_defaultGrace    = 6 * time.Second // what the users' deployments give a process to stop
	_defaultMemoryMB = 64
)

// _flowMemoryShare is the part of a process's memory that flows may fill.
const _flowMemoryShare = 0.3

func newOpaqueFlags(role string, stdout, stderr io.Writer) *opaqueFlags {
	f := &opaqueFlags{flagSet: newFlagSet("dandelionhitch "+role, stderr), logOutput: stdout}
	f.StringVar(&f.node, "node", "", "name of this VM in logs")
	f.StringVar(&f.zone, "zone", "", "availability zone of this VM, such as oslo-a")
	f.text(&f.addr, "addr", "IP of this VM")
	f.text(&f.ready, "ready", "IP:PORT where readiness is asked (HTTP)")
	f.text(&f.control, "control", "IP:PORT where upstreams report (HTTP)")
	f.text(&f.metrics, "metrics", "IP:PORT of the metrics endpoint (HTTP); not set: none")
	f.addresses(&f.seeds, "seeds", "IP:PORT of a few relays, separated by commas; the port is ignored")
	f.UintVar(&f.peerPort, "peer-port", 0, "port for messages between processes, the same on every VM")
	f.text(&f.peerListen, "peer-listen", "IP:PORT where this process takes messages, if something passes them on from addr and peer-port")
	f.UintVar(&f.memoryMB, "memory-mb", _defaultMemoryMB, "memory that this process may use, in MB")
	f.DurationVar(&f.grace, "grace", _defaultGrace, "time that a process gets to stop")
	f.StringVar(&f.upstreamMode, "upstream-mode", _agentUpstreamMode, "how upstreams are reached; only agent is served")
	f.text(&f.logLevel, "log-level", "debug, info, warn or error")
	f.platform.add(f.flagSet)
	f.require("node", "zone", "addr", "ready", "control", "peer-port")
	return f
}

// check checks what relay and sidecar share.
func (f *opaqueFlags) check(args []string) error {
	if f.peerPort > 1<<16-1 {
		f.add("-peer-port", trace.BadParameter("%d is not a port", f.peerPort))
	}
	if f.upstreamMode != _agentUpstreamMode {
		f.add("-upstream-mode", trace.BadParameter("%q is not served, only %q is", f.upstreamMode, _agentUpstreamMode))
	}
	return f.flagSet.check(args)
}

// common returns the settings that relay and sidecar share.
func (f *opaqueFlags) common() *opaqueFlags { return f }

// opaqueRole is the settings of a relay or of a sidecar.
type opaqueRole interface {
	common() *opaqueFlags
	check(args []string) error
	// run runs the process until ctx ends.
	run(ctx context.Context) error
}

func opaqueCommand(name, help string, f opaqueRole) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "dandelionhitch " + name + " -config FILE [flags]",
		ShortHelp:  help,
		FlagSet:    f.common().FlagSet,
		Options:    f.common().options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := f.check(args); err != nil {
				return err
			}
			return f.run(ctx)
		},
	}
}

// readSeeds returns the seeds of a settings file, which must be right as a whole.
// read holds nothing yet.
func readSeeds(path string, role opaqueRole) ([]netip.Addr, error) {
	f := role.common()
	if err := ff.Parse(f.FlagSet, []string{"-config", path}, f.options()...); err != nil {
		return nil, err
	}
	return f.seedAddrs(), role.check(nil)
}

// maxFlows returns how many flows the process may remember, each of so many bytes.
func (f *opaqueFlags) maxFlows(bytesPerFlow float64) int {
	return int(float64(f.memoryMB<<20) * _flowMemoryShare / bytesPerFlow)
}

// seedAddrs returns the seeds' VMs.
func (f *opaqueFlags) seedAddrs() []netip.Addr {
	var out []netip.Addr
	for _, seed := range f.seeds {
		if seed.Addr() != f.addr {
			out = append(out, seed.Addr())
		}
	}
	return out
}

// storeClient returns a client of the store, or nil if none is set.
func (f *opaqueFlags) storeClient() (*platform.Client, error) {
	if f.platform.url == "" {
		return nil, nil
	}
	base, err := url.Parse(f.platform.url)
	if err != nil {
		return nil, trace.Wrap(err, "platform URL")
	}
	// Who reads again after a failure, and when, is decided for the fleet as a whole.
	return platform.NewClient(base, platform.WithReadTries(1), platform.WithCallTimeout(_storeCallTimeout)), nil
}

const (
	// _storeCallTimeout bounds one call to the store: some five times what a slow
	// store takes.
	_storeCallTimeout = 1200 * time.Millisecond
	// _firstCallTimeout is the bound while no configuration is known: a call that
	// hangs since the store was away must not outlast its return.
	_firstCallTimeout = 400 * time.Millisecond
)

// incarnation returns a number that no other run at this address has.
func incarnation() uint64 {
	return uint64(time.Now().UnixNano())<<16 ^ uint64(os.Getpid())
}
