package main

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"net/url"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dandelionhitch.example/platform"
)

// opaqueFlags are the settings common to relay and sidecar, the roles that forward
// callers' packets as opaque datagrams. Balancer and agent, in contrast, carry QUIC.
type opaqueFlags struct {
	*flagSet
	node         string
	zone         string
	addr         netip.Addr
	ready        netip.AddrPort
	control      netip.AddrPort
	metrics      netip.AddrPort
	seeds        []netip.AddrPort
	peerPort     uint
	peerListen   netip.AddrPort
	memoryMB     uint
	grace        time.Duration
	upstreamMode string
	// evacuationBound is the time within which an evacuation must be in force. It is zero
	// where operators evacuate no zones.
	evacuationBound time.Duration
	// priorityAdmission is as in relay.WithPriorityAdmission and sidecar.WithPriorityAdmission.
	priorityAdmission bool
	platform          platformFlags
	logLevel          zapcore.Level
	logOutput         io.Writer
	// identityChanges counts how often the process has restarted in place.
	identityChanges int
}

// _agentUpstreamMode is the only supported value of -upstream-mode: upstreams are
// reached through a sidecar on their host.
const _agentUpstreamMode = "agent"

// Defaults of the settings common to relay and sidecar.
const (
	_defaultGrace    = 6 * time.Second // the time in which users' deployments expect a process to stop
	_defaultMemoryMB = 64
)

// _addressPollInterval is how often a starting process checks whether an address that another
// process uses is free.
const _addressPollInterval = 200 * time.Millisecond

// _minEvacuationBound is the shortest bound that the shared reads of the store can keep:
// twice their longest interval.
const _minEvacuationBound = 4 * time.Second

// _flowMemoryShare is the fraction of -memory-mb that flow state may take.
const _flowMemoryShare = 0.3

// newOpaqueFlags defines the flags common to relay and sidecar. Logs go to stdout.
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
	f.DurationVar(&f.evacuationBound, "evacuation-bound", 0,
		"time within which the evacuation of a zone must be in force; 0: zones are not evacuated, and the store is not asked for it")
	f.BoolVar(&f.priorityAdmission, "priority-admission", false,
		"admit, refuse and place requests by priority where the routes of a service differ in priority")
	f.StringVar(&f.upstreamMode, "upstream-mode", _agentUpstreamMode, "how upstreams are reached; only agent is served")
	f.text(&f.logLevel, "log-level", "debug, info, warn or error")
	f.platform.add(f.flagSet)
	f.require("node", "zone", "addr", "ready", "control", "peer-port")
	return f
}

// check validates the settings common to relay and sidecar, and returns a usageError
// with all findings.
func (f *opaqueFlags) check(args []string) error {
	if f.peerPort > 1<<16-1 {
		f.add("-peer-port", trace.BadParameter("%d is not a port", f.peerPort))
	}
	if f.evacuationBound < 0 || f.evacuationBound > 0 && f.evacuationBound < _minEvacuationBound {
		f.add("-evacuation-bound", trace.BadParameter("%v is neither 0 nor at least %v", f.evacuationBound, _minEvacuationBound))
	}
	if f.upstreamMode != _agentUpstreamMode {
		f.add("-upstream-mode", trace.BadParameter("%q is not served, only %q is", f.upstreamMode, _agentUpstreamMode))
	}
	return f.flagSet.check(args)
}

// common returns the settings common to relay and sidecar.
func (f *opaqueFlags) common() *opaqueFlags { return f }

// opaqueRole is the relay or the sidecar, with its settings.
type opaqueRole interface {
	common() *opaqueFlags
	check(args []string) error
	// renew returns new, unparsed settings of the same role.
	renew() opaqueRole
	// run runs the role until ctx is done, or until the settings file names another
	// identity, and the role has drained and closed everything. In the latter case, it
	// returns the new settings.
	run(ctx context.Context) (opaqueRole, error)
}

// opaqueCommand returns the command that checks the settings of f and runs f.
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
			return runOpaque(ctx, f)
		},
	}
}

// runOpaque runs the role until ctx is done. Whenever the settings file names another
// identity, the role starts anew with those settings in the same process: the end of a
// process has a price for the users, and takes a delay until the restart that nobody states.
func runOpaque(ctx context.Context, role opaqueRole) error {
	ignoreHangupAndPipe()
	for {
		next, err := runWhenFree(ctx, role)
		if err != nil || next == nil || ctx.Err() != nil {
			return err
		}
		role = next
	}
}

// runWhenFree runs the role. While another process uses one of its addresses, it waits for
// up to the grace period, since a process that was told to stop may still drain there.
func runWhenFree(ctx context.Context, role opaqueRole) (opaqueRole, error) {
	f := role.common()
	log := newLogger(f.logOutput, f.logLevel).With(zap.String("node", f.node))
	last := ""
	for start := time.Now(); ; {
		next, err := role.run(ctx)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > f.grace {
			return next, err
		}
		if err.Error() != last {
			last = err.Error()
			log.Warn("address in use, waiting", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(_addressPollInterval):
		}
	}
}

// readAgain returns the settings that a start of the process would have now, or an error
// if any of them is invalid. It parses them into role, which must be new.
func (f *opaqueFlags) readAgain(role opaqueRole) (opaqueRole, error) {
	c := role.common()
	if err := ff.Parse(c.FlagSet, f.overrides, c.options()...); err != nil {
		return nil, trace.Wrap(err, "read settings")
	}
	if err := role.check(nil); err != nil {
		return nil, err
	}
	return role, nil
}

// maxFlows returns the number of flows whose state the process may hold, given the
// memory that each takes.
func (f *opaqueFlags) maxFlows(bytesPerFlow float64) int {
	return int(float64(f.memoryMB<<20) * _flowMemoryShare / bytesPerFlow)
}

// seedAddrs returns the addresses of the seeds other than this VM.
func (f *opaqueFlags) seedAddrs() []netip.Addr {
	var out []netip.Addr
	for _, seed := range f.seeds {
		if seed.Addr() != f.addr {
			out = append(out, seed.Addr())
		}
	}
	return out
}

// storeClient returns a client of the store, or nil if -platform is not set.
func (f *opaqueFlags) storeClient(log *zap.Logger) (*platform.Client, error) {
	if f.platform.url == "" {
		return nil, nil
	}
	base, err := url.Parse(f.platform.url)
	if err != nil {
		return nil, trace.Wrap(err, "platform URL")
	}
	// The client does not retry: retries are coordinated across all relays.
	return platform.NewClient(base, platform.WithReadTries(1), platform.WithCallTimeout(_storeCallTimeout),
		platform.WithInvalidEntryHandler(func(finding error) { log.Warn("store entry ignored", zap.Error(finding)) })), nil
}

const (
	// _storeCallTimeout bounds one call to the store: about five times the response
	// time of a slow store.
	_storeCallTimeout = 1200 * time.Millisecond
	// _firstCallTimeout replaces _storeCallTimeout until a configuration has been read:
	// a call that was sent during an outage of the store and hangs must not delay the
	// first read much beyond the end of the outage.
	_firstCallTimeout = 400 * time.Millisecond
)

// newIncarnation returns a number that identifies this run among all runs at the same
// address.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())<<16 ^ uint64(os.Getpid())
}
