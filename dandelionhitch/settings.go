package main

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/follower"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// memberRevision is the settings revision in force at one balancer.
type memberRevision struct {
	Member   string            `json:"member"`
	Revision settings.Revision `json:"revision"`
}

// settingsEnvironment holds the dependencies of the settings command.
type settingsEnvironment struct {
	// stdout receives the command's output.
	stdout io.Writer
	// stdin is read by "apply -" and "diff -".
	stdin io.Reader
	// store opens the platform's object API. It is called once the flags are parsed.
	store func() (platform.Store, error)
	// members lists the balancers with the revision in force at each. It is nil if
	// balancers cannot be reached.
	members func(ctx context.Context) ([]memberRevision, error)
	// flags adds flags common to all subcommands. It may be nil.
	flags func(*flag.FlagSet)
	// now is the clock; time.Now if nil.
	now func() time.Time
}

// settingsCommand returns the operator command that reads and changes settings.
func settingsCommand(env settingsEnvironment) *ffcli.Command {
	if env.now == nil {
		env.now = time.Now
	}
	command := &ffcli.Command{
		Name:       "settings",
		ShortUsage: "dandelionhitch settings <subcommand> [flags] [arguments]",
		ShortHelp:  "Read and change the settings tree.",
		LongHelp: "A path is REGION, REGION/PLACE or REGION/PLACE/SERVICE; the root is /.\n" +
			"A node inherits what it does not set itself. A change is refused if its branch\n" +
			"(the node, those above it and those below it) has changed since the revision\n" +
			"that it is based on.",
		FlagSet: flag.NewFlagSet("settings", flag.ContinueOnError),
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, add := range []func(settingsEnvironment) *ffcli.Command{
		settingsGet, settingsEffective, settingsHistory, settingsStatus, settingsDiff,
		settingsSet, settingsUnset, settingsApply,
	} {
		command.Subcommands = append(command.Subcommands, add(env))
	}
	return command
}

// settingsRun is the state of one invocation of a subcommand.
type settingsRun struct {
	settingsEnvironment
	json   bool
	editor *follower.Editor
}

// subcommand returns a command that opens the store before it calls exec.
// addFlags adds the flags of the subcommand and may be nil.
func (env settingsEnvironment) subcommand(
	name, usage, help string,
	addFlags func(*flag.FlagSet),
	exec func(ctx context.Context, run *settingsRun, args []string) error,
) *ffcli.Command {
	run := &settingsRun{settingsEnvironment: env}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.BoolVar(&run.json, "json", false, "print JSON")
	if env.flags != nil {
		env.flags(flags)
	}
	if addFlags != nil {
		addFlags(flags)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "dandelionhitch settings " + name + " [flags] " + usage,
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			store, err := env.store()
			if err != nil {
				return trace.Wrap(err, "settings %s", name)
			}
			run.editor = follower.NewEditor(store)
			return exec(ctx, run, args)
		},
	}
}

// optionalPath parses the only argument as a path. Without arguments it returns the root.
func optionalPath(args []string) (settings.Path, error) {
	switch len(args) {
	case 0:
		return settings.Path{}, nil
	case 1:
		return settings.ParsePath(args[0])
	default:
		return settings.Path{}, trace.BadParameter("want one path, got %d arguments; flags go before them", len(args))
	}
}
