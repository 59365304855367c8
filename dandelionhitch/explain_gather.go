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
	// _explainAskers is how many agents are asked at once.
	_explainAskers = 16
	// _explainTimeout bounds the question to one agent.
	_explainTimeout = 2 * time.Second
)

// _explainReach is how many revisions back the change that set a limit is
// looked for: first near, then as far as is affordable.
var _explainReach = []settings.Revision{audit.BatchSize, 32 * audit.BatchSize}

// explainFacts is all that an explanation is made of.
type explainFacts struct {
	path     settings.Path
	revision settings.Revision
	limits   limit.Limits
	values   []settings.EffectiveValue
	// changes are the latest accepted changes with their edits, oldest first.
	changes []audit.Change
	share   limit.Share
	// statuses and failures are the agents' answers, in the order of the share's entries.
	statuses []leaseholder.Status
	failures []error
}

// explainGatherer collects facts for explanations of one state of the settings.
type explainGatherer struct {
	env    explainEnvironment
	store  platform.Store
	editor *follower.Editor
	state  follower.State
}

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
	facts.statuses, facts.failures = g.ask(ctx, path, facts.share.Entries)
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

// changes returns the latest changes, far enough back to hold those that set
// the values if that is affordable.
func (g explainGatherer) changes(ctx context.Context, values []settings.EffectiveValue) (changes []audit.Change, err error) {
	for _, reach := range _explainReach {
		after := g.state.Head.Revision - min(reach, g.state.Head.Revision)
		if changes, err = g.editor.Changes(ctx, after); err != nil {
			return nil, err
		}
		if after == 0 || allFound(changes, values) {
			break
		}
	}
	return changes, nil
}

func allFound(changes []audit.Change, values []settings.EffectiveValue) bool {
	return !slices.ContainsFunc(values, func(v settings.EffectiveValue) bool {
		_, found := changeThatSet(changes, v)
		return !found && !v.Source.Default
	})
}

// changeThatSet returns the latest change that gave a node its value.
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

// share reads the shares; a service whose agents never joined has none.
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

// ask asks each entry's agent for its status, some at a time.
func (g explainGatherer) ask(ctx context.Context, path settings.Path, entries []limit.Entry) ([]leaseholder.Status, []error) {
	asker := &explainAsker{
		ctx:      ctx,
		path:     path,
		status:   g.env.status,
		entries:  entries,
		statuses: make([]leaseholder.Status, len(entries)),
		failures: make([]error, len(entries)),
		next:     make(chan int, len(entries)),
	}
	for i := range entries {
		asker.next <- i
	}
	close(asker.next)
	asker.tomb.Go(asker.run)
	_ = asker.tomb.Wait()
	return asker.statuses, asker.failures
}

// explainAsker asks agents for their statuses.
type explainAsker struct {
	tomb     tomb.Tomb
	ctx      context.Context
	path     settings.Path
	status   func(ctx context.Context, run limit.Run, path settings.Path) (leaseholder.Status, error)
	entries  []limit.Entry
	statuses []leaseholder.Status
	failures []error
	// next has the indices of the entries that nobody has asked yet.
	next chan int
}

// run starts the loops. It is one of the tomb's goroutines itself, since a tomb
// takes no more once all of them have ended, which a loop may do at once.
func (a *explainAsker) run() error {
	for range _explainAskers {
		a.tomb.Go(a.loop)
	}
	return nil
}

func (a *explainAsker) loop() error {
	for i := range a.next {
		a.statuses[i], a.failures[i] = a.ask(a.entries[i].Run)
	}
	return nil
}

// ask returns an agent's status if it is of the run that has the entry.
func (a *explainAsker) ask(run limit.Run) (leaseholder.Status, error) {
	if a.status == nil {
		return leaseholder.Status{}, trace.NotImplemented("agents cannot be asked from here")
	}
	ctx, cancel := context.WithTimeout(a.ctx, _explainTimeout)
	defer cancel()
	status, err := a.status(ctx, run, a.path)
	if err == nil && status.Run != run {
		err = trace.NotFound("another run answers at %s", run.Address)
	}
	return status, err
}
