// Command dandelionhitch is a layer-4 load balancer for small operators.
//
// One program plays every role. A balancer runs on an entry VM and forwards
// datagrams without keeping flow state; an agent runs beside each upstream and
// ends the callers' QUIC flows; the settings and explain commands are for
// operators; the try command runs all roles and small stand-ins in one process.
//
// The package only assembles: each role is a handful of modules joined by
// narrow interfaces, and this package reads their settings, gives them sockets,
// keys, logs and metrics, and stops them in order.
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

// run parses args, runs the chosen command, and returns the exit status.
// The context ends when the process is told to stop.
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
			},
			operatorCommands(stdin, stdout, stderr)...,
		),
		Exec: helpExec,
	}
}

// helpExec makes a command that only has subcommands print its usage.
func helpExec(context.Context, []string) error { return flag.ErrHelp }
