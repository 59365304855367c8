package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"dandelionhitch.example/limit"
)

// _tabPadding is the number of blanks between two columns of a table.
const _tabPadding = 2

// String returns the explanation as text for operators.
func (e explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s in revision %d\n\n", e.Service, e.Revision)
	e.writeLimits(&b)
	e.writeHosts(&b)
	e.writeRefusals(&b)
	if len(e.Notes) > 0 {
		fmt.Fprintln(&b, "NOTES")
	}
	for _, note := range e.Notes {
		fmt.Fprintf(&b, "  %s\n", note)
	}
	return b.String()
}

func (e explanation) writeLimits(b *strings.Builder) {
	table := newTableWriter(b)
	fmt.Fprintln(table, "LIMIT\tVALUE\tSET AT\tREVISION\tBY\tWHEN\tWHY")
	for _, l := range e.Limits {
		fmt.Fprintf(table, "%s\t%s\t%s\n", l.Field, l.Value, l.originColumns())
	}
	table.Flush()
	fmt.Fprintln(b)
}

// originColumns returns the columns from SET AT on, separated by tabs.
func (l explainedLimit) originColumns() string {
	switch {
	case l.Source.Default:
		return "default\t-\t-\t-\t-"
	case l.Change == nil:
		return fmt.Sprintf("%s\t-\t-\t-\tset long ago; see settings history", l.Source.Path)
	default:
		c := l.Change
		return fmt.Sprintf("%s\t%d\t%s\t%s\t%s", l.Source.Path, c.Revision, c.Author, c.Time.UTC().Format(time.RFC3339), c.Reason)
	}
}

func (e explanation) writeHosts(b *strings.Builder) {
	table := newTableWriter(b)
	fmt.Fprintln(table, "HOST\tOPEN\tSHARE\tOF IT FLOOR\tLACKING\tALLOWED NOW\tLEASE LEFT\tREVISION")
	for _, h := range e.Hosts {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n", h.Address, h.Open, h.Share, h.Floor, h.Lacking, h.statusColumns())
	}
	fmt.Fprintf(table, "free\t\t%d\n", e.FreeFlows)
	table.Flush()
	fmt.Fprintln(b)
}

// statusColumns returns the columns from ALLOWED NOW on, separated by tabs. Their
// values come from the host itself.
func (h explainedHost) statusColumns() string {
	if h.Status == nil {
		return "no answer\t-\t-"
	}
	return fmt.Sprintf("%d\t%s\t%d", h.Status.Allowed, h.Status.LeaseLeft.Truncate(time.Second), h.Status.Revision)
}

func (e explanation) writeRefusals(b *strings.Builder) {
	if len(e.Refusals) == 0 {
		fmt.Fprint(b, "No flow was refused by the hosts that answered.\n\n")
		return
	}
	table := newTableWriter(b)
	fmt.Fprintf(table, "REFUSED FLOWS\tIN ALL\tREASON\n")
	for _, count := range e.Refusals {
		fmt.Fprintf(table, "%d in %s\t%d\t%s: %s\n", count.Recent, _refusalWindow, count.Total, count.Reason, describeReason(count.Reason))
	}
	table.Flush()
	fmt.Fprintln(b)
}

func newTableWriter(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, _tabPadding, ' ', 0)
}

// _refusalWindow is limit.RefusalWindow as text.
const _refusalWindow = "10 min"

// describeReason returns an explanation of why flows were refused.
func describeReason(reason limit.Reason) string {
	switch reason {
	case limit.Draining:
		return "the host is draining"
	case limit.FlowsPerUpstream:
		return "the host has max_flows_per_upstream flows open"
	case limit.NoShare:
		return "the host has no share yet: it has had no answer from the platform since it started"
	case limit.LeaseLapsed:
		return "the host could not renew its lease at the platform and its floor is full"
	case limit.Flows:
		return "the host's share of max_flows is full"
	default:
		return "unknown to this version"
	}
}
