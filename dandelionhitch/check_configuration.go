package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/configcheck"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/platform"
)

// _defaultRoundTrip is the time of a round trip between callers and upstreams if it is not set:
// 3 ms in each direction, as on the users' deployments.
const _defaultRoundTrip = 6 * time.Millisecond

const _checkConfigurationHelp = `Check a configuration before it is written to the store. FILE holds the value of the object
"config/main". The exit status is 0, or 1 if there are findings. With -in-force or -platform, the
command also prints what differs from the version in force; differences are not findings, except a
version that is not higher.

What it cannot know: whether upstreams of a service run, whether callers use an address, and
whether the limits fit the run times of requests.`

// checkConfigurationFlags are the settings of the check-configuration command.
type checkConfigurationFlags struct {
	*flagSet
	platform  platformFlags
	inForce   string
	roundTrip time.Duration
	asJSON    bool
}

func checkConfigurationCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := &checkConfigurationFlags{flagSet: newFlagSet("dandelionhitch check-configuration", stderr)}
	f.StringVar(&f.inForce, "in-force", "", "file of the configuration in force")
	f.platform.add(f.flagSet)
	f.DurationVar(&f.roundTrip, "round-trip", _defaultRoundTrip, "time of a round trip between callers and upstreams; no target latency may be below it")
	f.BoolVar(&f.asJSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "check-configuration",
		ShortUsage: "dandelionhitch check-configuration FILE [-in-force FILE | -platform URL] [-round-trip DURATION] [-json]",
		ShortHelp:  "Check a configuration before it is written to the store, and compare it with the one in force.",
		LongHelp:   _checkConfigurationHelp,
		FlagSet:    f.FlagSet,
		Options:    f.options(),
		Exec: func(ctx context.Context, args []string) error {
			return f.run(ctx, args, stdout)
		},
	}
}

func (f *checkConfigurationFlags) run(ctx context.Context, args []string, stdout io.Writer) error {
	var file string
	if len(args) > 0 {
		// Package flag stops at the first argument that is not a flag; flags may also follow FILE.
		file = args[0]
		if err := f.Parse(args[1:]); err != nil {
			return trace.Wrap(err)
		}
		args = f.Args()
	}
	if file == "" {
		f.add("argument FILE", trace.BadParameter("not set"))
	}
	if f.inForce != "" && f.platform.url != "" {
		f.add("-in-force, -platform", trace.BadParameter("only one of them can be set"))
	}
	if f.roundTrip < 0 {
		f.add("-round-trip", trace.BadParameter("%v is below zero", f.roundTrip))
	}
	if err := f.check(args); err != nil {
		return err
	}
	value, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	inForce, err := f.readInForce(ctx)
	if err != nil {
		return trace.Wrap(err, "read the configuration in force")
	}
	check := checkConfiguration(value, inForce, f.roundTrip)
	if err := check.print(stdout, f.asJSON); err != nil {
		return err
	}
	if len(check.Findings) > 0 {
		return trace.BadParameter("%s: %d findings", file, len(check.Findings))
	}
	return nil
}

// readInForce reads the configuration in force from the file or the platform. It returns nil if
// neither is set or the store has none.
func (f *checkConfigurationFlags) readInForce(ctx context.Context) (*directory.Configuration, error) {
	var value []byte
	switch {
	case f.inForce != "":
		content, err := os.ReadFile(f.inForce)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		value = content
	case f.platform.url != "":
		client, err := f.platform.client()
		if err != nil {
			return nil, err
		}
		defer client.Close()
		object, err := client.Get(ctx, platform.ConfigurationKey)
		if trace.IsNotFound(err) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		value = object.Value
	default:
		return nil, nil
	}
	c, err := platform.DecodeWrittenConfiguration(value)
	return &c, err
}

// configurationCheck is the result of check-configuration.
type configurationCheck struct {
	Version  uint64                `json:"version"`
	Findings []configcheck.Finding `json:"findings"`
	// InForce is the version in force; zero if none is known.
	InForce uint64               `json:"in_force"`
	Changes []configcheck.Change `json:"changes"`
}

// checkConfiguration checks a configuration, and compares it with the one in force unless that
// is nil.
func checkConfiguration(value []byte, inForce *directory.Configuration, roundTrip time.Duration) configurationCheck {
	check := configurationCheck{Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	if len(value) > platform.MaxValueSize {
		check.addInvalid(trace.BadParameter("configuration has %d bytes, and the store accepts %d", len(value), platform.MaxValueSize))
	}
	c, err := platform.DecodeWrittenConfiguration(value)
	if err != nil {
		check.addInvalid(err)
		return check
	}
	check.Version = c.Version
	check.Findings = append(check.Findings, configcheck.Check(c, roundTrip)...)
	if inForce != nil {
		check.InForce = inForce.Version
		check.Findings = append(check.Findings, configcheck.CheckVersion(*inForce, c)...)
		check.Changes = append(check.Changes, configcheck.Compare(*inForce, c)...)
	}
	return check
}

// addInvalid adds a finding about the whole configuration.
func (c *configurationCheck) addInvalid(err error) {
	c.Findings = append(c.Findings, configcheck.NewFinding(configcheck.PlaceConfiguration, configcheck.Invalid, err.Error()))
}

func (c configurationCheck) print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(c))
	}
	fmt.Fprintf(out, "version %d: %d findings\n", c.Version, len(c.Findings))
	for _, f := range c.Findings {
		fmt.Fprintf(out, "  %s: %s: %s\n", f.Place, f.Kind, f.Text)
	}
	if c.InForce == 0 {
		return nil
	}
	fmt.Fprintf(out, "\nversion %d is in force: %d changes\n", c.InForce, len(c.Changes))
	for _, change := range c.Changes {
		fmt.Fprintf(out, "  %s %s\n", change.Action, change.Place)
		for _, field := range change.Fields {
			fmt.Fprintf(out, "    %s: %s to %s\n", field.Field, orDash(field.From), orDash(field.To))
		}
	}
	return nil
}
