package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/headroom"
)

const (
	// _headroomTimeout bounds the request to one relay. Relays that don't answer within it
	// are treated as not living.
	_headroomTimeout = 2 * time.Second
	// _maxHeadroomBytes bounds the answer of a relay: more than 10,000 upstreams of 300 bytes.
	_maxHeadroomBytes = 4 << 20
)

const _headroomHelp = `Print the capacity of each service by zone and priority, as relays know it from the reports of
sidecars, and what would be refused without a zone or without some upstreams.

UPSTREAMS is the number of upstreams that get new flows of those known, WITH ROOM how many of them
report capacity for the priority, LOAD the requests in progress and waiting flows, and ROOM the free
slots for the priority. In the second table, MOVED is the load of the lost upstreams, WITHOUT SLOT
how much of it finds no free slot at the others, and REFUSED AT MOST the requests at a time that are
refused of this priority.

What it cannot know: the reports don't divide the load by priority, so REFUSED AT MOST assumes that
all of MOVED has the priority; less important requests are refused first. The load is that of the
moment. What arrives later, what callers send again after a refusal, and how many requests upstreams
queue beyond their slots are not known. An upstream with no report of the last second counts as
having capacity for all priorities, as it does for relays. Load that relays refuse now is missing.`

// headroomFlags are the settings of the headroom command.
type headroomFlags struct {
	*flagSet
	relays []netip.AddrPort
	loss   headroom.Loss
	asJSON bool
}

func headroomCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := &headroomFlags{flagSet: newFlagSet("dandelionhitch headroom", stderr)}
	f.addresses(&f.relays, "relays", "IP:PORT of the metrics endpoints of a few relays, separated by commas")
	f.StringVar(&f.loss.Zone, "without-zone", "", "zone that is assumed to be lost")
	f.IntVar(&f.loss.Upstreams, "without", 0, "upstreams of each service that are assumed to be lost, those whose loss leaves the least room")
	f.BoolVar(&f.asJSON, "json", false, "print JSON")
	f.require("relays")
	return &ffcli.Command{
		Name:       "headroom",
		ShortUsage: "dandelionhitch headroom -relays IP:PORT,... [-without-zone ZONE] [-without N] [-json]",
		ShortHelp:  "Print the capacity left by service, zone and priority, and what would be refused without a zone or some upstreams.",
		LongHelp:   _headroomHelp,
		FlagSet:    f.FlagSet,
		Options:    f.options(),
		Exec: func(ctx context.Context, args []string) error {
			if f.loss.Upstreams < 0 {
				f.add("-without", trace.BadParameter("%d is below zero", f.loss.Upstreams))
			}
			if len(f.relays) == 0 && f.Lookup("relays").Value.String() == "" {
				f.add("-relays", trace.BadParameter("names no relay"))
			}
			if err := f.check(args); err != nil {
				return err
			}
			return f.print(ctx, stdout, stderr)
		},
	}
}

// print asks the relays and prints the result. It names the relays that do not answer on
// stderr.
func (f *headroomFlags) print(ctx context.Context, stdout, stderr io.Writer) error {
	reports, errs := fetchHeadroom(ctx, f.relays)
	if len(reports) == 0 {
		return trace.Wrap(trace.NewAggregate(errs...), "no relay answers")
	}
	for _, err := range errs {
		fmt.Fprintln(stderr, "dandelionhitch:", err)
	}
	merged := headroom.Merge(reports...)
	if f.loss.Zone != "" && !merged.HasZone(f.loss.Zone) {
		f.add("-without-zone", trace.BadParameter("no upstream is in %q; zones: %s", f.loss.Zone, strings.Join(merged.Zones(), ", ")))
		return f.check(nil)
	}
	table := headroom.NewTable(merged, f.loss)
	if f.asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(table))
	}
	return printHeadroom(stdout, table, f.loss)
}

func printHeadroom(out io.Writer, t headroom.Table, loss headroom.Loss) error {
	table := newTableWriter(out)
	fmt.Fprintln(table, "SERVICE\tZONE\tPRIORITY\tUPSTREAMS\tWITH ROOM\tSLOTS\tLOAD\tROOM")
	for _, r := range t.Rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d\t%d\t%d\t%d\t%d\n", r.Service, orDash(r.Zone), formatPriority(r.Priority), r.Upstreams, r.Known, r.WithRoom, r.Slots, r.Load, r.Room)
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if len(t.Without) == 0 {
		return nil
	}
	fmt.Fprintf(out, "\nWITHOUT %s\n", describeLoss(loss))
	table = newTableWriter(out)
	fmt.Fprintln(table, "SERVICE\tPRIORITY\tLOST\tUPSTREAMS\tSLOTS\tMOVED\tWITHOUT SLOT\tROOM\tREFUSED AT MOST\tPER SECOND")
	for _, e := range t.Without {
		for _, p := range e.Priorities {
			perSecond := "-"
			if p.RefusedPerSecond > 0 {
				perSecond = fmt.Sprintf("%.0f", p.RefusedPerSecond)
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
				e.Service, formatPriority(p.Priority), e.Lost, e.Upstreams, e.Slots, e.Moved, e.WithoutSlot, p.Room, p.RefusedAtMost, perSecond)
		}
	}
	return trace.Wrap(table.Flush())
}

// formatPriority formats a priority, which is nil if no route leads to the service.
func formatPriority(priority *int) string {
	if priority == nil {
		return "no route"
	}
	return strconv.Itoa(*priority)
}

func describeLoss(loss headroom.Loss) string {
	var parts []string
	if loss.Zone != "" {
		parts = append(parts, "ZONE "+loss.Zone)
	}
	if loss.Upstreams > 0 {
		parts = append(parts, fmt.Sprintf("%d UPSTREAMS OF EACH SERVICE", loss.Upstreams))
	}
	return strings.Join(parts, " AND ")
}

// headroomFetcher asks relays for their reports, all at the same time.
type headroomFetcher struct {
	tomb    tomb.Tomb
	ctx     context.Context
	relays  []netip.AddrPort
	reports []headroom.Report
	errs    []error
	// pending holds the indexes of the relays that have not been asked yet.
	pending chan int
}

// fetchHeadroom returns the reports of the relays that answer, and an error for each other one.
func fetchHeadroom(ctx context.Context, relays []netip.AddrPort) (reports []headroom.Report, errs []error) {
	f := &headroomFetcher{
		ctx: ctx, relays: relays, reports: make([]headroom.Report, len(relays)), errs: make([]error, len(relays)), pending: make(chan int, len(relays)),
	}
	for i := range relays {
		f.pending <- i
	}
	close(f.pending)
	f.tomb.Go(f.run)
	_ = f.tomb.Wait()
	for i, err := range f.errs {
		if err != nil {
			errs = append(errs, err)
		} else {
			reports = append(reports, f.reports[i])
		}
	}
	return reports, errs
}

// run starts the loops in a goroutine of the tomb, as statusFetcher.run does.
func (f *headroomFetcher) run() error {
	for range _statusConcurrency {
		f.tomb.Go(f.loop)
	}
	return nil
}

func (f *headroomFetcher) loop() error {
	for i := range f.pending {
		f.reports[i], f.errs[i] = fetchHeadroomReport(f.ctx, f.relays[i])
	}
	return nil
}

// fetchHeadroomReport asks one relay for its report.
func fetchHeadroomReport(ctx context.Context, address netip.AddrPort) (report headroom.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, _headroomTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+_headroomPath, http.NoBody)
	if err != nil {
		return report, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, trace.ConnectionProblem(err, "relay %s does not answer: %v", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, trace.BadParameter("%s answers %s at %s; want a relay of a build that serves it", address, response.Status, _headroomPath)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, _maxHeadroomBytes)).Decode(&report); err != nil {
		return report, trace.BadParameter("answer of relay %s: %v", address, err)
	}
	return report, nil
}
