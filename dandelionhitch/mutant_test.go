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
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/relay"
	"dandelionhitch.example/soak"
)

// _mutantPrefix is the prefix of the file name under which the test binary runs as a
// mutant: a relay or sidecar with a deliberate fault.
const _mutantPrefix = "mutant-"

// settingsChange modifies the decoded settings file of a process. dir is the directory
// of the file.
type settingsChange func(settings map[string]any, dir string) error

// mutant is a deliberate fault of the processes in a soak. Its fields may be empty.
type mutant struct {
	// promise is the name of the promise that the mutant breaks; empty if it is the mutant's.
	promise string
	// reuse is the only fault of the soak; nil if the soak draws its faults.
	reuse *soak.Reuse
	// wire replaces the packet format of relays.
	wire relay.Wire
	// changes, by role, modify the settings of a process before it starts. They may
	// create files in dir.
	changes map[string]settingsChange
	// seed is the seed of a soak that detects the mutant; zero for _mutantSeed.
	seed uint64
}

// _mutantSeed is the seed of a soak whose faults include a drain and kills, but no
// change of the configuration.
const _mutantSeed = 100

// _priorityMutantSeed is the seed of a soak with the setting priority_admission.
const _priorityMutantSeed = 103

// _mutants maps the name of each promise in soak reports to a mutant that breaks it. Further
// mutants have names of their own.
var _mutants = map[string]mutant{
	"packets arrive as they were sent": {wire: &faultyWire{corrupt: flipBit}},
	"flows reach their own service":    {changes: map[string]settingsChange{"sidecar": swapServices}},
	"open flows are not reset":         {wire: &misreadingWire{faultyWire{corrupt: misreadAddress}}},
	"all is served after the faults":   {wire: &stoppingWire{}},
	"no new flow after a drain":        {changes: map[string]settingsChange{"sidecar": hideDrains}},
	"packets stay in order":            {changes: map[string]settingsChange{"sidecar": delayPackets}},
	"priority decides who is refused": {
		changes: map[string]settingsChange{"relay": invertPriorities, "sidecar": invertPriorities}, seed: _priorityMutantSeed,
	},
	"the last configuration is in force": {changes: map[string]settingsChange{"relay": serveFirstConfiguration}, seed: 101},
	"any upstream is the own one": {
		promise: "flows reach their own service", changes: map[string]settingsChange{"sidecar": trustAddress},
		reuse: &soak.Reuse{End: soak.Crashes, Free: _reusedAddressFree},
	},
}

// _mutantInterval is the number of packets or flows of which a mutant corrupts one.
const _mutantInterval = 20

// faultyWire corrupts one of every _mutantInterval packets that carry data.
type faultyWire struct {
	platform.PacketWire
	corrupt func(b []byte, p *flow.Packet)
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

// flipBit inverts a bit of the packet's data.
func flipBit(b []byte, _ *flow.Packet) { b[len(b)-1] ^= 1 }

// _misreadOctetOffset is added to the second octet of a service's address by misreadAddress.
// No address of a soak has a second octet that is as high.
const _misreadOctetOffset = 100

// misreadAddress makes a packet look like one of a flow to an unknown address, which no
// sidecar holds.
func misreadAddress(_ []byte, p *flow.Packet) {
	ip := p.Destination.Addr().As4()
	ip[1] += _misreadOctetOffset
	p.Destination = netip.AddrPortFrom(netip.AddrFrom4(ip), p.Destination.Port())
}

// misreadingWire corrupts packets with misreadAddress, and resets the flows to which they
// belong.
type misreadingWire struct{ faultyWire }

func (w *misreadingWire) AppendReset(b []byte, key flow.Key, ack uint32) []byte {
	if ip := key.Address.Addr().As4(); ip[1] >= _misreadOctetOffset {
		ip[1] -= _misreadOctetOffset
		key.Address = netip.AddrPortFrom(netip.AddrFrom4(ip), key.Address.Port())
	}
	return w.faultyWire.AppendReset(b, key, ack)
}

// stoppingWire decodes no packet that arrives later than _stoppingWireLifetime after the
// first one.
type stoppingWire struct {
	platform.PacketWire
	firstDecode time.Time
}

const _stoppingWireLifetime = 7 * time.Second

func (w *stoppingWire) Decode(b []byte) (flow.Packet, error) {
	if w.firstDecode.IsZero() {
		w.firstDecode = time.Now()
	}
	if time.Since(w.firstDecode) > _stoppingWireLifetime {
		return flow.Packet{}, errors.New("mutant no longer decodes packets")
	}
	return w.PacketWire.Decode(b)
}

// hideDrains replaces the state draining in heartbeats by ready.
func hideDrains(settings map[string]any, _ string) error {
	return replaceInHeartbeats(settings, "draining", "ready")
}

// swapServices makes a sidecar take its upstream for one of the other service. A relay that
// names the wrong service is no mutant that breaks a promise: sidecars ask their own
// configuration, too.
func swapServices(settings map[string]any, _ string) error {
	service, _ := settings["service"].(string)
	other, ok := map[string]string{"orders": "photos", "photos": "orders"}[service]
	if !ok {
		return fmt.Errorf("service %q is none of the soak", service)
	}
	settings["service"] = other
	return replaceInHeartbeats(settings, service, other)
}

// replaceInHeartbeats starts a proxy at a sidecar's control address that replaces a string in
// heartbeats.
func replaceInHeartbeats(settings map[string]any, from, to string) error {
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
			return // the sidecar refuses a truncated body
		}
		body = bytes.ReplaceAll(body, []byte(strconv.Quote(from)), []byte(strconv.Quote(to)))
		r.Out.Body, r.Out.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}}
	return serveMutant(publicAddr, proxy)
}

// trustAddress makes a sidecar take any upstream at its address for one of its own service.
func trustAddress(settings map[string]any, _ string) error {
	service, _ := settings["service"].(string)
	other, ok := map[string]string{"orders": "photos", "photos": "orders"}[service]
	if !ok {
		return fmt.Errorf("service %q is none of the soak", service)
	}
	return replaceInHeartbeats(settings, other, service)
}

// _delayedInterval is the number of packets to an upstream of which delayPackets delays one, and
// _packetDelay how long: long enough for the next packet of the flow to overtake it.
const (
	_delayedInterval = 10
	_packetDelay     = 5 * time.Millisecond
)

// delayPackets carries the packets from a sidecar to its upstream, and delays some of them.
func delayPackets(settings map[string]any, _ string) error {
	upstream, ok := settings["upstream"].(string)
	if !ok {
		return errors.New("no address of the upstream")
	}
	to, err := netip.ParseAddrPort(upstream)
	if err != nil {
		return err
	}
	ip := to.Addr().As4()
	ip[1] += _hiddenOctetOffset
	hidden := netip.AddrPortFrom(netip.AddrFrom4(ip), to.Port())
	settings["upstream"] = hidden.String()
	var socket *datagram.Socket
	packets := 0
	var mu sync.Mutex // guards the start of socket
	mu.Lock()
	defer mu.Unlock()
	socket, err = datagram.Listen(hidden, func(packet []byte) {
		mu.Lock()
		defer mu.Unlock()
		if packets++; packets%_delayedInterval > 0 {
			socket.Send(to, packet)
			return
		}
		packet = bytes.Clone(packet)
		time.AfterFunc(_packetDelay, func() { socket.Send(to, packet) })
	})
	if err != nil {
		return err
	}
	return replaceInHeartbeats(settings, upstream, hidden.String())
}

// serveFirstConfiguration starts a proxy between a relay and the store that always
// returns the first configuration that any relay has read.
func serveFirstConfiguration(settings map[string]any, dir string) error {
	return changeConfiguration(settings, func(body []byte) ([]byte, error) {
		file := filepath.Join(dir, "first-configuration")
		if first, err := os.ReadFile(file); err == nil {
			return first, nil
		}
		return body, os.WriteFile(file, body, 0o600)
	})
}

// invertPriorities starts a proxy between a process and the store that makes the most important
// routes the least important ones, and the other way round.
func invertPriorities(settings map[string]any, _ string) error {
	return changeConfiguration(settings, func(body []byte) ([]byte, error) {
		return _priority.ReplaceAllFunc(body, func(b []byte) []byte { return append(b[:len(b)-1:len(b)-1], '0'+'2'-b[len(b)-1]) }), nil
	})
}

// _priority matches the priority of a route, from 0 to 2.
var _priority = regexp.MustCompile(`"priority": ?[0-2]`)

// changeConfiguration starts a proxy between a process and the store that passes the
// configurations that the process reads through change.
func changeConfiguration(settings map[string]any, change func(body []byte) ([]byte, error)) error {
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
			if body, err = change(body); err != nil {
				return err
			}
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			r.Header.Set("Content-Length", strconv.Itoa(len(body)))
			return nil
		},
	}
	go func() { _ = http.Serve(listener, proxy) }() // runs until the process ends
	return nil
}

// _hiddenOctetOffset is added to the second octet of a sidecar's control address to get
// the address behind the proxy. No VM or caller of a soak uses the resulting addresses.
const _hiddenOctetOffset = 10

// serveMutant serves handler at address until the process ends.
func serveMutant(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }() // runs until the process ends
	return nil
}

// runMutant runs a relay or sidecar with the mutant of the given name, and returns
// the exit status. args are the role, -config and the settings file.
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
	if err := runOpaque(ctx, f); err != nil {
		return _exitFailed
	}
	return _exitOK
}

// changeSettings applies change to a process's settings file.
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

// TestSoakFindsMutants runs the soak with each mutant. Its report must contain a breach of
// the promise that the mutant breaks.
func TestSoakFindsMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("runs dozens of processes, each with the race detector")
	}
	for name, m := range _mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			program := filepath.Join(dir, _mutantPrefix+strings.ReplaceAll(name, " ", "-"))
			binary, err := os.Executable()
			assert.NilError(t, err)
			assert.NilError(t, os.Symlink(binary, program))
			report, err := soak.Run(soak.Config{
				Program: program, Dir: dir, Seed: cmp.Or(m.seed, _mutantSeed), FaultDuration: 4 * time.Second, RestDuration: time.Second,
				Relays: 3, Hosts: 5, CallsPerSecond: 60, OnlyReuse: m.reuse,
			})
			assert.NilError(t, err)
			var b bytes.Buffer
			report.Print(&b)
			promise := cmp.Or(m.promise, name)
			for _, p := range report.Promises {
				if p.Name == promise {
					assert.Assert(t, len(p.Breaches) > 0, "%s", b.String())
				}
			}
		})
	}
}
