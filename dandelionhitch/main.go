// Command dandelionhitch is a layer-4 load balancer for small operators.
//
// One program has a command for each role. A balancer runs on an entry VM and
// forwards datagrams without keeping flow state; an agent runs beside each upstream
// and terminates the callers' QUIC flows. A relay and a sidecar forward opaque packets
// instead: the relay runs on an entry VM, the sidecar beside each upstream. The
// settings, explain, headroom, check-configuration and keys commands are for operators. The try
// command runs balancers and agents with stand-ins for their surroundings in one process;
// the soak command runs relays and sidecars as processes under faults.
//
// The package only assembles the roles from the other packages of the project: it
// reads settings, creates sockets, keys, logs and metrics, and stops the parts of a
// process in order.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit statuses.
const (
	_exitOK     = 0
	_exitFailed = 1
	_exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run parses args, runs the chosen command, and returns the exit status. ctx is
// canceled to stop the process.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := rootCommand(stdin, stdout, stderr)
	err := root.ParseAndRun(ctx, args)
	var usage *usageError
	switch {
	case err == nil:
		return _exitOK
	case errors.Is(err, flag.ErrHelp):
		return _exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, "dandelionhitch:", err)
		return _exitUsage
	default:
		fmt.Fprintln(stderr, "dandelionhitch:", err)
		return _exitFailed
	}
}

func rootCommand(stdin io.Reader, stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("dandelionhitch", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "dandelionhitch",
		ShortUsage: "dandelionhitch <command> [flags]",
		ShortHelp:  "A layer-4 load balancer for small operators.",
		FlagSet:    flags,
		Subcommands: append(
			[]*ffcli.Command{
				balancerCommand(stderr), agentCommand(stderr), relayCommand(stdout, stderr), sidecarCommand(stdout, stderr),
				tryCommand(stdout, stderr), soakCommand(stdout, stderr), keysCommand(stdout),
				headroomCommand(stdout, stderr), checkConfigurationCommand(stdout, stderr),
			},
			operatorCommands(stdin, stdout, stderr)...,
		),
		Exec: helpExec,
	}
}

// helpExec is the Exec of a command that only has subcommands. It makes ffcli print
// the usage.
func helpExec(context.Context, []string) error { return flag.ErrHelp }
