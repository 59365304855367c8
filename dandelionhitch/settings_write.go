package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// proposal holds the flags common to all commands that change settings.
type proposal struct {
	author      string
	reason      string
	base        int64
	changeID    string
	wait        bool
	waitTimeout time.Duration
}

func (p *proposal) addFlags(flags *flag.FlagSet) {
	flags.StringVar(&p.author, "author", "", "who makes the change (required)")
	flags.StringVar(&p.reason, "reason", "", "why it is made (required)")
	flags.Int64Var(&p.base, "revision", -1, "the revision that the change is based on; -1 is the one in force")
	flags.StringVar(&p.changeID, "change-id", "", "id of a change whose outcome is unknown, to settle it; needs -revision")
	flags.BoolVar(&p.wait, "wait", false, "wait until all balancers have the change in force")
	flags.DurationVar(&p.waitTimeout, "wait-timeout", _defaultWait, "how long to wait at most")
}

func settingsSet(env settingsEnvironment) *ffcli.Command {
	var p proposal
	return env.subcommand("set", "<path> <setting=value>...", "Change settings of a node.", p.addFlags,
		func(ctx context.Context, run *settingsRun, args []string) error {
			return run.changeNode(ctx, p, args, func(values *settings.Values, assignments []string) (*settings.Values, error) {
				if len(assignments) == 0 {
					return nil, trace.BadParameter("want setting=value; flags go before the path")
				}
				return assign(values, assignments)
			})
		})
}

func settingsUnset(env settingsEnvironment) *ffcli.Command {
	var p proposal
	return env.subcommand("unset", "<path> [setting]...", "Inherit settings of a node again; without any, remove what it sets.", p.addFlags,
		func(ctx context.Context, run *settingsRun, args []string) error {
			return run.changeNode(ctx, p, args, withoutFields)
		})
}

func settingsApply(env settingsEnvironment) *ffcli.Command {
	var (
		p     proposal
		prune bool
	)
	addFlags := func(flags *flag.FlagSet) {
		p.addFlags(flags)
		flags.BoolVar(&prune, "prune", false, "remove nodes that the file does not have")
	}
	return env.subcommand("apply", "<file|->", "Replace the nodes that a JSON file has.", addFlags,
		func(ctx context.Context, run *settingsRun, args []string) error {
			file, err := run.readTree(args)
			if err != nil {
				return err
			}
			return run.change(ctx, p, func(tree settings.Tree) (settings.Tree, error) {
				return wantedTree(tree, file, prune), nil
			})
		})
}

// changeNode submits a change of the node whose path is the first argument. The function
// edit gets the values of the node and the other arguments; if it returns nil, the node is
// removed.
func (run *settingsRun) changeNode(
	ctx context.Context, p proposal, args []string,
	edit func(values *settings.Values, rest []string) (*settings.Values, error),
) error {
	if len(args) == 0 {
		return trace.BadParameter("want a path")
	}
	path, err := settings.ParsePath(args[0])
	if err != nil {
		return err
	}
	return run.change(ctx, p, func(tree settings.Tree) (settings.Tree, error) {
		values, _ := tree.Get(path)
		after, err := edit(&values, args[1:])
		if err != nil {
			return tree, trace.Wrap(err, "%s", path)
		}
		if after == nil {
			return tree.Without(path), nil
		}
		return tree.With(path, *after), nil
	})
}

// change applies the function edit to the tree of the base revision, submits the resulting
// edits, and prints the accepted change.
func (run *settingsRun) change(ctx context.Context, p proposal, edit func(settings.Tree) (settings.Tree, error)) error {
	change, err := run.propose(ctx, p, edit)
	if err != nil {
		return err
	}
	accepted, err := run.editor.Submit(ctx, change)
	if err != nil {
		return run.explainRefusal(err, change)
	}
	if !run.json {
		printChange(run.stdout, accepted)
	}
	var report *waitReport
	if p.wait {
		report, err = run.awaitInForce(ctx, accepted.Revision, p.waitTimeout)
	}
	if run.json {
		err = trace.NewAggregate(err, run.printJSON(changeReport{Change: accepted, InForce: report}))
	}
	return err
}

// changeReport is the JSON output for an accepted change.
type changeReport struct {
	Change  audit.Change `json:"change"`
	InForce *waitReport  `json:"in_force,omitempty"`
}

// propose returns the change that the function edit makes to the tree of the base revision.
// It returns a BadParameter error if edit changes nothing.
func (run *settingsRun) propose(ctx context.Context, p proposal, edit func(settings.Tree) (settings.Tree, error)) (audit.Change, error) {
	id, err := p.id()
	if err != nil {
		return audit.Change{}, err
	}
	state, err := run.editor.Load(ctx)
	if err != nil {
		return audit.Change{}, err
	}
	base := state.Head.Revision
	if p.base >= 0 {
		base = settings.Revision(p.base)
	}
	baseTree, err := run.treeAt(ctx, state, base)
	if err != nil {
		return audit.Change{}, err
	}
	wanted, err := edit(baseTree)
	if err != nil {
		return audit.Change{}, err
	}
	edits := baseTree.Diff(wanted)
	if len(edits) == 0 {
		return audit.Change{}, trace.BadParameter("nothing to change: revision %d is like this already", base)
	}
	return audit.Change{ID: id, Base: base, Author: p.author, Reason: p.reason, Time: run.now().UTC(), Edits: edits}, nil
}

// id returns the change ID from -change-id, or a random one if that is not set.
func (p proposal) id() (audit.ChangeID, error) {
	if p.changeID == "" {
		var random [16]byte
		if _, err := rand.Read(random[:]); err != nil {
			return "", trace.Wrap(err)
		}
		return audit.NewChangeID(random), nil
	}
	if p.base < 0 {
		return "", trace.BadParameter("-change-id needs -revision: the revision that the change is based on")
	}
	var id audit.ChangeID
	err := id.UnmarshalText([]byte(p.changeID))
	return id, err
}

// refusalReport is the JSON output for a change that conflicts with accepted changes.
type refusalReport struct {
	Refused *audit.ConflictError `json:"refused"`
}

// explainRefusal prints the accepted changes with which a refused change conflicts. If the
// outcome of the change is unknown instead, it adds to the error how to settle the outcome.
// It returns the error.
func (run *settingsRun) explainRefusal(err error, change audit.Change) error {
	var conflict *audit.ConflictError
	switch {
	case errors.As(err, &conflict) && run.json:
		return trace.NewAggregate(err, run.printJSON(refusalReport{Refused: conflict}))
	case errors.As(err, &conflict):
		fmt.Fprintf(run.stdout, "refused: the branch has changed since revision %d\n\nyour change: %s\n", change.Base, change.Reason)
		printEdits(run.stdout, conflict.Mine.Edits)
		fmt.Fprintln(run.stdout, "\naccepted since:")
		for _, theirs := range conflict.Theirs {
			printChange(run.stdout, theirs)
		}
	case platform.IsAmbiguous(err):
		return trace.Wrap(err, "it is not known whether the change was accepted; to settle it, repeat the command with -change-id %s -revision %d", change.ID, change.Base)
	}
	return err
}

// assign applies setting=value assignments to values and reports all errors at once.
// A value is tried as JSON, then as a string, then as a list of strings separated by
// commas.
func assign(values *settings.Values, assignments []string) (*settings.Values, error) {
	var findings []error
	for _, assignment := range assignments {
		name, value, ok := strings.Cut(assignment, "=")
		if !ok {
			findings = append(findings, trace.BadParameter("%q: want setting=value; flags go before the path", assignment))
			continue
		}
		next, err := assignOne(*values, settings.Field(name), value)
		if err != nil {
			findings = append(findings, err)
			continue
		}
		*values = next
	}
	return values, trace.NewAggregate(findings...)
}

// assignOne sets a field to the first interpretation of value that the field accepts, or
// returns the error of the first interpretation that is valid JSON.
func assignOne(values settings.Values, field settings.Field, value string) (settings.Values, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return values, trace.Wrap(err)
	}
	list, err := json.Marshal(strings.Split(value, ","))
	if err != nil {
		return values, trace.Wrap(err)
	}
	var firstErr error
	for _, candidate := range []json.RawMessage{json.RawMessage(value), text, list} {
		if !json.Valid(candidate) {
			continue
		}
		next, err := values.With(field, candidate)
		if err == nil {
			return next, nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return values, firstErr
}

// withoutFields unsets the given fields. If fields is empty, it returns nil, which removes
// the node.
func withoutFields(values *settings.Values, fields []string) (*settings.Values, error) {
	if len(fields) == 0 {
		return nil, nil
	}
	var findings []error
	for _, field := range fields {
		next, err := values.Without(settings.Field(field))
		if err != nil {
			findings = append(findings, err)
		}
		*values = next
	}
	return values, trace.NewAggregate(findings...)
}
