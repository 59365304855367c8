package main

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// explainEnvironment is what the explain command needs of its surroundings.
type explainEnvironment struct {
	// stdout receives the command's output.
	stdout io.Writer
	// store opens the platform's object API.
	store func() (platform.Store, error)
	// status asks one agent for its view of its share by the control rpc
	// "Limits.Status"; nil when agents cannot be reached.
	status func(ctx context.Context, run limit.Run, path settings.Path) (leaseholder.Status, error)
	// now is the clock; time.Now when nil.
	now func() time.Time
}

// explainCommand is the operator's subcommand that says which limit of a
// service is in force, where it comes from, who holds it, and why flows were refused.
func explainCommand(env explainEnvironment) *ffcli.Command {
	return &ffcli.Command{Name: "explain", ShortUsage: "dandelionhitch explain <region/place/service>"}
}
