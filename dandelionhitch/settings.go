package main

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// memberRevision says which revision one balancer has in force.
type memberRevision struct {
	Member   string            `json:"member"`
	Revision settings.Revision `json:"revision"`
}

// settingsEnvironment is what the settings command needs of its surroundings.
type settingsEnvironment struct {
	// stdout receives the command's output.
	stdout io.Writer
	// store opens the platform's object API.
	store func() (platform.Store, error)
	// members lists the balancers and the revision that each has in force; nil when unknown.
	members func(ctx context.Context) ([]memberRevision, error)
	// now is the clock; time.Now when nil.
	now func() time.Time
}

// settingsCommand is the operator's subcommand that reads and changes settings.
func settingsCommand(env settingsEnvironment) *ffcli.Command {
	return &ffcli.Command{Name: "settings", ShortUsage: "dandelionhitch settings <subcommand>"}
}
