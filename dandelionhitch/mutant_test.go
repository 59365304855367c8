package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
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

// _mutantPrefix begins the name of a program that does something wrong.
const _mutantPrefix = "mutant-"

// change changes settings.
type settingsChange func(settings map[string]any, dir string) error

// mutant is what a program does wrong. Its fields may be empty.
type mutant struct {
	// wire is a relay's packet format.
	wire relay.Wire
	// before, by role, changes the settings of a process before it starts. It may keep
	// files in dir.
	changes map[string]settingsChange
	// seed is that of a run in which the mutant shows; zero for _mutantSeed.
	seed uint64
}

// _mutantSeed has a drain and kills among its faults, but no change of the configuration.
const _mutantSeed = 100

// mutants each break one promise, by the promise's name in reports.
var _mutants = map[string]mutant{
	"packets arrive as they were sent":   {wire: &faultyWire{corrupt: flipBit}},
	"flows reach their own service":      {wire: misaddressingWire{}},
	"open flows are not reset":           {wire: &faultyWire{corrupt: markAsOpening}},
	"all is served after the faults":     {wire: &stoppingWire{}},
	"no new flow after a drain":          {changes: map[string]settingsChange{"sidecar": hideDrains}},
	"the last configuration is in force": {changes: map[string]settingsChange{"relay": serveFirstConfiguration}, seed: 101},
}

// _mutantEvery is one in how many packets or flows a mutant treats wrongly.
const _mutantInterval = 20

// someWire treats some packets with data wrongly.
type faultyWire struct {
	platform.PacketWire
	corrupt   func(b []byte, p *flow.Packet)
	packets int
}

func (w *faultyWire) Decode(b []byte) (flow.Packet, error) {
	p, err := w.PacketWire.Decode(b)
	if err == nil && p.Size > 0 {
		if w.packets++; w.packets%_mutantInterval == 0 {
			w.corrupt(b, &p)
		}
	}
	return p, err
}

// changeByte changes a byte of a packet.
func flipBit(b []byte, _ *flow.Packet) { b[len(b)-1] ^= 1 }

// reopen takes a packet for an opening one, which goes to any upstream; one that
// does not have the flow gives it back.
func markAsOpening(_ []byte, p *flow.Packet) { p.Flags = flow.SYN }

// straightWire takes some flows for those of the address before theirs, which
// another service has.
type misaddressingWire struct{ platform.PacketWire }

func (w misaddressingWire) Decode(b []byte) (flow.Packet, error) {
	p, err := w.PacketWire.Decode(b)
	if err == nil && p.Source.Port()%_mutantInterval == 0 {
		p.Destination = netip.AddrPortFrom(p.Destination.Addr().Prev(), p.Destination.Port())
	}
	return p, err
}

// endingWire reads no packets once its relay has run for some seconds.
type stoppingWire struct {
	platform.PacketWire
	began time.Time
}

const _stoppingWireLifetime = 7 * time.Second

func (w *stoppingWire) Decode(b []byte) (flow.Packet, error) {
	if w.began.IsZero() {
		w.began = time.Now()
	}
	if time.Since(w.began) > _stoppingWireLifetime {
		return flow.Packet{}, errors.New("the packet format is forgotten")
	}
	return w.PacketWire.Decode(b)
}

// hideDrains puts a proxy before a sidecar that tells it of no drain.
func hideDrains(settings map[string]any, _ string) error {
	publicAddr, ok := settings["control"].(string)
	if !ok {
		return errors.New("no control address")
	}
	addrPort, err := netip.ParseAddrPort(publicAddr)
	if err != nil {
		return err
	}
	ip := addrPort.Addr().As4()
	ip[1] += _hiddenOctetOffset
	hiddenAddr := netip.AddrPortFrom(netip.AddrFrom4(ip), addrPort.Port()).String()
	settings["control"] = hiddenAddr
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: hiddenAddr})
		body, err := io.ReadAll(r.In.Body)
		if err != nil {
			return // the sidecar refuses what is not whole
		}
		body = bytes.ReplaceAll(body, []byte("draining"), []byte("ready"))
		r.Out.Body, r.Out.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}}
	return serveMutant(publicAddr, proxy)
}

// keepFirst puts a proxy between a relay and the store that always gives the
// first configuration that any relay has read.
func serveFirstConfiguration(settings map[string]any, dir string) error {
	store, ok := settings["platform"].(string)
	if !ok {
		return errors.New("no store")
	}
	target, err := url.Parse(store)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	settings["platform"] = "http://" + listener.Addr().String()
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) },
		ModifyResponse: func(r *http.Response) error {
			if r.Request.Method != http.MethodGet || r.StatusCode != http.StatusOK || !strings.Contains(r.Request.URL.Path, "config") {
				return nil
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return err
			}
			file := filepath.Join(dir, "first-configuration")
			if first, err := os.ReadFile(file); err == nil {
				body = first
			} else if err := os.WriteFile(file, body, 0o600); err != nil {
				return err
			}
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			r.Header.Set("Content-Length", strconv.Itoa(len(body)))
			return nil
		},
	}
	go func() { _ = http.Serve(listener, proxy) }() // until the process ends
	return nil
}

// _hiddenBy is how far the second octet of a hidden address is from that of its VM:
// no VM or caller of a soak is there.
const _hiddenOctetOffset = 10

func serveMutant(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }() // until the process ends
	return nil
}

// runMutant runs this program as the mutant of its name.
func runMutant(name string, args []string) int {
	m := _mutants[name]
	if change := m.changes[args[0]]; change != nil {
		if err := changeSettings(args[2], change); err != nil {
			fmt.Fprintln(os.Stderr, "mutant:", err)
			return _exitFailed
		}
	}
	if args[0] != "relay" || m.wire == nil {
		return run(context.Background(), args, os.Stdin, os.Stdout, os.Stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	f := newRelayFlags(os.Stdout, os.Stderr)
	f.wire = m.wire
	if err := ff.Parse(f.FlagSet, args[1:], f.options()...); err != nil {
		return _exitUsage
	}
	if err := f.run(ctx); err != nil {
		return _exitFailed
	}
	return _exitOK
}

// changeSettings changes a process's settings file.
func changeSettings(file string, change settingsChange) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(content, &settings); err != nil {
		return err
	}
	if err := change(settings, filepath.Dir(file)); err != nil {
		return err
	}
	if content, err = json.Marshal(settings); err != nil {
		return err
	}
	return os.WriteFile(file, content, 0o600)
}

// TestSoakFindsMutants runs the soak with programs that break a promise now and
// then: its report must name that promise.
func TestSoakFindsMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("dozens of processes under the race detector")
	}
	for promise, m := range _mutants {
		t.Run(promise, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			program := filepath.Join(dir, _mutantPrefix+strings.ReplaceAll(promise, " ", "-"))
			binary, err := os.Executable()
			assert.NilError(t, err)
			assert.NilError(t, os.Symlink(binary, program))
			report, err := soak.Run(soak.Config{
				Program: program, Dir: dir, Seed: cmp.Or(m.seed, _mutantSeed), Faults: 4 * time.Second, Rest: time.Second,
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
