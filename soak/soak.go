// Package soak runs the real relays and sidecars as processes of one machine,
// under faults that come from outside of them, and checks what must always hold
// from what callers and upstreams see.
//
// A run is made from its seed: the faults, their times and the calls. The
// processes' own timing differs from run to run. Everything around the processes
// is a stand-in: the store, routers, callers and upstreams speak to them over
// loopback sockets, and every message between two processes passes a proxy that
// can lose, delay or cut it in one direction.
//
//	callers ─► routers ─► relay ─► proxy ─► sidecar ─► upstream
//	   ▲                    store: HTTP      │
//	   └─────────────────────────────────────┘
//
// Faults overlap: processes are stopped, killed, paused and started again, links
// are cut, the store fails in each of its ways, upstreams crash, drain and start,
// and the configuration changes. Then all faults end, and the run checks that
// everything is served again.
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

// Config says what is run.
type Config struct {
	// Program is the path of the program.
	Program string
	// Dir is where settings and logs of the processes go.
	Dir  string
	Seed uint64
	// Faults is how long faults come; Rest is how long the fleet is watched after
	// the last has ended.
	Faults, Rest time.Duration
	// Relays and Hosts are the numbers of processes; hosts are of two services.
	Relays, Hosts int
	// CallsPerSecond is the mean rate of calls.
	CallsPerSecond float64
	// Progress gets a line for each fault.
	Progress io.Writer
}

// Times of a run.
const (
	// _start is how long the fleet gets to start before calls and faults begin.
	_start = 6 * time.Second
	// _settle is how long after the last fault everything must be served again.
	_settle = 6 * time.Second
	// _step is the time between two looks at what is due.
	_step = 4 * time.Millisecond
	// _callTimeout is how long a caller waits.
	_callTimeout = 4 * time.Second
	// _drainSlack is how long after the acknowledged drain an opening packet may
	// still arrive that was on its way.
	_drainSlack = 100 * time.Millisecond
)

// Promise is something that must always hold.
type Promise struct {
	Name string
	// Checked is how often it was checked.
	Checked int
	// Breaches are what did not hold, in words.
	Breaches []string
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Calls    int
	Answered int
	Faults   []string
	Promises []*Promise
}

// Broken reports whether any promise was broken.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Promises, func(p *Promise) bool { return len(p.Breaches) > 0 })
}

// Print writes the report.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d calls, %d answered, %d faults\n", r.Seed, r.Calls, r.Answered, len(r.Faults))
	for _, p := range r.Promises {
		verdict := "held"
		if len(p.Breaches) > 0 {
			verdict = fmt.Sprintf("BROKEN %d times, first: %s", len(p.Breaches), p.Breaches[0])
		}
		fmt.Fprintf(w, "  %-34s checked %6d times  %s\n", p.Name, p.Checked, verdict)
	}
}

// Names of the promises.
const (
	_flowsKept   = "open flows are not reset"
	_ownService  = "flows reach their own service"
	_unchanged   = "packets arrive as they were sent"
	_drained     = "no new flow after a drain"
	_once        = "requests run at most once"
	_inForce     = "the last configuration is in force"
	_servedAgain = "all is served after the faults"
)

// Run plays one seed.
func Run(config Config) (*Report, error) {
	if err := os.MkdirAll(config.Dir, 0o755); err != nil {
		return nil, trace.Wrap(err, "soak")
	}
	r, err := newRun(config)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.play()
	return r.report(), nil
}

// run is a soak in progress.
type run struct {
	config   Config
	random   *rand.Rand
	more     *rand.Rand
	began    time.Time
	store    *standin.Platform
	client   *platform.Client
	starter  *starter
	links    *links
	ports    ports
	reserved *reservation
	promises map[string]*Promise
	faults   []string
	tomb     tomb.Tomb
	// started says that the loop runs.
	started bool

	mu     sync.Mutex
	vms    []*vm
	calls  []*call
	active map[flow.Key]*call
	ran    map[string]int
	// version and flip are the last configuration: where the flipping address leads.
	version uint64
	flip    string
	flipped time.Duration
	object  platform.Version
}

func newRun(config Config) (*run, error) {
	store, err := standin.NewPlatform(standin.WithPlatformSeed(config.Seed))
	if err != nil {
		return nil, err
	}
	r := &run{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		more: rand.New(rand.NewPCG(config.Seed, 2)), began: time.Now(), store: store,
		client:   platform.NewClient(store.URL()),
		starter:  newStarter(config.Program),
		promises: make(map[string]*Promise), active: make(map[flow.Key]*call), ran: make(map[string]int),
	}
	for _, name := range []string{_flowsKept, _ownService, _unchanged, _drained, _once, _inForce, _servedAgain} {
		r.promises[name] = &Promise{Name: name}
	}
	if r.reserved, err = reservePorts(); err != nil {
		return nil, err
	}
	r.ports = r.reserved.ports
	if r.links, err = newLinks(r.ports, config.Seed); err != nil {
		return nil, err
	}
	return r, nil
}

// now returns the time since the start.
func (r *run) now() time.Duration { return time.Since(r.began) }

// check notes one check of a promise, and the breach if it did not hold.
func (r *run) check(name string, held bool, format string, args ...any) {
	p := r.promises[name]
	p.Checked++
	if !held {
		p.Breaches = append(p.Breaches, fmt.Sprintf("%v: ", r.now().Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// start starts the fleet and the stand-ins around it.
func (r *run) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.configure(_orders); err != nil {
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
	r.started = true
	r.tomb.Go(r.loop)
	return nil
}

// loop ticks the stand-ins.
func (r *run) loop() error {
	ticker := time.NewTicker(_step)
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

func (r *run) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, v := range r.vms {
		v.tick(now)
	}
	for key, c := range r.active {
		c.Tick(now)
		if c.Done() && now-c.Ended > time.Second {
			delete(r.active, key)
		}
	}
}

// play makes calls and faults until the time is over.
func (r *run) play() {
	time.Sleep(_start)
	faultsEnd := _start + r.config.Faults
	end := faultsEnd + _settle + r.config.Rest
	schedule := r.schedule(faultsEnd)
	nextCall := r.now()
	for r.now() < end {
		now := r.now()
		for len(schedule) > 0 && schedule[0].at <= now {
			r.apply(schedule[0])
			schedule = schedule[1:]
		}
		for nextCall <= now {
			r.call()
			nextCall += time.Duration(r.random.ExpFloat64() * float64(time.Second) / r.config.CallsPerSecond)
		}
		time.Sleep(_step)
	}
	time.Sleep(_callTimeout)
}

// report checks what can be checked at the end.
func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Seed: r.config.Seed, Calls: len(r.calls), Faults: r.faults}
	settled := _start + r.config.Faults + _settle
	for _, c := range r.calls {
		if c.State == standin.CallAnswered {
			out.Answered++
		}
		if c.Began > settled {
			r.check(_servedAgain, c.State == standin.CallAnswered, "flow %v: state %d", c.Key, c.State)
		}
		if c.Began > settled && c.State == standin.CallAnswered && c.Key.Address == r.address(_flipping) {
			r.check(_inForce, c.service == r.flip, "flow %v reached %s, the configuration says %s", c.Key, c.service, r.flip)
		}
	}
	for request, n := range r.ran {
		r.check(_once, n == 1, "request %s ran %d times", request, n)
	}
	for _, name := range []string{_flowsKept, _ownService, _unchanged, _drained, _once, _inForce, _servedAgain} {
		out.Promises = append(out.Promises, r.promises[name])
	}
	return out
}

// close ends everything that the run started.
func (r *run) close() {
	r.starter.close()
	r.tomb.Kill(nil)
	r.links.close()
	r.mu.Lock()
	for _, v := range r.vms {
		v.close()
	}
	r.mu.Unlock()
	// What the run sees is in its report; a stand-in that does not close in order
	// changes nothing.
	if r.started {
		_ = r.tomb.Wait()
	}
	_ = r.client.Close()
	_ = r.store.Close()
	r.reserved.close()
}

// logPath is where the log of a VM's process goes.
func (r *run) logPath(addr netip.Addr) string {
	return filepath.Join(r.config.Dir, addr.String()+".log")
}
