package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// explanation describes the limits in force of one service at one place and their use.
type explanation struct {
	Service  settings.Path     `json:"service"`
	Revision settings.Revision `json:"revision"`
	Limits   []explainedLimit  `json:"limits"`
	Hosts    []explainedHost   `json:"hosts"`
	// FreeFlows is the part of max_flows that is in no host's share. OpenFlows is the
	// number of flows known to be open.
	FreeFlows int                  `json:"free_flows"`
	OpenFlows int                  `json:"open_flows"`
	Refusals  []limit.RefusalCount `json:"refusals"`
	// Notes describe unusual conditions and their consequences.
	Notes []string `json:"notes"`
}

// explainedLimit is one limit in force and the change that set it.
type explainedLimit struct {
	Field  settings.Field  `json:"field"`
	Value  json.RawMessage `json:"value"`
	Source settings.Source `json:"source"`
	// Change is nil if the limit is a default, or was set before the changes that were
	// searched.
	Change *explainedChange `json:"change,omitempty"`
}

// explainedChange says who set a limit, when and why.
type explainedChange struct {
	Revision settings.Revision `json:"revision"`
	Author   string            `json:"author"`
	Time     time.Time         `json:"time"`
	Reason   string            `json:"reason"`
}

// explainedHost describes the share of one host and its use. Floor, Share and Lacking
// are numbers of flows under the limit in force. Status is what the host itself
// reported, nil if it did not answer.
type explainedHost struct {
	Address     netip.AddrPort      `json:"address"`
	Incarnation service.Incarnation `json:"incarnation"`
	Floor       int                 `json:"floor"`
	Share       int                 `json:"share"`
	Lacking     int                 `json:"lacking"`
	// Open is the number of open flows that the host reported. If the host did not answer,
	// it is the number that the host last wrote to the store.
	Open   int                 `json:"open"`
	Status *leaseholder.Status `json:"status,omitempty"`
	Error  string              `json:"error,omitempty"`
}

// explainLimits derives the explanation from the facts.
func explainLimits(facts explainFacts) explanation {
	e := explanation{
		Service:   facts.path,
		Revision:  facts.revision,
		FreeFlows: facts.share.Free().Flows(facts.limits.Flows),
	}
	for _, value := range facts.values {
		e.Limits = append(e.Limits, explainValue(value, facts.changes))
	}
	for i, entry := range facts.share.Entries {
		host := explainHost(facts, entry, facts.statuses[i], facts.failures[i])
		e.Hosts = append(e.Hosts, host)
		e.OpenFlows += host.Open
	}
	e.Refusals = sumRefusals(e.Hosts)
	e.Notes = e.notes(facts)
	return e
}

func explainValue(value settings.EffectiveValue, changes []audit.Change) explainedLimit {
	explained := explainedLimit{Field: value.Field, Value: value.Value, Source: value.Source}
	if change, ok := changeThatSet(changes, value); ok && !value.Source.Default {
		explained.Change = &explainedChange{
			Revision: change.Revision,
			Author:   change.Author,
			Time:     change.Time,
			Reason:   change.Reason,
		}
	}
	return explained
}

func explainHost(facts explainFacts, entry limit.Entry, status leaseholder.Status, failure error) explainedHost {
	flows := facts.limits.Flows
	host := explainedHost{
		Address:     entry.Address,
		Incarnation: entry.Incarnation,
		Floor:       entry.Floor.Flows(flows),
		Share:       entry.Units().Flows(flows),
		Lacking:     entry.Lacking.Flows(flows),
		Open:        entry.Open,
	}
	if failure != nil {
		host.Error = failure.Error()
		return host
	}
	host.Open = status.Open
	host.Status = &status
	return host
}

// sumRefusals adds up the hosts' refusals by reason, in the order of the reasons.
func sumRefusals(hosts []explainedHost) []limit.RefusalCount {
	sums := make(map[limit.Reason]limit.RefusalCount)
	for _, host := range hosts {
		if host.Status == nil {
			continue
		}
		for _, count := range host.Status.Refusals {
			sum := sums[count.Reason]
			sum.Reason = count.Reason
			sum.Recent += count.Recent
			sum.Total += count.Total
			sums[count.Reason] = sum
		}
	}
	var refusals []limit.RefusalCount
	for _, reason := range limit.Reasons() {
		if sum, ok := sums[reason]; ok {
			refusals = append(refusals, sum)
		}
	}
	return refusals
}

// notes returns the notes about the service, followed by those about its hosts.
func (e explanation) notes(facts explainFacts) []string {
	var notes []string
	if over := e.OpenFlows - facts.limits.Flows; over > 0 {
		notes = append(notes, fmt.Sprintf("%d more flows are open than max_flows allows. They were opened under a higher limit; none is cut, and no new ones take their place.", over))
	}
	if len(e.Hosts) > facts.limits.MaxHosts {
		notes = append(notes, fmt.Sprintf("%d hosts hold shares, max_hosts is %d: some have no floor and admit nothing in an outage of the platform.", len(e.Hosts), facts.limits.MaxHosts))
	}
	if len(e.Hosts) == 0 {
		notes = append(notes, "No host has joined: the service admits no flows here.")
	}
	if i := slices.IndexFunc(facts.failures, isNotQueried); i >= 0 {
		notes = append(notes, fmt.Sprintf("Not all agents were asked: %v.", facts.failures[i]))
	}
	for i, host := range e.Hosts {
		if isNotQueried(facts.failures[i]) {
			continue
		}
		notes = append(notes, host.notes(facts, facts.share.Entries[i])...)
	}
	return notes
}

// isNotQueried reports whether err says that the command was not set up to query
// agents. Such an error says nothing about the agent.
func isNotQueried(err error) bool {
	return trace.IsBadParameter(err) || trace.IsNotImplemented(err)
}

// notes returns the notes about the host.
func (h explainedHost) notes(facts explainFacts, entry limit.Entry) []string {
	if h.Status == nil {
		return []string{fmt.Sprintf("%s does not answer (%s). Its share returns %s after its last renewal once it is confirmed gone, else %s later.",
			h.Address, h.Error, limit.ReclaimAfter(entry.Term), time.Duration(facts.limits.DrainDeadline))}
	}
	var notes []string
	note := func(format string, args ...any) {
		notes = append(notes, h.Address.String()+" "+fmt.Sprintf(format, args...))
	}
	status := h.Status
	if status.Revision < facts.revision && status.FlowLimit != facts.limits.Flows {
		note("has revision %d in force and goes by max_flows %d, not %d.", status.Revision, status.FlowLimit, facts.limits.Flows)
	}
	if status.Draining {
		note("is draining: it takes no new flows.")
	}
	if status.StoreError != "" {
		note("has no answer from the platform: %s.", status.StoreError)
	}
	if status.Joined && status.Allowed < status.Share {
		note("could not renew its lease: it admits its floor of %d flows only.", status.Floor)
	}
	if status.Open > status.Allowed {
		note("has %d flows open and may have %d: it refuses new ones until enough have ended.", status.Open, status.Allowed)
	}
	return notes
}
