package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"dandelionhitch.example/decision"
)

// _termExplanations says, for actions and reasons of admission by priority, what they mean and
// what to check next, wherever they occur in a flow's lines. docs/OPERATIONS.md has the same
// table.
var _termExplanations = map[string]string{
	"held": "the sidecar kept back a request on this open flow, because more important new flows needed the places that were left; " +
		"it is delivered after at most a quarter of the route's target latency",
	"no_room":   "there was no capacity for the flow's priority, so the flow was refused without a wait; it has not run",
	"displaced": "the flow waited at the sidecar, and more important work arrived that left it no time to be served; it has not run",
	"bounces_openings": "the upstream rejected opening packets although it had a free slot, so it got no new flows; " +
		"its process or its VM had probably ended",
}

// _maxRoomNames is the number of names above which upstreams with the same capacity are counted
// instead of named.
const _maxRoomNames = 3

// writeTerms explains the terms of _termExplanations that occur in the flow's lines, except the
// reason of its end, which explainEnd explains.
func writeTerms(out io.Writer, t *decision.Trail) {
	used := make(map[string]bool)
	for _, l := range slices.Concat(t.Decisions, t.Related) {
		used[string(l.Action)], used[l.Reason] = true, true
	}
	if end, ok := t.End(); ok {
		delete(used, end.Reason)
	}
	terms := slices.DeleteFunc(slices.Sorted(maps.Keys(_termExplanations)), func(term string) bool { return !used[term] })
	if len(terms) > 0 {
		fmt.Fprintln(out, "\nTERMS")
	}
	for _, term := range terms {
		fmt.Fprintf(out, "  %s: %s\n", term, _termExplanations[term])
	}
}

// writeRooms prints, for each line that refused the flow for lack of capacity, which priorities
// had capacity then, as the process that wrote the line believed.
func writeRooms(out io.Writer, t *decision.Trail) {
	headed := false
	for _, l := range t.Decisions {
		rooms := t.Rooms(l)
		if !refusesForCapacity(l) || l.Reason == "overloaded" && len(rooms) == 0 {
			continue // processes without priority admission log no beliefs about capacity
		}
		if !headed {
			fmt.Fprintln(out, "\nCAPACITY WHEN IT WAS REFUSED")
			headed = true
		}
		fmt.Fprintf(out, "  %s  %s  %s %s: %s\n", l.Time.Format(_timeFormat), l.Node, l.Action, l.Reason, describeRooms(t, rooms))
	}
}

// refusesForCapacity reports whether a line says that the flow was refused because capacity was
// short. Lines that pass a flow on or place it anew don't.
func refusesForCapacity(l decision.Line) bool {
	if l.Action != decision.Refused && l.Action != decision.Reset {
		return false
	}
	return l.Reason == "no_room" || l.Reason == "overloaded" || l.Reason == "displaced"
}

// describeRooms describes the capacity that a process believed in. Upstreams with the same
// capacity are described together.
func describeRooms(t *decision.Trail, rooms []decision.Room) string {
	if len(rooms) == 0 {
		return "no line tells which priorities had capacity; either that had not changed since the logs begin, or lines were left out"
	}
	names := make(map[string][]string)
	var ages time.Duration
	for _, r := range rooms {
		state := r.String()
		if r.Capacity != "" {
			state += fmt.Sprintf(" (%s requests at a time)", r.Capacity)
		}
		names[state] = append(names[state], t.Process(r.Name))
		ages = max(ages, r.Age)
	}
	var parts []string
	for _, state := range slices.SortedFunc(maps.Keys(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(names[b]), len(names[a])), cmp.Compare(a, b))
	}) {
		subject := strings.Join(names[state], ", ")
		if len(names[state]) > _maxRoomNames {
			subject = fmt.Sprintf("%d upstreams", len(names[state]))
		}
		parts = append(parts, subject+": "+state)
	}
	if len(rooms) == 1 && ages > 0 {
		parts = append(parts, fmt.Sprintf("since %v", ages))
	}
	return strings.Join(parts, "; ")
}
