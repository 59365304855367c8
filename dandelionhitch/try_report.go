package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// report prints the results of the try and returns an error unless all promises were held.
func (t *trial) report() error {
	t.checkResults()
	t.printRequests()
	t.printFlows()
	broken := t.printPromises()
	for _, err := range t.results.errors {
		fmt.Fprintf(t.out, "seen: %v\n", err)
	}
	if broken > 0 {
		return trace.Errorf("%d of %d promises were not held", broken, len(t.promises))
	}
	fmt.Fprintf(t.out, "\nall %d promises were held\n", len(t.promises))
	return nil
}

// checkResults checks the promises that concern the requests and flows of the whole try.
func (t *trial) checkResults() {
	served, refused := t.results.counts()
	t.promise(served > 0, "requests are served", "%d served, %d refused", served, refused)
	t.promise(t.results.wrongService == 0, "no request reaches another service", "%d crossed", t.results.wrongService)
	broken := t.results.brokenFlows()
	t.promise(broken == 0, "no flow breaks, whatever balancers, upstreams and limits do", "%d broken", broken)
	failed := 0
	for _, class := range t.results.classes {
		failed += class.failed
	}
	t.promise(failed == 0, "no request fails", "%d failed", failed)
	repeated, falseNotRun := t.countViolations()
	t.promise(repeated == 0, "no request runs twice", "%d ran more than once", repeated)
	t.promise(falseNotRun == 0, "what is said not to have run did not run", "%d ran", falseNotRun)
}

// countViolations returns how many served requests ran more than once, and how many
// refused requests ran although the answer said that they had not run.
func (t *trial) countViolations() (repeated, falseNotRun int) {
	countRuns := func(number uint64) int {
		runs := 0
		for _, upstream := range t.fleet.upstreams {
			runs += upstream.Runs(number)
		}
		return runs
	}
	for number := range t.results.served {
		if countRuns(number) > 1 {
			repeated++
		}
	}
	for number, notRun := range t.results.refusedAsNotRun {
		if notRun && countRuns(number) > 0 {
			falseNotRun++
		}
	}
	return repeated, falseNotRun
}

func (t *trial) printRequests() {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\nservice\trequests\tserved\trefused\tfailed\tp50 ms\tp99 ms\trefused because\t\n")
	for _, class := range t.results.sortedClasses() {
		c := t.results.classes[class]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%s\t\n", class.service, class.path, c.served, c.refused, c.failed,
			milliseconds(c.latency.ValueAtQuantile(50)), milliseconds(c.latency.ValueAtQuantile(99)), c.reasonsText())
	}
	_ = w.Flush()
}

func (t *trial) printFlows() {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\nservice\tflows broken\tnot opened\trefused\tasked to move\t\n")
	for _, s := range t.fleet.plan.services {
		f := t.results.flow(s.name)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t\n", s.name, f.broken, f.failed, f.refused, f.goneAway)
	}
	_ = w.Flush()
}

// printPromises prints all promises and returns how many were not held.
func (t *trial) printPromises() int {
	broken := 0
	fmt.Fprintln(t.out)
	for _, p := range t.promises {
		verdict := "held"
		if !p.held {
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(t.out, "%-6s  %s (%s)\n", verdict, p.text, p.observed)
	}
	return broken
}

// reasonsText lists the reasons for refusals with their counts.
func (c *classResults) reasonsText() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(c.reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, c.reasons[reason]))
	}
	return strings.Join(parts, ", ")
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
