// Package keeper is a balancer's part in the membership: it hears agents,
// exchanges the roster with other balancers, and judges who is gone.
package keeper

import (
	"context"
	"net/netip"

	"dandelionhitch.example/control"
	"dandelionhitch.example/roster"
)

// Caller makes calls to other processes; *control.Client is one.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Keeper is a balancer's part in the membership.
type Keeper struct{}

// New starts a keeper for the balancer that self describes. The record's Seq
// may be zero; the keeper numbers the states.
func New(self roster.Member, client Caller, opts ...Option) (*Keeper, error) {
	return &Keeper{}, nil
}

// Register offers the rpc service "Keeper" at the server.
func (k *Keeper) Register(server *control.Server) error { return nil }

// View returns the current snapshot.
func (k *Keeper) View() roster.View { return roster.View{} }

// Self returns the balancer's own record.
func (k *Keeper) Self() roster.Member { return roster.Member{} }

// Updates returns a channel of capacity 1 that gets a value after the view changed.
func (k *Keeper) Updates() <-chan struct{} { return nil }

// RevisionChanged tells the keeper that the settings revision in force here
// has changed, so that the member record is written anew.
func (k *Keeper) RevisionChanged() {}

// Drain tells other members that this balancer is leaving.
func (k *Keeper) Drain(ctx context.Context) error { return nil }

// Close tells the other members that this balancer is gone, removes its lease
// and waits until all is stopped.
func (k *Keeper) Close() error { return nil }
