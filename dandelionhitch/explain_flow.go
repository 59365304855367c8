package main

import (
	"cmp"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/flow"
)

// _timeFormat is the layout of the time of day in printed tables.
const _timeFormat = "15:04:05.000"

// _endExplanations says, for each way in which a flow ends ("action reason" in its
// last decision), what it means and what to check next. docs/OPERATIONS.md has the
// same table.
var _endExplanations = map[string]string{
	"reset no_route":                 "the configuration in force did not have the address; see the settings below",
	"reset no_upstream":              "no upstream of the service was known, or all were draining; see the upstreams below",
	"reset zone_evacuated":           "all upstreams of the service were in zones that the operator had evacuated",
	"reset all_refused":              "every upstream that was tried refused; the refused lines above say why",
	"reset overloaded":               "it could not have been answered before its caller gives up; busy and slots tell how full the upstreams were",
	"reset link_full":                "its route sends much data, which would not have fit through the relay's link; it has not run",
	"reset no_holder":                "every sidecar denied the flow: its upstream had ended, or the flow was idle too long",
	"reset upstream_dead":            "its upstream ended or was replaced while the flow was open; see the upstream below",
	"reset upstream_bounced":         "its upstream no longer had the flow; the upstream's own log may tell why",
	"dropped parked_too_long":        "the relay had just started and did not learn in time where to send it; see its settings and upstreams below",
	"dropped caller_timeout":         "the relay learned where to send it after the caller had given up",
	"dropped no_answer_to_offers":    "sidecars did not answer offers; one of them may have taken it. If one relay doubts all, its own link is at fault",
	"dropped holder_not_found":       "sidecars did not answer the question who holds the flow, so nobody can say that it is dead",
	"dropped search_budget":          "the relay had too many packets of flows that it did not know; their callers repeat them",
	"dropped too_many_questions":     "the relay had too many open questions about flows that it did not know, as after the loss of many processes",
	"dropped still_opening":          "a packet came before the flow had opened; its caller repeats it",
	"dropped earlier_flow_of_caller": "a late packet of the upstream was of an earlier flow from the same port; no failure",
	"dropped caller_closes":          "the caller closed a flow that nobody held any more; it needs no answer",
}

// isFlow reports whether an argument of explain is a flow ID or a caller's address
// rather than a service.
func isFlow(arg string) bool {
	caller, _, _ := strings.Cut(arg, ">")
	_, err := parseCaller(caller)
	return err == nil
}

// parseCaller parses IP or IP:PORT. The port is zero if it is not given.
func parseCaller(text string) (netip.AddrPort, error) {
	if caller, err := netip.ParseAddrPort(text); err == nil {
		return caller, nil
	}
	addr, err := netip.ParseAddr(text)
	return netip.AddrPortFrom(addr, 0), err
}

// explainFlows prints the logged decisions about a flow. If arg is a caller with
// several flows in the logs, it lists these flows instead.
func explainFlows(out io.Writer, stdin io.Reader, arg string, files []string) error {
	lines, err := readLogs(stdin, files)
	if err != nil {
		return err
	}
	if key, err := flow.ParseKey(arg); err == nil {
		return explainFlow(out, key, lines)
	}
	caller, err := parseCaller(arg)
	if err != nil {
		return trace.BadParameter("%q: want CALLER_IP:PORT>ADDRESS:PORT, or CALLER_IP[:PORT]", arg)
	}
	flows := decision.Flows(lines, caller)
	if len(flows) == 1 {
		return explainFlow(out, flows[0], lines)
	}
	if len(flows) == 0 {
		return trace.NotFound("no line tells of a flow of %s: see whether relays ran then, and how many lines were left out", arg)
	}
	table := newTableWriter(out)
	fmt.Fprintln(table, "FLOW\tFIRST LINE\tLINES\tEND")
	for _, key := range flows {
		t := decision.NewTrail(key, lines)
		fmt.Fprintf(table, "%v\t%s\t%d\t%s\n", key, t.Decisions[0].Time.Format(_timeFormat), len(t.Decisions), endOf(&t))
	}
	return trace.Wrap(table.Flush())
}

// endOf returns the action and reason that ended the flow, or "-" if none is logged.
func endOf(t *decision.Trail) string {
	end, ok := t.End()
	if !ok {
		return "-"
	}
	return string(end.Action) + " " + end.Reason
}

// readLogs reads the log lines of the files, or of stdin if files is empty.
func readLogs(stdin io.Reader, files []string) ([]decision.Line, error) {
	if len(files) == 0 {
		return readLog("standard input", stdin)
	}
	var all []decision.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		lines, err := readLog(name, file)
		file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads one log, which may also contain lines of other programs. It returns
// an error if no line is JSON.
func readLog(name string, r io.Reader) ([]decision.Line, error) {
	lines, unread, err := decision.ReadLines(r)
	if err != nil {
		return nil, trace.Wrap(err, "log %s", name)
	}
	if len(lines) == 0 && unread > 0 {
		return nil, trace.BadParameter("log %s: none of %d lines holds JSON", name, unread)
	}
	return lines, nil
}

// explainFlow prints the decisions about one flow, how it ended, and what its
// processes logged meanwhile.
func explainFlow(out io.Writer, key flow.Key, lines []decision.Line) error {
	t := decision.NewTrail(key, lines)
	if len(t.Decisions) == 0 {
		return trace.NotFound("no line tells of flow %v: see whether relays ran then, and how many lines were left out", key)
	}
	fmt.Fprintf(out, "flow %v\n\n", key)
	table := newTableWriter(out)
	fmt.Fprintln(table, "TIME\tPROCESS\tACTION\tREASON\tTARGET\tBUSY/SLOTS\tATTEMPT\tSETTINGS\tAGE")
	for _, l := range t.Decisions {
		load := "-"
		if l.Slots > 0 {
			load = fmt.Sprintf("%d/%d", l.Busy, l.Slots)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d ms\n", l.Time.Format(_timeFormat), l.Node, l.Action,
			orDash(l.Reason), orDash(t.Process(l.Target)), load, l.Attempt, l.Version, l.AgeMS)
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(out, "\nEND\n  %s\n", explainEnd(&t))
	writeRooms(out, &t)
	writeTerms(out, &t)
	if len(t.Related) > 0 {
		fmt.Fprintln(out, "\nMEANWHILE, AT THE SAME PROCESSES")
	}
	for _, l := range t.Related {
		fmt.Fprintf(out, "  %s  %s  %s\n", l.Time.Format(_timeFormat), l.Node, describeContextLine(&t, l))
	}
	if len(t.Omitted) > 0 {
		fmt.Fprintln(out, "\nLINES LEFT OUT MEANWHILE")
	}
	for _, l := range t.Omitted {
		fmt.Fprintf(out, "  %s: %d of routine decisions, %d of ends, %d of others, %d of beliefs, %d of warnings\n",
			l.Node, l.RoutineOmitted, l.EndsOmitted, l.OthersOmitted, l.BeliefsOmitted, l.WarningsOmitted)
	}
	return nil
}

// explainEnd describes what ended the flow.
func explainEnd(t *decision.Trail) string {
	if end, ok := t.End(); ok {
		ending := string(end.Action) + " " + end.Reason
		if text := cmp.Or(_endExplanations[ending], _termExplanations[end.Reason]); text != "" {
			return fmt.Sprintf("%s at %s: %s", ending, end.Node, text)
		}
		return fmt.Sprintf("%s at %s", ending, end.Node)
	}
	if last := t.Decisions[len(t.Decisions)-1]; last.Action == decision.Refused {
		return fmt.Sprintf("refused by %s (%s), and no line tells what the relay did then", last.Node, last.Reason)
	}
	slowest, pause := t.Slowest()
	return fmt.Sprintf("no process ended it: the ends did, or the lines were left out. The longest pause, %v, followed %s at %s",
		pause, slowest.Action, orDash(slowest.Node))
}

// describeContextLine describes a line that is not about the flow itself: a change
// of belief or an event of a process.
func describeContextLine(t *decision.Trail, l decision.Line) string {
	if l.Subject == "" {
		return strings.TrimSpace(l.Message + " " + l.Error)
	}
	return fmt.Sprintf("%s %s: %s to %s (%s)", l.Subject, t.Process(l.Name), orDash(l.From), orDash(l.To), orDash(l.Reason))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
