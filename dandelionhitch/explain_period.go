package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/decision"
)

// _periodSteps is the number of equal steps into which the time span is divided.
const _periodSteps = 10

// parsePeriod parses an argument of explain of the form FROM..TO, with times in RFC
// 3339. It reports whether arg has this form and FROM is before TO.
func parsePeriod(arg string) (from, to time.Time, ok bool) {
	fromText, toText, found := strings.Cut(arg, "..")
	if !found {
		return from, to, false
	}
	from, err := time.Parse(time.RFC3339Nano, fromText)
	if err != nil {
		return from, to, false
	}
	to, err = time.Parse(time.RFC3339Nano, toText)
	return from, to, err == nil && from.Before(to)
}

// explainPeriod prints statistics of the flows that were logged in the given span: for each
// step of the span, the number of flows and how many were accepted without delay; for the
// whole span, what delayed or ended the other flows.
func explainPeriod(out io.Writer, stdin io.Reader, from, to time.Time, files []string) error {
	lines, err := readLogs(stdin, files)
	if err != nil {
		return err
	}
	periods := decision.NewPeriods(lines, from, to, to.Sub(from)/_periodSteps)
	table := newTableWriter(out)
	fmt.Fprintln(table, "FROM\tRELAYS\tSTARTED\tCONFIGURED\tFLOWS\tTAKEN AT ONCE\tLINES LEFT OUT")
	var all decision.Period
	for _, p := range periods {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", p.From.Format(_timeFormat), p.Relays, p.Started, p.Configured,
			p.Total(), p.Flows[decision.AcceptedAtOnce], p.Omitted.RoutineOmitted+p.Omitted.OthersOmitted+p.Omitted.EndsOmitted)
		for outcome, n := range p.Flows {
			all.Flows[outcome] += n
		}
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	total := all.Total()
	if total == 0 {
		return trace.NotFound("no line tells of a flow between %s and %s: see whether relays ran then", from.Format(_timeFormat), to.Format(_timeFormat))
	}
	fmt.Fprintln(out)
	table = newTableWriter(out)
	fmt.Fprintln(table, "FLOWS\tSHARE\tWHAT KEPT THEM")
	for outcome, n := range all.Flows {
		fmt.Fprintf(table, "%d\t%.3f\t%v\n", n, float64(n)/float64(total), decision.FlowOutcome(outcome))
	}
	return trace.Wrap(table.Flush())
}
