package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/soak"
)

// soakFlags are the settings of the soak command, which runs relays and sidecars as
// processes under random faults.
type soakFlags struct {
	*flagSet
	seed          uint64
	runs          uint
	faults, rest  time.Duration
	relays, hosts int
	rate          float64
	dir, earlier  string
	stdout        io.Writer
}

// Defaults of a soak: the size of a user's deployment, and in total about a minute per
// run.
const (
	_soakFaults = 20 * time.Second
	_soakRest   = 4 * time.Second
	_soakRelays = 6
	_soakHosts  = 9
	_soakRate   = 100 // calls a second
)

func soakCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := &soakFlags{flagSet: newFlagSet("dandelionhitch soak", stderr), stdout: stdout}
	f.Uint64Var(&f.seed, "seed", 0, "seed of the first run; 0 draws one")
	f.UintVar(&f.runs, "runs", 1, "number of runs, with seeds that follow each other")
	f.DurationVar(&f.faults, "faults", _soakFaults, "how long faults come")
	f.DurationVar(&f.rest, "rest", _soakRest, "how long the fleet is watched after them")
	f.IntVar(&f.relays, "relays", _soakRelays, "number of relays")
	f.IntVar(&f.hosts, "hosts", _soakHosts, "number of upstreams with their sidecars")
	f.Float64Var(&f.rate, "rate", _soakRate, "calls a second")
	f.StringVar(&f.earlier, "earlier", "", "program of another build, which runs on every second VM; not set: none")
	f.StringVar(&f.dir, "dir", "", "where settings and logs go; not set: a temporary directory")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "dandelionhitch soak [flags]",
		ShortHelp:  "Run relays and sidecars as processes under faults, and check what must always hold.",
		FlagSet:    f.FlagSet,
		Options:    f.options(),
		Exec: func(ctx context.Context, args []string) error {
			if f.relays < 1 || f.hosts < 1 || f.relays > 250 || f.hosts > 250 {
				f.add("-relays, -hosts", trace.BadParameter("want 1 to 250 of each"))
			}
			if err := f.check(args); err != nil {
				return err
			}
			return f.run(ctx)
		},
	}
}

// run runs the soak once for each seed, and returns an error if a run broke a promise.
func (f *soakFlags) run(ctx context.Context) error {
	program, err := os.Executable()
	if err != nil {
		return trace.Wrap(err, "soak")
	}
	dir := f.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "dandelionhitch-soak-"); err != nil {
			return trace.Wrap(err, "soak")
		}
	}
	if f.seed == 0 {
		f.seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	broken := 0
	for i := range uint64(f.runs) {
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err(), "soak")
		}
		report, err := soak.Run(soak.Config{
			Program: program, EarlierProgram: f.earlier, Dir: filepath.Join(dir, fmt.Sprint(f.seed+i)), Seed: f.seed + i, FaultDuration: f.faults, RestDuration: f.rest,
			Relays: f.relays, Hosts: f.hosts, CallsPerSecond: f.rate,
		})
		if err != nil {
			return err
		}
		report.Print(f.stdout)
		if report.Broken() {
			broken++
			fmt.Fprintf(f.stdout, "  logs: %s\n", filepath.Join(dir, fmt.Sprint(f.seed+i)))
			for _, fault := range report.Faults {
				fmt.Fprintln(f.stdout, "   ", fault)
			}
		}
	}
	if broken > 0 {
		return trace.BadParameter("soak: %d of %d runs broke a promise", broken, f.runs)
	}
	return nil
}
