// Package soak runs real relays and sidecars as processes on one machine, injects
// faults from outside, and checks the promises of the system on the packets that
// callers and upstreams receive.
//
// The seed of a run determines the faults, their times and the calls. Runs with odd seeds have
// the setting priority_admission, and end with an overload. The timing
// inside the processes differs from run to run. Everything around the processes is
// simulated: the store, routers, callers and upstreams talk to them over loopback
// sockets. Every message between two processes passes a proxy that can lose, delay
// or duplicate it, and can cut the link in one direction.
//
//	callers ─► routers ─► relay ─► proxy ─► sidecar ─► upstream
//	   ▲                    store: HTTP      │
//	   └─────────────────────────────────────┘
//
// Faults overlap: processes are stopped, killed, paused and restarted, links are
// disturbed, the store refuses requests, answers late, loses answers or is restored from an
// older copy, upstreams crash, drain and restart, upstreams of the other service take over
// their addresses, and the configuration changes. Then all faults end, and
// the run checks that every call is answered again.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// Config configures a run.
type Config struct {
	// Program is the path of the dandelionhitch executable. If EarlierProgram is not empty,
	// it is the path of an executable of another build, which runs on every second VM.
	Program, EarlierProgram string
	// Dir is the directory for the settings and logs of the processes. It is created
	// if it does not exist.
	Dir  string
	Seed uint64
	// FaultDuration is how long faults are injected. RestDuration is how long calls continue after
	// the faults have ended and the fleet has had time to recover.
	FaultDuration, RestDuration time.Duration
	// Relays and Hosts are the numbers of VMs that run a relay, and of VMs that run a
	// sidecar with an upstream. The hosts are divided between two services.
	Relays, Hosts int
	// OnlyReuse, if not nil, is the only fault of the run. It befalls the first host.
	OnlyReuse *Reuse
	// CallsPerSecond is the mean rate of calls.
	CallsPerSecond float64
	// Progress, if not nil, receives a line for each start and end of a fault.
	Progress io.Writer
}

// Times of a run.
const (
	// _startupTime is how long the fleet has to start before calls and faults begin.
	_startupTime = 6 * time.Second
	// _settleTime is how long the fleet has to recover after FaultDuration has passed;
	// calls that start later must be answered.
	_settleTime = 6 * time.Second
	// _tickInterval is the interval at which due events, calls and timers are processed.
	_tickInterval = 4 * time.Millisecond
	// _callTimeout is how long a caller waits for the answer to its request.
	_callTimeout = 4 * time.Second
	// _drainTolerance is how long after the acknowledgement of a drain an opening packet
	// that was already in flight may still arrive.
	_drainTolerance = 100 * time.Millisecond
)

// Promise is an invariant of the system, with the results of its checks.
type Promise struct {
	Name string
	// Checks is the number of times that the promise was checked.
	Checks int
	// Breaches describe the checks that failed, each with the time since the start of
	// the run.
	Breaches []string
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64
	// Calls is the number of calls made, Answered the number that got an answer.
	Calls    int
	Answered int
	// FlowsAtReused is the number of flows that upstreams of their own service have taken at
	// addresses that another service had before.
	FlowsAtReused int
	// Faults are lines that describe the starts and ends of faults in the order of time,
	// and the failures to apply them.
	Faults   []string
	Promises []*Promise
}

// Broken reports whether any promise was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Promises, func(p *Promise) bool { return len(p.Breaches) > 0 })
}

// Print writes a summary of the run to w, with one line for each promise.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d calls, %d answered, %d faults\n", r.Seed, r.Calls, r.Answered, len(r.Faults))
	for _, p := range r.Promises {
		verdict := "held"
		if len(p.Breaches) > 0 {
			verdict = fmt.Sprintf("BROKEN %d times, first: %s", len(p.Breaches), p.Breaches[0])
		}
		fmt.Fprintf(w, "  %-34s checked %6d times  %s\n", p.Name, p.Checks, verdict)
	}
}

// Names of the promises, as the report prints them.
const (
	_noReset          = "open flows are not reset"
	_rightService     = "flows reach their own service"
	_unaltered        = "packets arrive as they were sent"
	_noFlowAfterDrain = "no new flow after a drain"
	_noFlowEvacuated  = "no new flow in an evacuated zone"
	_atMostOnce       = "requests run at most once"
	_lastConfig       = "the last configuration is in force"
	_recovery         = "all is served after the faults"
	_inOrder          = "packets stay in order"
	_byPriority       = "priority decides who is refused"
)

var _promises = []string{
	_noReset, _rightService, _unaltered, _noFlowAfterDrain, _noFlowEvacuated, _atMostOnce, _lastConfig, _recovery, _inOrder, _byPriority,
}

// Run performs a soak run and returns its report. A broken promise is not an error:
// the error says that the run could not be set up.
func Run(config Config) (*Report, error) {
	if err := os.MkdirAll(config.Dir, 0o755); err != nil {
		return nil, trace.Wrap(err, "create soak directory")
	}
	r, err := newRun(config)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.runSchedule()
	return r.report(), nil
}

// run is a soak run in progress.
type run struct {
	config Config
	// random draws the calls and the faults, except for the faults of drawExtraFault.
	random      *rand.Rand
	extraRandom *rand.Rand
	pauseRandom *rand.Rand
	// demandRandom draws long-lived flows and the overload.
	demandRandom *rand.Rand
	startTime    time.Time
	store        *standin.Platform
	client       *platform.Client
	// objects is client, unless a test replaces it.
	objects  platform.Store
	starter  *starter
	proxy    *proxy
	ports    ports
	reserved *reservation
	promises map[string]*Promise
	faults   []string
	tomb     tomb.Tomb
	// loopStarted reports whether tomb has a goroutine to wait for.
	loopStarted bool

	mu    sync.Mutex
	vms   []*vm
	calls []*call
	// active are the calls in progress, and those that ended at most 1 s ago.
	active map[flow.Key]*call
	// executions counts how often upstreams ran each request, by the request's text.
	executions map[string]int
	// serviceByUpstream is the service of each upstream that was started, by its name.
	serviceByUpstream map[string]string
	flowsAtReused     int
	// requests are the requests that have ended, and overloadAt is when the overload began.
	requests   []endedRequest
	overloadAt time.Duration
	// configVersion is the version of the last configuration that was written, and
	// objectVersion the version of its object in the store. The configuration was written
	// at switchedAt and routes _switchedAddress to switchedService.
	configVersion   uint64
	switchedService string
	// unresolvedService is the service to which the last write routes _switchedAddress, if
	// it is not known whether that write took effect, and empty otherwise.
	unresolvedService string
	switchedAt        time.Duration
	objectVersion     platform.Version
	drill             drill
}

func newRun(config Config) (*run, error) {
	store, err := standin.NewPlatform(standin.WithPlatformSeed(config.Seed))
	if err != nil {
		return nil, err
	}
	r := &run{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		extraRandom: rand.New(rand.NewPCG(config.Seed, 2)), pauseRandom: rand.New(rand.NewPCG(config.Seed, 4)),
		demandRandom: rand.New(rand.NewPCG(config.Seed, 6)), startTime: time.Now(), store: store,
		client:   platform.NewClient(store.URL()),
		starter:  newStarter(),
		promises: make(map[string]*Promise), active: make(map[flow.Key]*call), executions: make(map[string]int),
		serviceByUpstream: make(map[string]string),
	}
	r.objects = r.client
	for _, name := range _promises {
		r.promises[name] = &Promise{Name: name}
	}
	if r.reserved, err = reservePorts(); err != nil {
		return nil, err
	}
	r.ports = r.reserved.ports
	if r.proxy, err = newProxy(r.ports, config.Seed); err != nil {
		return nil, err
	}
	return r, nil
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.startTime) }

// check counts a check of the promise with the name. If held is false, it records a
// breach that format and args describe.
func (r *run) check(name string, held bool, format string, args ...any) {
	p := r.promises[name]
	p.Checks++
	if !held {
		p.Breaches = append(p.Breaches, fmt.Sprintf("%v: ", r.now().Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// start starts the relays and sidecars, and the simulated upstreams, routers and callers.
func (r *run) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writeConfiguration(_orders); err != nil {
		return err
	}
	for i := range r.config.Relays + r.config.Hosts {
		v, err := r.newVM(i)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
	}
	for _, v := range r.vms {
		if err := v.startProcess(); err != nil {
			return err
		}
		if v.isHost() {
			v.startUpstream()
		}
	}
	if err := r.listenForCallers(); err != nil {
		return err
	}
	r.loopStarted = true
	r.tomb.Go(r.loop)
	return nil
}

// loop calls tick until the run is closed.
func (r *run) loop() error {
	ticker := time.NewTicker(_tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.tick()
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// tick advances the VMs and the active calls, and removes calls that ended more than
// 1 s ago.
func (r *run) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, v := range r.vms {
		v.tick(now)
	}
	for key, c := range r.active {
		c.Tick(now)
		c.proceed(now)
		if c.Done() && now-c.Ended > time.Second {
			delete(r.active, key)
		}
	}
}

// runSchedule starts the calls and applies the faults, each at its time, until the end of the run.
func (r *run) runSchedule() {
	time.Sleep(_startupTime)
	faultsEnd := _startupTime + r.config.FaultDuration
	end := faultsEnd + _settleTime + r.config.RestDuration
	schedule := r.schedule(faultsEnd)
	nextCall := r.now()
	for r.now() < end {
		now := r.now()
		for len(schedule) > 0 && schedule[0].at <= now {
			r.apply(schedule[0])
			schedule = schedule[1:]
		}
		for nextCall <= now {
			r.startCall()
			nextCall += time.Duration(r.random.ExpFloat64() * float64(time.Second) / r.config.CallsPerSecond)
		}
		time.Sleep(_tickInterval)
	}
	if r.prioritized() {
		r.runOverload()
	}
	time.Sleep(_callTimeout)
}

// report makes the checks that need the results of the whole run, and returns the report.
func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Seed: r.config.Seed, Calls: len(r.calls), FlowsAtReused: r.flowsAtReused, Faults: r.faults}
	settled := _startupTime + r.config.FaultDuration + _settleTime
	for _, c := range r.calls {
		if c.answered() {
			out.Answered++
		}
		if c.startedAt > settled && !c.overload {
			r.check(_recovery, c.answered() && !c.Failed, "flow %v: state %d, failed: %v", c.Key, c.State, c.Failed)
		}
		if c.startedAt > settled && c.answered() && c.Key.Address == r.serviceAddress(_switchedAddress) {
			r.check(_lastConfig, c.service == r.switchedService || c.service == r.unresolvedService,
				"flow %v reached %s, the configuration says %s", c.Key, c.service, r.switchedService)
		}
	}
	for request, n := range r.executions {
		r.check(_atMostOnce, n == 1, "request %s ran %d times", request, n)
	}
	r.checkPriorities()
	for _, name := range _promises {
		out.Promises = append(out.Promises, r.promises[name])
	}
	return out
}

// close stops the processes and everything else that the run started.
func (r *run) close() {
	r.starter.close()
	r.tomb.Kill(nil)
	r.proxy.close()
	r.mu.Lock()
	for _, v := range r.vms {
		v.close()
	}
	r.mu.Unlock()
	// Errors from here on are ignored: the report is already complete.
	if r.loopStarted {
		_ = r.tomb.Wait()
	}
	_ = r.client.Close()
	_ = r.store.Close()
	r.reserved.close()
}

// logPath returns the path of the log of a VM's process.
func (r *run) logPath(addr netip.Addr) string {
	return filepath.Join(r.config.Dir, addr.String()+".log")
}
