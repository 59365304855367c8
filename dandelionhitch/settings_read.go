package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/settings"
)

// _historyLimit is the default number of changes that history prints.
const _historyLimit = 20

func settingsGet(env settingsEnvironment) *ffcli.Command {
	return env.subcommand("get", "[path]", "Print what a node and those below it set.", nil,
		func(ctx context.Context, run *settingsRun, args []string) error {
			path, state, err := run.loadAt(ctx, args)
			if err != nil {
				return err
			}
			var subtree settings.Tree
			for at, values := range state.Document.Tree().Under(path) {
				subtree = subtree.With(at, values)
			}
			return run.printTree(state.Head.Revision, subtree)
		})
}

// loadAt loads the settings for a command whose only, optional argument is a path.
func (run *settingsRun) loadAt(ctx context.Context, args []string) (settings.Path, follower.State, error) {
	path, err := optionalPath(args)
	if err != nil {
		return path, follower.State{}, err
	}
	state, err := run.editor.Load(ctx)
	return path, state, err
}

func settingsEffective(env settingsEnvironment) *ffcli.Command {
	return env.subcommand("effective", "[path]", "Print what is in force at a node, and where it comes from.", nil,
		func(ctx context.Context, run *settingsRun, args []string) error {
			path, state, err := run.loadAt(ctx, args)
			if err != nil {
				return err
			}
			return run.printEffective(state.Head.Revision, path, state.Document.Tree().Effective(path))
		})
}

func settingsHistory(env settingsEnvironment) *ffcli.Command {
	var (
		after uint64
		limit int
	)
	addFlags := func(flags *flag.FlagSet) {
		flags.Uint64Var(&after, "after", 0, "print changes above this revision")
		flags.IntVar(&limit, "limit", _historyLimit, "print this many of the latest changes; 0 prints all")
	}
	return env.subcommand("history", "[path]", "Print who changed what, when and why.", addFlags,
		func(ctx context.Context, run *settingsRun, args []string) error {
			path, err := optionalPath(args)
			if err != nil {
				return err
			}
			changes, err := run.editor.Changes(ctx, settings.Revision(after))
			if err != nil {
				return err
			}
			changes = slices.DeleteFunc(changes, func(c audit.Change) bool { return !touches(c, path) })
			if limit > 0 && len(changes) > limit {
				changes = changes[len(changes)-limit:]
			}
			return run.printHistory(changes)
		})
}

// touches reports whether a change edits path or a node below it.
func touches(change audit.Change, path settings.Path) bool {
	return slices.ContainsFunc(change.Edits, func(e settings.Edit) bool { return path.Contains(e.Path) })
}

func settingsDiff(env settingsEnvironment) *ffcli.Command {
	var (
		from, to uint64
		prune    bool
	)
	addFlags := func(flags *flag.FlagSet) {
		flags.Uint64Var(&from, "from", 0, "without a file: compare from this revision")
		flags.Uint64Var(&to, "to", 0, "without a file: compare to this revision; 0 is the one in force")
		flags.BoolVar(&prune, "prune", false, "with a file: count nodes that it does not have as removed")
	}
	return env.subcommand("diff", "[file|-]", "Print what applying a file would change, or what changed between two revisions.", addFlags,
		func(ctx context.Context, run *settingsRun, args []string) error {
			state, err := run.editor.Load(ctx)
			if err != nil {
				return err
			}
			if len(args) > 0 {
				wanted, err := run.readTree(args)
				if err != nil {
					return err
				}
				tree := state.Document.Tree()
				return run.printEdits(tree.Diff(wantedTree(tree, wanted, prune)))
			}
			if to == 0 {
				to = uint64(state.Head.Revision)
			}
			older, err := run.treeAt(ctx, state, settings.Revision(from))
			if err != nil {
				return err
			}
			newer, err := run.treeAt(ctx, state, settings.Revision(to))
			if err != nil {
				return err
			}
			return run.printEdits(older.Diff(newer))
		})
}

// treeAt returns the tree at revision, by undoing all later changes in state.
func (run *settingsRun) treeAt(ctx context.Context, state follower.State, revision settings.Revision) (settings.Tree, error) {
	tree := state.Document.Tree()
	if revision == state.Head.Revision {
		return tree, nil
	}
	if revision > state.Head.Revision {
		return tree, trace.BadParameter("revision %d: the latest is %d", revision, state.Head.Revision)
	}
	changes, err := run.editor.Changes(ctx, revision)
	if err != nil {
		return tree, err
	}
	for _, change := range slices.Backward(changes) {
		if change.Revision > state.Head.Revision {
			continue
		}
		for _, edit := range change.Edits {
			tree, err = tree.Apply(edit.Inverse())
			if err != nil {
				return tree, trace.Wrap(err, "undo revision %d", change.Revision)
			}
		}
	}
	return tree, nil
}

// readTree reads a tree from the file named by the only argument, or from stdin if the
// argument is "-".
func (run *settingsRun) readTree(args []string) (settings.Tree, error) {
	var tree settings.Tree
	if len(args) != 1 {
		return tree, trace.BadParameter("want one file, or - for standard input")
	}
	var (
		data []byte
		err  error
	)
	if args[0] == "-" && run.stdin != nil {
		data, err = io.ReadAll(run.stdin)
	} else {
		data, err = os.ReadFile(args[0])
	}
	if err != nil {
		return tree, trace.ConvertSystemError(err)
	}
	if err := json.Unmarshal(data, &tree); err != nil {
		return tree, trace.Wrap(err, "read %s", args[0])
	}
	return tree, nil
}

// wantedTree returns tree after file is applied. Nodes missing in file are retained
// unless prune is set.
func wantedTree(tree, file settings.Tree, prune bool) settings.Tree {
	if prune {
		return file
	}
	return tree.Merge(file)
}

// treeReport is the JSON output of the get command.
type treeReport struct {
	Revision settings.Revision `json:"revision"`
	Settings settings.Tree     `json:"settings"`
}

// effectiveReport is the JSON output of the effective command.
type effectiveReport struct {
	Revision  settings.Revision         `json:"revision"`
	Path      settings.Path             `json:"path"`
	Effective []settings.EffectiveValue `json:"effective"`
}

func (run *settingsRun) printTree(revision settings.Revision, tree settings.Tree) error {
	if run.json {
		return run.printJSON(treeReport{Revision: revision, Settings: tree})
	}
	fmt.Fprintf(run.stdout, "revision %d\n", revision)
	for path, values := range tree.All() {
		fmt.Fprintf(run.stdout, "%s\n", path)
		for _, field := range settings.Fields() {
			if value, ok := values.Get(field); ok {
				fmt.Fprintf(run.stdout, "  %s: %s\n", field, value)
			}
		}
	}
	return nil
}

func (run *settingsRun) printEffective(revision settings.Revision, path settings.Path, values []settings.EffectiveValue) error {
	if run.json {
		return run.printJSON(effectiveReport{Revision: revision, Path: path, Effective: values})
	}
	fmt.Fprintf(run.stdout, "%s at revision %d\n", path, revision)
	table := tabwriter.NewWriter(run.stdout, 0, 0, 2, ' ', 0)
	for _, v := range values {
		source := "from " + v.Source.Path.String()
		if v.Source.Default {
			source = "default"
		}
		fmt.Fprintf(table, "  %s\t%s\t%s\n", v.Field, v.Value, source)
	}
	return table.Flush()
}

func (run *settingsRun) printHistory(changes []audit.Change) error {
	if run.json {
		return run.printJSON(changes)
	}
	for _, change := range changes {
		printChange(run.stdout, change)
	}
	return nil
}

func printChange(w io.Writer, change audit.Change) {
	fmt.Fprintf(w, "revision %d  %s  %s  change %s, based on %d\n  %s\n", change.Revision,
		change.Time.UTC().Format(time.RFC3339), change.Author, change.ID, change.Base, change.Reason)
	printEdits(w, change.Edits)
}

func (run *settingsRun) printEdits(edits []settings.Edit) error {
	if run.json {
		return run.printJSON(edits)
	}
	printEdits(run.stdout, edits)
	return nil
}

// printEdits prints the settings that the edits change, each with the old value
// before the new one.
func printEdits(w io.Writer, edits []settings.Edit) {
	for _, edit := range edits {
		fmt.Fprintf(w, "  %s%s\n", edit.Path, nodeNote(edit))
		for _, field := range settings.Fields() {
			before, hadBefore := valueOf(edit.Before, field)
			after, hasAfter := valueOf(edit.After, field)
			if before == after && hadBefore == hasAfter {
				continue
			}
			if hadBefore {
				fmt.Fprintf(w, "  - %s: %s\n", field, before)
			}
			if hasAfter {
				fmt.Fprintf(w, "  + %s: %s\n", field, after)
			}
		}
	}
}

func nodeNote(edit settings.Edit) string {
	switch {
	case edit.Before == nil && edit.Path.IsService():
		return " (new)"
	case edit.After == nil && edit.Path.IsService():
		return " (removed)"
	default:
		return ""
	}
}

func valueOf(values *settings.Values, field settings.Field) (string, bool) {
	if values == nil {
		return "", false
	}
	data, ok := values.Get(field)
	return string(data), ok
}

func (run *settingsRun) printJSON(value any) error {
	encoder := json.NewEncoder(run.stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}
