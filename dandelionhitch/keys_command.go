package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// keysCommand returns the command that creates and rotates keys. The command prints
// the resulting key file and modifies no file.
func keysCommand(stdout io.Writer) *ffcli.Command {
	editCommand := func(name, usage, help string, change func(*keyFile, uint8) error) *ffcli.Command {
		return &ffcli.Command{
			Name:       name,
			ShortUsage: "dandelionhitch keys " + usage,
			ShortHelp:  help,
			Exec: func(_ context.Context, args []string) error {
				return editKeys(stdout, args, change)
			},
		}
	}
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "dandelionhitch keys new | add FILE | use FILE NUMBER | drop FILE NUMBER",
		ShortHelp:  "Make and rotate the keys that balancers and agents share.",
		LongHelp: "A rotation has three steps, each brought to every process (SIGHUP) before the next:\n" +
			"add a key, use it, and drop the old one once the flows under it have ended.",
		Exec: helpExec,
		Subcommands: []*ffcli.Command{
			{
				Name:       "new",
				ShortUsage: "dandelionhitch keys new",
				ShortHelp:  "Print a key file with one random key.",
				Exec: func(_ context.Context, args []string) error {
					if len(args) > 0 {
						return trace.BadParameter("keys new takes no arguments")
					}
					return printNewKeys(stdout)
				},
			},
			editCommand("add", "add FILE", "Print the file with one more random key, accepted but not in use.", addKey),
			editCommand("use", "use FILE NUMBER", "Print the file with this key in use.", useKey),
			editCommand("drop", "drop FILE NUMBER", "Print the file without this key.", dropKey),
		},
	}
}

func printNewKeys(stdout io.Writer) error {
	file := &keyFile{}
	if err := addKey(file, 0); err != nil {
		return err
	}
	file.Current = file.Keys[0].Number
	return file.print(stdout)
}

// editKeys reads the key file args[0], applies change with the key number args[1],
// and prints the result.
func editKeys(stdout io.Writer, args []string, change func(*keyFile, uint8) error) error {
	const maxArgs = 2
	if len(args) == 0 || len(args) > maxArgs {
		return trace.BadParameter("want a key file, and the number of a key to use or drop")
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := parseKeys(data); err != nil {
		return trace.Wrap(err, "key file %s", args[0])
	}
	var file keyFile
	if err := json.Unmarshal(data, &file); err != nil {
		return trace.Wrap(err, "key file %s", args[0])
	}
	number := uint64(0)
	if len(args) == maxArgs {
		if number, err = strconv.ParseUint(args[1], 10, 8); err != nil {
			return trace.BadParameter("key number %q: %v", args[1], err)
		}
	}
	if err := change(&file, uint8(number)); err != nil {
		return trace.Wrap(err, "key file %s", args[0])
	}
	return file.print(stdout)
}

// addKey adds a random key with the lowest unused number.
func addKey(file *keyFile, _ uint8) error {
	number := uint8(1)
	for file.find(number) >= 0 {
		number++
	}
	spec, err := newKeySpec(number)
	if err != nil {
		return err
	}
	file.Keys = append(file.Keys, spec)
	return nil
}

func useKey(file *keyFile, number uint8) error {
	if file.find(number) < 0 {
		return trace.NotFound("no key has the number %d", number)
	}
	file.Current = number
	return nil
}

func dropKey(file *keyFile, number uint8) error {
	i := file.find(number)
	switch {
	case i < 0:
		return trace.NotFound("no key has the number %d", number)
	case number == file.Current:
		return trace.BadParameter("key %d is in use; use another one first", number)
	}
	file.Keys = slices.Delete(file.Keys, i, i+1)
	return nil
}

func (f *keyFile) find(number uint8) int {
	return slices.IndexFunc(f.Keys, func(k keySpec) bool { return k.Number == number })
}

// print validates the file as balancers and agents do, and prints it.
func (f *keyFile) print(stdout io.Writer) error {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := parseKeys(data); err != nil {
		return err
	}
	_, err = stdout.Write(append(data, '\n'))
	return trace.Wrap(err)
}
