package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/settings"
)

// Defaults for waiting until balancers have a revision in force: the timeout, and the
// pause between two polls.
const (
	_defaultWait  = 30 * time.Second
	_waitInterval = 100 * time.Millisecond
)

// waitReport counts the balancers that have a revision, or a later one, in force.
type waitReport struct {
	Revision settings.Revision `json:"revision"`
	InForce  int               `json:"in_force"`
	Members  int               `json:"members"`
	// Behind lists the balancers that still have an older revision in force.
	Behind []memberRevision `json:"behind,omitempty"`
	// Seconds is the time since the first poll.
	Seconds float64 `json:"seconds"`
}

func settingsStatus(env settingsEnvironment) *ffcli.Command {
	var (
		revision uint64
		wait     bool
		timeout  time.Duration
	)
	addFlags := func(flags *flag.FlagSet) {
		flags.Uint64Var(&revision, "revision", 0, "the revision to look for; 0 is the accepted one")
		flags.BoolVar(&wait, "wait", false, "wait until all balancers have it in force")
		flags.DurationVar(&timeout, "wait-timeout", _defaultWait, "how long to wait at most")
	}
	return env.subcommand("status", "", "Print which revision is accepted and how many balancers have it in force.", addFlags,
		func(ctx context.Context, run *settingsRun, _ []string) error {
			wanted := settings.Revision(revision)
			if wanted == 0 {
				state, err := run.editor.Load(ctx)
				if err != nil {
					return err
				}
				wanted = state.Head.Revision
			}
			if !run.json {
				fmt.Fprintf(run.stdout, "revision %d\n", wanted)
			}
			if !wait {
				timeout = 0
			}
			report, err := run.awaitInForce(ctx, wanted, timeout)
			if !wait && trace.IsLimitExceeded(err) {
				err = nil
			}
			if run.json && report != nil {
				return trace.NewAggregate(err, run.printJSON(report))
			}
			return err
		})
}

// awaitInForce polls the balancers until all have the revision in force, and prints
// the count whenever it changes. It returns a LimitExceeded error after timeout; a
// timeout of zero polls once.
func (run *settingsRun) awaitInForce(ctx context.Context, revision settings.Revision, timeout time.Duration) (*waitReport, error) {
	if run.members == nil {
		return nil, trace.NotImplemented("there is no way to ask the balancers here")
	}
	start := run.now()
	lastInForce := -1
	for {
		report, err := run.pollMembers(ctx, revision)
		if err != nil {
			return nil, err
		}
		elapsed := run.now().Sub(start)
		report.Seconds = elapsed.Seconds()
		if report.InForce != lastInForce && !run.json {
			fmt.Fprintf(run.stdout, "in force on %d of %d balancers after %.1f s\n", report.InForce, report.Members, report.Seconds)
		}
		lastInForce = report.InForce
		if len(report.Behind) == 0 {
			return report, nil
		}
		if elapsed >= timeout {
			run.printBehind(report)
			return report, trace.LimitExceeded("%d of %d balancers do not have revision %d in force after %s", len(report.Behind), report.Members, revision, timeout)
		}
		select {
		case <-time.After(_waitInterval):
		case <-ctx.Done():
			return report, trace.Wrap(ctx.Err())
		}
	}
}

// pollMembers queries the revision in force at each balancer once.
func (run *settingsRun) pollMembers(ctx context.Context, revision settings.Revision) (*waitReport, error) {
	members, err := run.members(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "ask the balancers")
	}
	report := &waitReport{Revision: revision, Members: len(members)}
	for _, member := range members {
		if member.Revision >= revision {
			report.InForce++
		} else {
			report.Behind = append(report.Behind, member)
		}
	}
	return report, nil
}

func (run *settingsRun) printBehind(report *waitReport) {
	if run.json {
		return
	}
	for _, member := range report.Behind {
		fmt.Fprintf(run.stdout, "  %s has revision %d\n", member.Member, member.Revision)
	}
}
