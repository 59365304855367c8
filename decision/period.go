package decision

import (
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/flow"
)

// FlowOutcome classifies a flow by whether an upstream accepted it at once, and if not, by
// the cause that its lines give.
type FlowOutcome int

// Outcomes of flows, in descending precedence: a flow for which several hold has the first of
// them.
const (
	// NoConfiguration flows arrived while their relay had no route for them.
	NoConfiguration FlowOutcome = iota
	// NoUpstream flows arrived while their relay knew no upstream of their service.
	NoUpstream
	// Retried flows are of a caller that was refused shortly before.
	Retried
	// Overloaded flows were refused because the upstreams had no free capacity.
	Overloaded
	// OffersUnanswered flows were offered to sidecars that did not answer in time.
	OffersUnanswered
	// Waiting flows, or requests on them, were queued at a sidecar until their upstream had free
	// capacity.
	Waiting
	// HolderUnknown flows were open, but their relay had to ask which sidecar holds them.
	HolderUnknown
	// EndedOtherwise flows ended for another reason.
	EndedOtherwise
	// AcceptedAtOnce flows were accepted at once, or have no line that says otherwise.
	AcceptedAtOnce
	// FlowOutcomes is the number of outcomes.
	FlowOutcomes
)

// String returns the outcome's name.
func (f FlowOutcome) String() string {
	return [...]string{
		"no configuration yet", "no upstream known yet", "came back after a refusal", "upstreams too busy",
		"offers not answered", "waited for an upstream", "holder not known", "ended otherwise", "taken at once", "unknown",
	}[min(f, FlowOutcomes)]
}

// _retryWindow is the time after a refusal within which a new flow of the same caller
// counts as a retry.
const _retryWindow = 100 * time.Millisecond

// Period summarizes the log lines of one interval of time.
type Period struct {
	From, To time.Time
	// Flows counts the flows whose first line is in the interval, by outcome.
	Flows [FlowOutcomes]int
	// Started counts the processes that started in the interval, and Configured those
	// that received their first configuration in it.
	Started, Configured int
	// Relays is the number of relays that started or placed a flow in the interval.
	Relays int
	// Omitted has the numbers of lines, by class, that processes omitted from their logs.
	Omitted Line
}

// Total returns the number of flows.
func (p Period) Total() int {
	total := 0
	for _, n := range p.Flows {
		total += n
	}
	return total
}

// NewPeriods divides the time between from and to into periods of length step and
// returns their summaries. Each flow counts once, in the period of its first line.
func NewPeriods(lines []Line, from, to time.Time, step time.Duration) []Period {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, byTime)
	var periods []Period
	for at := from; at.Before(to); at = at.Add(step) {
		periods = append(periods, Period{From: at, To: at.Add(step)})
	}
	byFlow := make(map[string][]Line)
	var flows []string
	relays := make([]map[string]bool, len(periods))
	for _, line := range lines {
		index := int(line.Time.Sub(from) / step)
		if line.Time.Before(from) || index >= len(periods) {
			index = -1
		}
		if line.Flow != "" {
			if byFlow[line.Flow] == nil && index >= 0 {
				flows = append(flows, line.Flow)
			}
			byFlow[line.Flow] = append(byFlow[line.Flow], line)
		}
		if index < 0 {
			continue
		}
		periods[index].count(line)
		if line.Action == Placed || line.Message == "relay started" {
			if relays[index] == nil {
				relays[index] = make(map[string]bool)
			}
			relays[index][line.Node] = true
		}
	}
	refused := refusalTimes(lines)
	for _, id := range flows {
		first := byFlow[id][0].Time
		periods[int(first.Sub(from)/step)].Flows[outcomeOf(id, byFlow[id], refused)]++
	}
	for i := range periods {
		periods[i].Relays = len(relays[i])
	}
	return periods
}

// count adds a line that is not about a single flow to the period's totals.
func (p *Period) count(line Line) {
	switch {
	case line.Message == "relay started", line.Message == "sidecar started":
		p.Started++
	case line.Subject == SettingsSubject && line.From == "0":
		p.Configured++
	case line.Message == "lines left out":
		p.Omitted.addOmitted(line)
	}
}

// refusalTimes returns the times at which callers were refused for overload, by the
// caller's address.
func refusalTimes(lines []Line) map[netip.Addr][]time.Time {
	refused := make(map[netip.Addr][]time.Time)
	for _, line := range lines {
		if line.Action != Reset || outcomeOfEnd(line.Reason) != Overloaded {
			continue
		}
		if key, err := flow.ParseKey(line.Flow); err == nil {
			refused[key.Caller.Addr()] = append(refused[key.Caller.Addr()], line.Time)
		}
	}
	return refused
}

// outcomeOf returns the outcome of a flow from its lines, which are ordered by time.
func outcomeOf(id string, lines []Line, refused map[netip.Addr][]time.Time) FlowOutcome {
	outcome := AcceptedAtOnce
	consider := func(f FlowOutcome) { outcome = min(outcome, f) }
	for _, line := range lines {
		switch line.Action {
		case Waits:
			consider(map[string]FlowOutcome{"no_route_yet": NoConfiguration, "no_upstream_yet": NoUpstream, "": Waiting}[line.Reason])
		case Asked:
			consider(HolderUnknown)
		case Held:
			consider(Waiting)
		case Refused:
			consider(Overloaded)
		case Reset, Dropped:
			consider(outcomeOfEnd(line.Reason))
		}
	}
	key, err := flow.ParseKey(id)
	if err != nil || outcome <= Retried || outcome == AcceptedAtOnce {
		return outcome
	}
	for _, at := range refused[key.Caller.Addr()] {
		if since := lines[0].Time.Sub(at); since > 0 && since <= _retryWindow {
			return Retried
		}
	}
	return outcome
}

// outcomeOfEnd returns the outcome of a flow that was reset or dropped for the given reason.
func outcomeOfEnd(reason string) FlowOutcome {
	switch reason {
	case "no_route", "parked_too_long", "caller_timeout":
		return NoConfiguration
	case "no_upstream":
		return NoUpstream
	case "overloaded", "all_refused", "no_room":
		return Overloaded
	case "no_answer_to_offers":
		return OffersUnanswered
	case "holder_not_found", "too_many_questions", "no_holder":
		return HolderUnknown
	default:
		return EndedOtherwise
	}
}
