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
	// _tryBalancers is how many balancers a try has.
	_tryBalancers = 3
	// _tryCallers is how many callers a try has by default, and _maxTryCallers at most.
	_tryCallers    = 240
	_maxTryCallers = 2000
	// _tryRampUp is the span over which the callers start.
	_tryRampUp = time.Second
	// _tryStartWithin bounds the time until the fleet serves.
	_tryStartWithin = 20 * time.Second
	// _inForceWithin is how soon an accepted change must be in force on every balancer.
	_inForceWithin = 6 * time.Second

	// _tryFlowLimit is the flow limit of each service at each place.
	_tryFlowLimit = 2000
)

// trial is one run of the try command.
type trial struct {
	tomb    tomb.Tomb
	out     io.Writer
	fleet   *fleet
	results *trialResults
	callers []*trialCaller
	start   time.Time

	promises []promise
}

// promise is one thing that a try checks.
type promise struct {
	text string
	held bool
	seen string
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

// runTry runs a fleet the size of a small operator's, disturbs it, and returns
// an error unless every promise that it checks was held.
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
	t.say("a fleet of %d balancers and %d hosts in %d places; %d callers", _tryBalancers, len(layout.hosts), len(places), callers)
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
	if err := t.disturb(ctx, callers); err != nil {
		return err
	}
	return t.report()
}

// awaitServing waits until callers can be let in.
func (t *trial) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _tryStartWithin)
	defer cancel()
	if err := t.fleet.awaitServing(ctx); err != nil {
		return err
	}
	t.say("every balancer knows every upstream")
	return nil
}

// tryValues are the settings of the region.
func tryValues(flows int) settings.Values {
	reserved, queue, hosts, upstream := 1, 64, 10, 2000
	timeout, drain := settings.Duration(_workTimeout), settings.Duration(5*time.Second)
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

// disturb runs the callers while balancers, upstreams and limits change.
func (t *trial) disturb(ctx context.Context, callers int) error {
	t.startCallers(callers)
	err := t.takeSteps(ctx)
	t.tomb.Kill(nil)
	return trace.NewAggregate(err, t.tomb.Wait())
}

// takeSteps changes one thing after another.
func (t *trial) takeSteps(ctx context.Context) error {
	steps := []struct {
		after time.Duration
		do    func(context.Context) error
	}{
		{3 * time.Second, t.raiseLimit},
		{time.Second, t.checkBalance},
		{time.Second, t.killBalancer},
		{2 * time.Second, t.drainUpstream},
		{time.Second, t.lowerLimit},
		{4 * time.Second, t.checkDrained},
	}
	for _, step := range steps {
		if !sleepContext(ctx, step.after) {
			return trace.Wrap(ctx.Err(), "the try was stopped")
		}
		t.progress()
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startCallers starts the callers spread over the ramp-up. Seven tenths call
// the first service, the rest the second; one in ten asks for long work.
func (t *trial) startCallers(n int) {
	const tenths = 10
	numbers := new(atomic.Uint64)
	for i := range n {
		caller := &trialCaller{
			tomb:    &t.tomb,
			fleet:   t.fleet,
			service: t.fleet.plan.services[0],
			path:    standin.PathShort,
			random:  rand.New(rand.NewPCG(uint64(i), 1)),
			results: t.results,
			numbers: numbers,
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

// changeLimit changes the region's flow limit and waits until it is in force.
func (t *trial) changeLimit(ctx context.Context, how string, from, to int) error {
	before, after := tryValues(from), tryValues(to)
	edit := settings.Edit{Path: settings.Path{Region: t.fleet.plan.region}, Before: &before, After: &after}
	accepted := time.Now()
	if err := t.fleet.accept(ctx, "try: flow limit "+how, edit); err != nil {
		return trace.Wrap(err, "change the flow limit")
	}
	took, ok := t.fleet.awaitRevision(ctx, _inForceWithin)
	t.say("flow limit %s: in force on every balancer after %v", how, took.Round(time.Millisecond))
	t.promise(ok, fmt.Sprintf("a flow limit that was %s is in force everywhere within %v", how, _inForceWithin),
		"after %v", time.Since(accepted).Round(time.Millisecond))
	return nil
}

// checkBalance compares the open flows of a service's upstreams.
func (t *trial) checkBalance(context.Context) error {
	for _, s := range t.fleet.plan.services {
		most, total, hosts := 0, 0, 0
		for i, host := range t.fleet.plan.hosts {
			if host.config.service != s.name {
				continue
			}
			flows := t.fleet.agents[i].agent.Flows()
			most, total, hosts = max(most, flows), total+flows, hosts+1
		}
		mean := float64(total) / float64(hosts)
		t.say("imbalance of %s: %d open flows over %d upstreams, max/mean %.2f", s.name, total, hosts, float64(most)/mean)
	}
	return nil
}

// killBalancer ends a balancer without a drain. The fabric notices a second later.
func (t *trial) killBalancer(ctx context.Context) error {
	last := len(t.fleet.balancers) - 1
	if err := t.fleet.killBalancer(last); err != nil {
		return err
	}
	t.say("%s was killed; the fabric still hands it a third of all datagrams", t.fleet.plan.balancers[last].name)
	sleepContext(ctx, time.Second)
	t.fleet.removeBalancer(last)
	t.say("the fabric has taken it out")
	return nil
}

// drainUpstream tells an upstream to leave.
func (t *trial) drainUpstream(context.Context) error {
	node := t.fleet.agents[0]
	t.say("%s is told to leave with %d open flows", t.fleet.plan.hosts[0].label, node.agent.Flows())
	t.tomb.Go(node.runStop)
	return nil
}

// checkDrained checks that the upstream that left got no new flows.
func (t *trial) checkDrained(context.Context) error {
	node := t.fleet.agents[0]
	t.promise(node.agent.Flows() == 0, "an upstream that was told to leave has no flows after 5 s", "%d open flows", node.agent.Flows())
	return nil
}

// progress prints what the callers have seen so far.
func (t *trial) progress() {
	served, refused := t.results.counts()
	t.say("%d requests served, %d refused, %d flows broken", served, refused, t.results.brokenFlows())
}

// say prints one line with the time since the start.
func (t *trial) say(format string, args ...any) {
	fmt.Fprintf(t.out, "%6.2fs  %s\n", time.Since(t.start).Seconds(), fmt.Sprintf(format, args...))
}

func (t *trial) promise(held bool, text, seen string, args ...any) {
	t.promises = append(t.promises, promise{text: text, held: held, seen: fmt.Sprintf(seen, args...)})
}
