package main

import (
	"encoding"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"
)

// _envPrefix begins the name of every environment variable that sets a flag.
const _envPrefix = "DANDELIONHITCH"

// usageError reports invalid settings of a command. It holds all findings at once.
type usageError struct {
	findings []finding
}

// finding is one error in the settings. place names the flag, file key or argument.
type finding struct {
	place string
	err   error
}

// Error returns the findings, one per line.
func (e *usageError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d settings refused:", len(e.findings))
	for _, f := range e.findings {
		fmt.Fprintf(&b, "\n  %s: %v", f.place, f.err)
	}
	return b.String()
}

// flagSet holds the flags of one command and validates them. A value on the command line
// takes precedence over the environment, and the environment over the JSON file named by
// -config, whose keys are the flags' names in snake case. Errors are collected until all
// values have been read, so that one start reports all findings.
type flagSet struct {
	*flag.FlagSet
	file     string
	findings []finding
	required []string
	// overrides are the flags that the command line and the environment set, as arguments.
	overrides []string
}

// decodedValue is the value of a flag that a function decodes. It keeps the text.
type decodedValue struct {
	text   string
	decode func(string) error
}

// String returns the text. It implements flag.Value.
func (v *decodedValue) String() string { return v.text }

// Set decodes the text. It implements flag.Value.
func (v *decodedValue) Set(text string) error {
	v.text = text
	return v.decode(text)
}

// newFlagSet returns a flag set with the -config flag. Usage texts go to output.
func newFlagSet(name string, output io.Writer) *flagSet {
	s := &flagSet{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError)}
	s.SetOutput(output)
	s.StringVar(&s.file, "config", "", "JSON file that sets flags by their names in snake case")
	return s
}

// options returns the options with which ff parses the flags.
func (s *flagSet) options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(_envPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(s.parseFile),
	}
}

// Func adds a flag whose value is decoded by decode. Unlike flag.FlagSet.Func, it keeps the
// text, which values returns.
func (s *flagSet) Func(name, usage string, decode func(string) error) {
	s.Var(&decodedValue{decode: decode}, name, usage)
}

// values returns the values of all flags, by their names.
func (s *flagSet) values() map[string]string {
	values := make(map[string]string)
	s.VisitAll(func(f *flag.Flag) { values[f.Name] = f.Value.String() })
	return values
}

// text adds a flag whose value is decoded by target. A decoding error becomes a finding.
func (s *flagSet) text(target encoding.TextUnmarshaler, name, usage string) {
	s.Func(name, usage, func(value string) error {
		s.add("-"+name, target.UnmarshalText([]byte(value)))
		return nil
	})
}

// addresses adds a flag that takes IP:PORT addresses separated by commas, or an empty
// value.
func (s *flagSet) addresses(target *[]netip.AddrPort, name, usage string) {
	s.Func(name, usage, func(value string) error {
		*target = nil
		if value == "" {
			return nil
		}
		for item := range strings.SplitSeq(value, ",") {
			address, err := netip.ParseAddrPort(strings.TrimSpace(item))
			s.add("-"+name, err)
			*target = append(*target, address)
		}
		return nil
	})
}

// require makes check report each of the named flags that is not set.
func (s *flagSet) require(names ...string) {
	s.required = append(s.required, names...)
}

// add records a finding unless err is nil.
func (s *flagSet) add(place string, err error) {
	if err != nil {
		s.findings = append(s.findings, finding{place: place, err: err})
	}
}

// check returns a usageError with all findings, or nil. Missing required flags and
// any args are findings.
func (s *flagSet) check(args []string) error {
	set := make(map[string]bool)
	s.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for _, name := range s.required {
		if !set[name] {
			s.add("-"+name, trace.BadParameter("not set"))
		}
	}
	for _, arg := range args {
		s.add(fmt.Sprintf("argument %q", arg), trace.BadParameter("not expected"))
	}
	if len(s.findings) > 0 {
		return &usageError{findings: s.findings}
	}
	return nil
}

// parseFile reads a JSON object from r and calls set for each key that is a flag.
// Errors become findings, so it always returns nil. The flags that are set by then are
// those that take precedence over the file.
func (s *flagSet) parseFile(r io.Reader, set func(name, value string) error) error {
	s.Visit(func(f *flag.Flag) { s.overrides = append(s.overrides, "-"+f.Name+"="+f.Value.String()) })
	decoder := json.NewDecoder(r)
	decoder.UseNumber()
	var values map[string]any
	if err := decoder.Decode(&values); err != nil {
		s.add(s.file, trace.Wrap(err, "want one JSON object"))
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		place := s.file + ": " + key
		name := strings.ReplaceAll(key, "_", "-")
		if strings.Contains(key, "-") || s.Lookup(name) == nil {
			s.add(place, trace.NotFound("no such setting"))
			continue
		}
		text, err := flagText(values[key])
		if err != nil {
			s.add(place, err)
			continue
		}
		s.add(place, set(name, text))
	}
	return nil
}

// flagText converts a decoded JSON value to the text of a flag. Items of a list are
// joined by commas.
func flagText(value any) (string, error) {
	switch v := value.(type) {
	case string:
		return v, nil
	case bool, json.Number:
		return fmt.Sprint(v), nil
	case []any:
		items := make([]string, 0, len(v))
		for _, item := range v {
			text, err := flagText(item)
			if err != nil {
				return "", err
			}
			items = append(items, text)
		}
		return strings.Join(items, ","), nil
	default:
		return "", trace.BadParameter("want a string, number, boolean, or a list of these")
	}
}
