package main

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/relay"
	"dandelionhitch.example/soak"
)

// _mutantPrefix begins the name of a program whose relays do something wrong.
const _mutantPrefix = "mutant-"

// mutants are relays that each break one promise, by the promise's name in reports.
var mutants = map[string]relay.Wire{
	"packets arrive as they were sent": &changingWire{},
	"flows reach their own service":    straightWire{},
	"open flows are not reset":         &reopeningWire{},
}

// _mutantEvery is one in how many packets or flows a mutant treats wrongly.
const _mutantEvery = 20

// changingWire changes a byte of some packets with data.
type changingWire struct {
	platform.PacketWire
	packets int
}

func (w *changingWire) Decode(b []byte) (flow.Packet, error) {
	p, err := w.PacketWire.Decode(b)
	if err == nil && p.Size > 0 {
		if w.packets++; w.packets%_mutantEvery == 0 {
			b[len(b)-1] ^= 1
		}
	}
	return p, err
}

// straightWire takes some flows for those of the address before theirs, which
// another service has.
type straightWire struct{ platform.PacketWire }

func (w straightWire) Decode(b []byte) (flow.Packet, error) {
	p, err := w.PacketWire.Decode(b)
	if err == nil && p.Source.Port()%_mutantEvery == 0 {
		p.Destination = netip.AddrPortFrom(p.Destination.Addr().Prev(), p.Destination.Port())
	}
	return p, err
}

// reopeningWire takes some packets with data for opening ones, which go to any
// upstream; one that does not have the flow gives them back.
type reopeningWire struct {
	platform.PacketWire
	packets int
}

func (w *reopeningWire) Decode(b []byte) (flow.Packet, error) {
	p, err := w.PacketWire.Decode(b)
	if err == nil && p.Size > 0 {
		if w.packets++; w.packets%_mutantEvery == 0 {
			p.Flags = flow.SYN
		}
	}
	return p, err
}

// runMutant runs this program as the mutant of its name.
func runMutant(name string, args []string) int {
	if args[0] != "relay" {
		return run(context.Background(), args, os.Stdin, os.Stdout, os.Stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	f := newRelayFlags(os.Stdout, os.Stderr)
	f.wire = mutants[name]
	if err := ff.Parse(f.FlagSet, args[1:], f.options()...); err != nil {
		return _exitUsage
	}
	if err := f.run(ctx); err != nil {
		return _exitFailed
	}
	return _exitOK
}

// TestSoakFindsMutants runs the soak with relays that break a promise now and
// then: its report must name that promise.
func TestSoakFindsMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("dozens of processes under the race detector")
	}
	for promise := range mutants {
		t.Run(promise, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			program := filepath.Join(dir, _mutantPrefix+strings.ReplaceAll(promise, " ", "-"))
			binary, err := os.Executable()
			assert.NilError(t, err)
			assert.NilError(t, os.Symlink(binary, program))
			report, err := soak.Run(soak.Config{
				Program: program, Dir: dir, Seed: 100, Faults: time.Second, Rest: time.Second,
				Relays: 3, Hosts: 5, CallsPerSecond: 60,
			})
			assert.NilError(t, err)
			var b bytes.Buffer
			report.Print(&b)
			for _, p := range report.Promises {
				if p.Name == promise {
					assert.Assert(t, len(p.Breaches) > 0, "%s", b.String())
				}
			}
		})
	}
}
