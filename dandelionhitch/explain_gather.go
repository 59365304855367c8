package main

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

const (
	// _statusConcurrency bounds the status calls in progress.
	_statusConcurrency = 16
	// _statusTimeout bounds the status call to one agent.
	_statusTimeout = 2 * time.Second
)

// _historyDepths are the numbers of latest revisions searched for the changes that set
// the limits. The search starts with the smaller number and, if that is not enough,
// continues with the larger one, which bounds its cost.
var _historyDepths = []settings.Revision{audit.BatchSize, 32 * audit.BatchSize}

// explainFacts is the input of explainLimits.
type explainFacts struct {
	path     settings.Path
	revision settings.Revision
	limits   limit.Limits
	values   []settings.EffectiveValue
	// changes are the latest accepted changes with their edits, oldest first.
	changes []audit.Change
	share   limit.Share
	// statuses and failures hold the result of each agent's status call, in the order
	// of share.Entries.
	statuses []leaseholder.Status
	failures []error
}

// explainGatherer collects the facts for explanations based on one state of the settings.
type explainGatherer struct {
	env    explainEnvironment
	store  platform.Store
	editor *follower.Editor
	state  follower.State
}

// gather collects the facts about the service at path.
func (g explainGatherer) gather(ctx context.Context, path settings.Path) (explainFacts, error) {
	tree := g.state.Document.Tree()
	inForce, _ := g.state.Document.Service(path)
	facts := explainFacts{
		path:     path,
		revision: g.state.Head.Revision,
		limits:   limit.LimitsOf(inForce),
	}
	for _, value := range tree.Effective(path) {
		if isLimit(value.Field) {
			facts.values = append(facts.values, value)
		}
	}
	var err error
	if facts.changes, err = g.changes(ctx, facts.values); err != nil {
		return facts, err
	}
	if facts.share, err = g.share(ctx, path); err != nil {
		return facts, err
	}
	facts.statuses, facts.failures = g.fetchStatuses(ctx, path, facts.share.Entries)
	return facts, nil
}

// isLimit reports whether a field bounds flows or requests.
func isLimit(field settings.Field) bool {
	switch field {
	case "max_flows", "max_flows_per_upstream", "max_hosts", "slots", "reserved_slots", "queue_length", "drain_deadline":
		return true
	default:
		return false
	}
}

// changes returns the latest changes, oldest first. It searches back until they
// include the changes that set all values, or up to the last of _historyDepths.
func (g explainGatherer) changes(ctx context.Context, values []settings.EffectiveValue) (changes []audit.Change, err error) {
	for _, depth := range _historyDepths {
		after := g.state.Head.Revision - min(depth, g.state.Head.Revision)
		if changes, err = g.editor.Changes(ctx, after); err != nil {
			return nil, err
		}
		if after == 0 || allOriginsFound(changes, values) {
			break
		}
	}
	return changes, nil
}

// allOriginsFound reports whether changes include, for each value that is not a default,
// the change that set it.
func allOriginsFound(changes []audit.Change, values []settings.EffectiveValue) bool {
	return !slices.ContainsFunc(values, func(v settings.EffectiveValue) bool {
		_, found := changeThatSet(changes, v)
		return !found && !v.Source.Default
	})
}

// changeThatSet returns the latest change that set the value at its source node.
func changeThatSet(changes []audit.Change, value settings.EffectiveValue) (audit.Change, bool) {
	for _, change := range slices.Backward(changes) {
		for _, edit := range change.Edits {
			if edit.Path == value.Source.Path && edit.After != nil && changesField(edit, value.Field) {
				return change, true
			}
		}
	}
	return audit.Change{}, false
}

func changesField(edit settings.Edit, field settings.Field) bool {
	after, _ := edit.After.Get(field)
	var before json.RawMessage
	if edit.Before != nil {
		before, _ = edit.Before.Get(field)
	}
	return !bytes.Equal(before, after)
}

// share reads the shares of the service from the store. It returns an empty share if
// no agent has ever joined.
func (g explainGatherer) share(ctx context.Context, path settings.Path) (share limit.Share, err error) {
	object, err := g.store.Get(ctx, limit.Key(path))
	if trace.IsNotFound(err) {
		return share, nil
	}
	if err != nil {
		return share, trace.Wrap(err, "read the shares")
	}
	return share, trace.Wrap(json.Unmarshal(object.Value, &share), "read the shares")
}

// fetchStatuses queries the agents of all entries, at most _statusConcurrency at a
// time. It returns their statuses and errors in the order of the entries.
func (g explainGatherer) fetchStatuses(ctx context.Context, path settings.Path, entries []limit.Entry) ([]leaseholder.Status, []error) {
	fetcher := &statusFetcher{
		ctx:      ctx,
		path:     path,
		status:   g.env.status,
		entries:  entries,
		statuses: make([]leaseholder.Status, len(entries)),
		failures: make([]error, len(entries)),
		pending:  make(chan int, len(entries)),
	}
	for i := range entries {
		fetcher.pending <- i
	}
	close(fetcher.pending)
	fetcher.tomb.Go(fetcher.run)
	_ = fetcher.tomb.Wait()
	return fetcher.statuses, fetcher.failures
}

// statusFetcher queries the statuses of agents concurrently.
type statusFetcher struct {
	tomb     tomb.Tomb
	ctx      context.Context
	path     settings.Path
	status   func(ctx context.Context, run limit.Run, path settings.Path) (leaseholder.Status, error)
	entries  []limit.Entry
	statuses []leaseholder.Status
	failures []error
	// pending holds the indices of the entries whose agents have not been queried yet.
	pending chan int
}

// run starts the loops. It runs in a goroutine of the tomb itself: a loop without
// entries returns at once, and a tomb accepts no new goroutines after all of its
// goroutines have ended.
func (f *statusFetcher) run() error {
	for range _statusConcurrency {
		f.tomb.Go(f.loop)
	}
	return nil
}

func (f *statusFetcher) loop() error {
	for i := range f.pending {
		f.statuses[i], f.failures[i] = f.fetch(f.entries[i].Run)
	}
	return nil
}

// fetch returns the status of the agent of run. It returns a NotFound error if a
// different run answers at its address.
func (f *statusFetcher) fetch(run limit.Run) (leaseholder.Status, error) {
	if f.status == nil {
		return leaseholder.Status{}, trace.NotImplemented("agents cannot be asked from here")
	}
	ctx, cancel := context.WithTimeout(f.ctx, _statusTimeout)
	defer cancel()
	status, err := f.status(ctx, run, f.path)
	if err == nil && status.Run != run {
		err = trace.NotFound("another run answers at %s", run.Address)
	}
	return status, err
}
