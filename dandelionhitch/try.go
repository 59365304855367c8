package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/standin"
)

const (
	// _tryBalancers is the number of balancers in a try.
	_tryBalancers = 3
	// _tryCallers is the default number of callers, _maxTryCallers the maximum.
	_tryCallers    = 240
	_maxTryCallers = 2000
	// _tryRampUp is the period over which the callers start.
	_tryRampUp = time.Second
	// _tryStartTimeout bounds how long the fleet may take until it serves.
	_tryStartTimeout = 20 * time.Second
	// _inForceTimeout bounds how long an accepted settings change may take until it is
	// in force at every balancer and agent.
	_inForceTimeout = 6 * time.Second

	// _tryFlowLimit is the initial flow limit of each service at each place.
	_tryFlowLimit = 2000
)

// trial is one run of the try command: a fleet with callers, changes to the fleet
// while the callers send requests, and a report of whether the promises were held.
type trial struct {
	tomb    tomb.Tomb
	out     io.Writer
	fleet   *fleet
	results *trialResults
	callers []*trialCaller
	start   time.Time

	promises []promise
}

// promise is a guarantee that a try checks, with the outcome.
type promise struct {
	text string
	held bool
	// observed describes what the check found.
	observed string
}

func tryCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("dandelionhitch try", flag.ContinueOnError)
	flags.SetOutput(stderr)
	callers := flags.Int("callers", _tryCallers, "callers, 10 to 2000")
	level := zapcore.ErrorLevel
	flags.Func("log-level", "level of the processes' logs: debug, info, warn or error", func(s string) error {
		return level.UnmarshalText([]byte(s))
	})
	return &ffcli.Command{
		Name:       "try",
		ShortUsage: "dandelionhitch try [-callers N]",
		ShortHelp:  "Run all roles and stand-ins in one process on loopback, with callers, and check what must hold.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *callers < 10 || *callers > _maxTryCallers {
				return &usageError{findings: []finding{{place: "-callers", err: trace.BadParameter("want 10 to %d, and no arguments", _maxTryCallers)}}}
			}
			return runTry(ctx, stdout, newLogger(stderr, level), *callers)
		},
	}
}

// runTry runs a fleet of the size that a small operator has, changes it under load,
// and returns an error unless every promise that it checks was held.
func runTry(ctx context.Context, out io.Writer, log *zap.Logger, callers int) error {
	places := []service.Place{"oslo-a", "oslo-b", "oslo-c"}
	layout, err := newPlan("oslo", places, _tryBalancers,
		plannedService{name: "rutetjeneste", hosts: 7, slots: 4},
		plannedService{name: "fotoarkiv", hosts: 3, slots: 4},
	)
	if err != nil {
		return err
	}
	defer layout.Close()
	t := &trial{out: out, results: newTrialResults(), start: time.Now()}
	t.printLine("a fleet of %d balancers and %d hosts in %d places; %d callers", _tryBalancers, len(layout.hosts), len(places), callers)
	if t.fleet, err = newFleet(ctx, layout, tryValues(_tryFlowLimit), log); err != nil {
		return err
	}
	defer t.fleet.Close()
	if err := t.fleet.startBalancers(); err != nil {
		return err
	}
	if err := t.fleet.startAgents(ctx); err != nil {
		return err
	}
	if err := t.awaitServing(ctx); err != nil {
		return err
	}
	if err := t.runScenario(ctx, callers); err != nil {
		return err
	}
	return t.report()
}

// awaitServing waits until every balancer offers new flows to every upstream.
func (t *trial) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _tryStartTimeout)
	defer cancel()
	if err := t.fleet.awaitServing(ctx); err != nil {
		return err
	}
	t.printLine("every balancer knows every upstream")
	return nil
}

// tryValues returns the settings of the region, with the given flow limit.
func tryValues(flows int) settings.Values {
	reserved, queue, hosts, upstream := 1, 64, 10, 2000
	timeout, drain := settings.Duration(_requestTimeout), settings.Duration(5*time.Second)
	return settings.Values{
		MaxFlows:            &flows,
		MaxFlowsPerUpstream: &upstream,
		ReservedSlots:       &reserved,
		QueueLength:         &queue,
		MaxHosts:            &hosts,
		LongRoutes:          []string{standin.PathLong},
		NonRepeatableRoutes: []string{standin.PathOrder},
		RequestTimeout:      &timeout,
		DrainDeadline:       &drain,
	}
}

// runScenario runs the callers during the steps that change the fleet.
func (t *trial) runScenario(ctx context.Context, callers int) error {
	t.startCallers(callers)
	err := t.runSteps(ctx)
	t.tomb.Kill(nil)
	return trace.NewAggregate(err, t.tomb.Wait())
}

// runSteps changes balancers, upstreams and limits, one step after another, with a
// pause before each.
func (t *trial) runSteps(ctx context.Context) error {
	steps := []struct {
		pause time.Duration
		run   func(context.Context) error
	}{
		{3 * time.Second, t.raiseLimit},
		{time.Second, t.checkBalance},
		{time.Second, t.killBalancer},
		{2 * time.Second, t.drainUpstream},
		{time.Second, t.lowerLimit},
		{4 * time.Second, t.checkDrained},
	}
	for _, step := range steps {
		if !sleepContext(ctx, step.pause) {
			return trace.Wrap(ctx.Err(), "the try was stopped")
		}
		t.printProgress()
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startCallers starts the callers, spread evenly over _tryRampUp. Of every ten callers,
// seven call the first service: one sends requests that may run at most once, one sends
// long requests, and five send short ones. Three call the second service: one sends long
// requests, and two send short ones.
func (t *trial) startCallers(n int) {
	const tenths = 10
	lastNumber := new(atomic.Uint64)
	for i := range n {
		caller := &trialCaller{
			tomb:       &t.tomb,
			fleet:      t.fleet,
			service:    t.fleet.plan.services[0],
			path:       standin.PathShort,
			random:     rand.New(rand.NewPCG(uint64(i), 1)),
			results:    t.results,
			lastNumber: lastNumber,
		}
		switch i % tenths {
		case 0:
			caller.path = standin.PathOrder
		case 1:
			caller.path = standin.PathLong
		case 7, 8:
			caller.service = t.fleet.plan.services[1]
		case 9:
			caller.service = t.fleet.plan.services[1]
			caller.path = standin.PathLong
		}
		caller.retryAfter = _tryRampUp * time.Duration(i) / time.Duration(n)
		t.callers = append(t.callers, caller)
		t.tomb.Go(caller.run)
	}
}

func (t *trial) raiseLimit(ctx context.Context) error {
	return t.changeLimit(ctx, "raised", _tryFlowLimit, 2*_tryFlowLimit)
}

func (t *trial) lowerLimit(ctx context.Context) error {
	return t.changeLimit(ctx, "lowered back", 2*_tryFlowLimit, _tryFlowLimit)
}

// changeLimit changes the region's flow limit and checks that it comes into force in time.
func (t *trial) changeLimit(ctx context.Context, direction string, from, to int) error {
	before, after := tryValues(from), tryValues(to)
	edit := settings.Edit{Path: settings.Path{Region: t.fleet.plan.region}, Before: &before, After: &after}
	accepted := time.Now()
	if err := t.fleet.submitEdits(ctx, "try: flow limit "+direction, edit); err != nil {
		return trace.Wrap(err, "change the flow limit")
	}
	took, ok := t.fleet.awaitRevision(ctx, _inForceTimeout)
	t.printLine("flow limit %s: in force on every balancer after %v", direction, took.Round(time.Millisecond))
	t.promise(ok, fmt.Sprintf("a flow limit that was %s is in force everywhere within %v", direction, _inForceTimeout),
		"after %v", time.Since(accepted).Round(time.Millisecond))
	return nil
}

// checkBalance prints, for each service, how evenly its upstreams share the open flows.
func (t *trial) checkBalance(context.Context) error {
	for _, s := range t.fleet.plan.services {
		maxFlows, total, hosts := 0, 0, 0
		for i, host := range t.fleet.plan.hosts {
			if host.config.service != s.name {
				continue
			}
			flows := t.fleet.agents[i].agent.Flows()
			maxFlows, total, hosts = max(maxFlows, flows), total+flows, hosts+1
		}
		mean := float64(total) / float64(hosts)
		t.printLine("imbalance of %s: %d open flows over %d upstreams, max/mean %.2f", s.name, total, hosts, float64(maxFlows)/mean)
	}
	return nil
}

// killBalancer closes a balancer without draining it. The fabric sends it datagrams
// for one more second.
func (t *trial) killBalancer(ctx context.Context) error {
	last := len(t.fleet.balancers) - 1
	if err := t.fleet.killBalancer(last); err != nil {
		return err
	}
	t.printLine("%s was killed; the fabric still hands it a third of all datagrams", t.fleet.plan.balancers[last].name)
	sleepContext(ctx, time.Second)
	t.fleet.removeBalancer(last)
	t.printLine("the fabric has taken it out")
	return nil
}

// drainUpstream starts draining the first agent.
func (t *trial) drainUpstream(context.Context) error {
	node := t.fleet.agents[0]
	t.printLine("%s is told to leave with %d open flows", t.fleet.plan.hosts[0].label, node.agent.Flows())
	t.tomb.Go(node.runDrain)
	return nil
}

// checkDrained checks that the drained agent has no open flows.
func (t *trial) checkDrained(context.Context) error {
	node := t.fleet.agents[0]
	t.promise(node.agent.Flows() == 0, "an upstream that was told to leave has no flows after 5 s", "%d open flows", node.agent.Flows())
	return nil
}

// printProgress prints the results of the callers so far.
func (t *trial) printProgress() {
	served, refused := t.results.counts()
	t.printLine("%d requests served, %d refused, %d flows broken", served, refused, t.results.brokenFlows())
}

// printLine prints one line, prefixed with the time since the start of the try.
func (t *trial) printLine(format string, args ...any) {
	fmt.Fprintf(t.out, "%6.2fs  %s\n", time.Since(t.start).Seconds(), fmt.Sprintf(format, args...))
}

// promise records the outcome of a check. The format and args describe what it found.
func (t *trial) promise(held bool, text, format string, args ...any) {
	t.promises = append(t.promises, promise{text: text, held: held, observed: fmt.Sprintf(format, args...)})
}
