package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/follower"
	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// explainEnvironment holds the dependencies of the explain command.
type explainEnvironment struct {
	// stdout receives the command's output. Logs are read from stdin if no file is named.
	stdout io.Writer
	stdin  io.Reader
	// store opens the platform's object API. It is called once the flags are parsed.
	store func() (platform.Store, error)
	// status queries the share and flow counts of one agent with the control RPC
	// "Limits.Status". It is nil if agents cannot be reached.
	status func(ctx context.Context, run limit.Run, path settings.Path) (leaseholder.Status, error)
	// flags adds the flags that store and status need. It may be nil.
	flags func(*flag.FlagSet)
}

// explainCommand returns the operator command that prints the limits of a service
// in force, the settings that they come from, the share of each host, and why flows
// were refused. Given a flow, a caller or a time span instead of a service, it
// reports what saved logs contain about it.
func explainCommand(env explainEnvironment) *ffcli.Command {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print JSON")
	if env.flags != nil {
		env.flags(flags)
	}
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "dandelionhitch explain [flags] SERVICE | REGION/PLACE/SERVICE | CALLER>ADDRESS [LOG...] | CALLER [LOG...] | FROM..TO [LOG...]",
		ShortHelp:  "Say which limits of a service are in force, who holds them, and why flows were refused; or what logs tell of a flow, or of a span of time.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				if from, to, ok := parsePeriod(args[0]); ok {
					return trace.Wrap(explainPeriod(env.stdout, env.stdin, from, to, args[1:]), "explain %s", args[0])
				}
			}
			if len(args) > 0 && isFlow(args[0]) {
				return trace.Wrap(explainFlows(env.stdout, env.stdin, args[0], args[1:]), "explain %s", args[0])
			}
			if len(args) != 1 {
				return trace.BadParameter("want one service, got %d arguments; flags go before it", len(args))
			}
			store, err := env.store()
			if err != nil {
				return trace.Wrap(err, "explain")
			}
			explanations, err := env.explain(ctx, store, args[0])
			if err != nil {
				return trace.Wrap(err, "explain %s", args[0])
			}
			return env.print(explanations, *asJSON)
		},
	}
}

// explain returns an explanation for each place whose service matches name.
func (env explainEnvironment) explain(ctx context.Context, store platform.Store, name string) ([]explanation, error) {
	editor := follower.NewEditor(store)
	state, err := editor.Load(ctx)
	if err != nil {
		return nil, err
	}
	paths, err := servicePaths(state.Document, name)
	if err != nil {
		return nil, err
	}
	gatherer := explainGatherer{env: env, store: store, editor: editor, state: state}
	explanations := make([]explanation, 0, len(paths))
	for _, path := range paths {
		facts, err := gatherer.gather(ctx, path)
		if err != nil {
			return nil, err
		}
		explanations = append(explanations, explainLimits(facts))
	}
	return explanations, nil
}

// servicePaths returns the sorted paths of the services that match name, which is
// either a full path or the name of a service at any place. It returns a NotFound
// error if there is none.
func servicePaths(document *settings.Document, name string) ([]settings.Path, error) {
	if strings.Contains(name, "/") {
		path, err := settings.ParsePath(name)
		if err != nil {
			return nil, err
		}
		if _, ok := document.Service(path); !ok {
			return nil, trace.NotFound("%s: no such service in revision %d", path, document.Revision())
		}
		return []settings.Path{path}, nil
	}
	var paths []settings.Path
	for s := range document.Services() {
		if s.Name == service.Name(name) {
			paths = append(paths, settings.Path{Region: s.Region, Place: s.Place, Name: s.Name})
		}
	}
	if len(paths) == 0 {
		return nil, trace.NotFound("%s: no such service in revision %d", name, document.Revision())
	}
	slices.SortFunc(paths, func(a, b settings.Path) int { return strings.Compare(a.String(), b.String()) })
	return paths, nil
}

func (env explainEnvironment) print(explanations []explanation, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(env.stdout)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(explanations))
	}
	for _, e := range explanations {
		if _, err := io.WriteString(env.stdout, e.String()); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
