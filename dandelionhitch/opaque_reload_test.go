package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/platform"
)

// Ports of a process under test. _newIngressPort is one that its settings name later.
const (
	_testIngressPort = 17041 + iota
	_testReadyPort
	_testControlPort
	_testMetricsPort
	_testPeerPort
	_testUpstreamPort
	_testOutboundPort
	_newIngressPort
)

// Sequence numbers of the flows of a test: of the opening packet, and of the consent.
const (
	_openingSeq = 7
	_consentSeq = 100
)

// _followTimeout bounds the time in which a process follows its settings. It is generous, so
// that no verdict rests on the speed of the machine.
const _followTimeout = 20 * time.Second

// configuredProcess is a relay or sidecar that runs as a process with a settings file.
type configuredProcess struct {
	t        *testing.T
	addr     netip.Addr
	file     string
	settings map[string]any
	command  *exec.Cmd
	stopped  bool

	mu     sync.Mutex
	output bytes.Buffer
}

// startConfigured starts a process of the role at addr, and waits until it is up.
func startConfigured(t *testing.T, role string, addr netip.Addr) *configuredProcess {
	t.Helper()
	p := launchConfigured(t, role, addr)
	p.awaitLines(`"`+role+` started"`, 1)
	return p
}

// launchConfigured starts a process of the role at addr.
func launchConfigured(t *testing.T, role string, addr netip.Addr) *configuredProcess {
	t.Helper()
	p := &configuredProcess{t: t, addr: addr, file: filepath.Join(t.TempDir(), role+".json")}
	p.settings = map[string]any{
		"node": "n1", "zone": "a", "addr": addr.String(), "ready": p.at(_testReadyPort), "control": p.at(_testControlPort),
		"metrics": p.at(_testMetricsPort), "peer_port": _testPeerPort, "seeds": []string{}, "grace": "30s",
	}
	if role == "relay" {
		p.settings["ingress"] = p.at(_testIngressPort)
	} else {
		maps.Copy(p.settings, map[string]any{
			"service": "orders", "upstream": p.at(_testUpstreamPort), "outbound": p.at(_testOutboundPort),
			"callers": p.at(_testIngressPort), "heartbeat": "5s",
		})
	}
	p.change(nil)
	p.command = exec.Command(os.Args[0], role, "-config", p.file)
	p.command.Env = append(os.Environ(), _asProgram+"=1")
	p.command.Stdout, p.command.Stderr = p, p
	assert.NilError(t, p.command.Start())
	t.Cleanup(p.stop)
	return p
}

// at returns an address of the process.
func (p *configuredProcess) at(port uint16) string { return netip.AddrPortFrom(p.addr, port).String() }

// Write takes the output of the process.
func (p *configuredProcess) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// lines returns how often text is in the output of the process.
func (p *configuredProcess) lines(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Count(p.output.String(), text)
}

// await waits until reached returns true.
func (p *configuredProcess) await(what string, reached func() bool) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if !reached() {
			return poll.Continue("%s", what)
		}
		return poll.Success()
	}, poll.WithTimeout(_followTimeout))
}

// awaitLines waits until text is in the output of the process n times.
func (p *configuredProcess) awaitLines(text string, n int) {
	p.t.Helper()
	p.await(fmt.Sprintf("%d lines with %s", n, text), func() bool { return p.lines(text) >= n })
}

// write replaces the content of the settings file.
func (p *configuredProcess) write(content []byte) {
	p.t.Helper()
	assert.NilError(p.t, os.WriteFile(p.file, content, 0o600))
}

// change writes the settings with changes.
func (p *configuredProcess) change(changes map[string]any) {
	p.t.Helper()
	maps.Copy(p.settings, changes)
	p.write(p.encoded())
}

func (p *configuredProcess) encoded() []byte {
	content, err := json.Marshal(p.settings)
	assert.NilError(p.t, err)
	return content
}

// reload makes the process read its settings again.
func (p *configuredProcess) reload() { assert.NilError(p.t, p.command.Process.Signal(syscall.SIGHUP)) }

// stop ends the process, which must have run until now and must end without an error.
func (p *configuredProcess) stop() {
	if p.stopped {
		return
	}
	p.stopped = true
	assert.Check(p.t, p.command.Process.Signal(syscall.SIGTERM))
	assert.Check(p.t, p.command.Wait())
	if p.t.Failed() {
		p.t.Log(p.output.String())
	}
}

// heartbeat sends a heartbeat of an upstream of the service, and reports whether it was taken.
func (p *configuredProcess) heartbeat(service string, sequence int) bool {
	body := fmt.Sprintf(`{"service":%q,"addr":%q,"slots":4,"state":"ready","sequence":%d}`, service, p.at(_testUpstreamPort), sequence)
	request, err := http.NewRequestWithContext(p.t.Context(), http.MethodPut,
		"http://"+p.at(_testControlPort)+"/-/instances/"+service+"-1", strings.NewReader(body))
	assert.NilError(p.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false // the process restarts
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// metrics returns the metrics of the process.
func (p *configuredProcess) metrics() string {
	response, err := http.Get("http://" + p.at(_testMetricsPort) + "/metrics")
	assert.NilError(p.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(p.t, err)
	return string(content)
}

// offeringRelay stands for a relay that offers flows to a sidecar.
type offeringRelay struct {
	addr     netip.Addr
	socket   *datagram.Socket
	verdicts chan peer.Verdict
	offers   uint16
}

func newOfferingRelay(t *testing.T, addr netip.Addr) *offeringRelay {
	t.Helper()
	r := &offeringRelay{addr: addr, verdicts: make(chan peer.Verdict, 100)}
	var err error
	r.socket, err = datagram.Listen(netip.AddrPortFrom(addr, _testPeerPort), r.take)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.socket.Close()) })
	return r
}

func (r *offeringRelay) take(message []byte) {
	v, err := peer.DecodeVerdict(message)
	if err == nil {
		v.Packet = nil // it aliases the datagram
		r.verdicts <- v
	}
}

// send sends the sidecar a packet of a flow to the service.
func (r *offeringRelay) send(sidecar netip.Addr, kind peer.Kind, service string, key flow.Key, header flow.Packet, data string) {
	header.Source, header.Destination = key.Caller, key.Address
	carried := peer.Carried{
		Kind: kind, Origin: r.addr, Service: peer.NewServiceID(service), Version: 1,
		Packet: platform.AppendPacket(nil, header, 0, []byte(data)),
	}
	r.socket.Send(netip.AddrPortFrom(sidecar, _testPeerPort), carried.Append(nil))
}

// accepts reports whether the sidecar accepts a new flow of the service, and returns the flow.
func (r *offeringRelay) accepts(sidecar netip.Addr, service string) (flow.Key, bool) {
	r.offers++
	key := flow.Key{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("127.0.7.40"), 20000+r.offers),
		Address: netip.MustParseAddrPort("198.18.0.1:443"),
	}
	r.send(sidecar, peer.KindOffer, service, key, flow.Packet{Flags: flow.SYN, Seq: _openingSeq}, "")
	timeout := time.After(500 * time.Millisecond)
	for {
		select {
		case v := <-r.verdicts:
			if v.Flow == key {
				return key, v.Outcome == peer.Accepted
			}
		case <-timeout:
			return key, false
		}
	}
}

// TestIdentitySettings checks that exactly the settings listed make a process restart in
// place, so that a new setting is assigned to one kind or the other deliberately.
func TestIdentitySettings(t *testing.T) {
	common := "addr,config,control,peer-listen,peer-port,platform,ready,upstream-mode,zone"
	for _, test := range []struct {
		role opaqueRole
		want string
	}{
		{newRelayFlags(nil, nil), common + ",ingress"},
		{newSidecarFlags(nil, nil), common + ",address-reuse,callers,heartbeat,outbound,service,upstream"},
	} {
		var identity []string
		for name := range test.role.common().values() {
			if name != _seedsSetting && !slices.Contains(_deferredSettings, name) {
				identity = append(identity, name)
			}
		}
		want := strings.Split(test.want, ",")
		slices.Sort(identity)
		slices.Sort(want)
		assert.DeepEqual(t, identity, want)
	}
}

// TestSidecarLeavesServiceThatSettingsNoLongerName guards against flows of an old service at
// an upstream that the settings file has given to another one.
func TestSidecarLeavesServiceThatSettingsNoLongerName(t *testing.T) {
	p := startConfigured(t, "sidecar", netip.MustParseAddr("127.0.7.21"))
	relay := newOfferingRelay(t, netip.MustParseAddr("127.0.7.22"))
	upstream, err := datagram.Listen(netip.AddrPortFrom(p.addr, _testUpstreamPort), func([]byte) {})
	assert.NilError(t, err)
	defer upstream.Close()
	sequence := 0
	serves := func(service string) func() bool {
		return func() bool {
			sequence++
			if !p.heartbeat(service, sequence) {
				return false
			}
			_, accepted := relay.accepts(p.addr, service)
			return accepted
		}
	}
	p.await("the first service is served", serves("orders"))
	assert.Assert(t, !serves("photos")())
	p.change(map[string]any{"service": "photos"})
	p.await("the service that the settings name is served", serves("photos"))
	assert.Assert(t, !serves("orders")())
	_, accepted := relay.accepts(p.addr, "orders")
	assert.Assert(t, !accepted)
	assert.Assert(t, cmp.Regexp(`dandelionhitch_settings_identity_changes(\{[^}]*\})? 1\n`, p.metrics()))
	p.stop()
	assert.Equal(t, p.lines(`"settings name another identity"`), 1)
	assert.Equal(t, p.lines(`"sidecar started"`), 2)
}

// TestUnreadableSettingsChangeNothing guards against a restart caused by a settings file
// that is seen half written, is incomplete or is refused.
func TestUnreadableSettingsChangeNothing(t *testing.T) {
	p := startConfigured(t, "sidecar", netip.MustParseAddr("127.0.7.23"))
	whole := p.encoded()
	other := bytes.ReplaceAll(whole, []byte(`"orders"`), []byte(`"photos"`))
	for i, content := range [][]byte{
		other[:len(other)-1], other[:len(other)/2],
		{},
		[]byte("{}"),
		bytes.ReplaceAll(other, []byte(`"zone"`), []byte(`"zones"`)),
	} {
		p.write(content)
		p.reload()
		p.awaitLines(`"cause":"signal"`, i+1)
		assert.Assert(t, p.heartbeat("orders", i+1))
	}
	p.write(whole)
	p.stop()
	assert.Equal(t, p.lines(`"settings read again"`), 0)
	assert.Equal(t, p.lines(`"sidecar started"`), 1)
	assert.Equal(t, p.lines(`"settings name another identity"`), 0)
}

// TestSettingsThatRestart guards against a restart for settings that do not change the
// identity of a process, and against none for those that do.
func TestSettingsThatRestart(t *testing.T) {
	for role, addr := range map[string]netip.Addr{"relay": netip.MustParseAddr("127.0.7.24"), "sidecar": netip.MustParseAddr("127.0.7.25")} {
		t.Run(role, func(t *testing.T) {
			p := startConfigured(t, role, addr)
			p.change(map[string]any{"seeds": []string{"127.0.7.26:17043"}})
			p.reload()
			p.awaitLines(`"settings read again"`, 1)
			assert.Equal(t, p.lines(`"settings need a restart"`), 0)
			p.change(map[string]any{"memory_mb": 96})
			p.awaitLines(`"settings need a restart"`, 1)
			assert.Equal(t, p.lines(`"settings name another identity"`), 0)
			name := map[string]string{"relay": "ingress", "sidecar": "callers"}[role]
			p.change(map[string]any{name: p.at(_newIngressPort)})
			p.awaitLines(`"`+role+` started"`, 2)
			p.stop()
			assert.Equal(t, p.lines(`"settings name another identity"`), 1)
			assert.Equal(t, p.lines(`"`+role+` started"`), 2)
		})
	}
}

// TestOpenFlowEndsBeforeIdentityChanges guards against breaking a flow with a request in
// progress off when the settings name another service.
func TestOpenFlowEndsBeforeIdentityChanges(t *testing.T) {
	p := startConfigured(t, "sidecar", netip.MustParseAddr("127.0.7.27"))
	relay := newOfferingRelay(t, netip.MustParseAddr("127.0.7.28"))
	packets := make(chan flow.Packet, 100)
	upstream, err := datagram.Listen(netip.AddrPortFrom(p.addr, _testUpstreamPort), func(b []byte) {
		if packet, err := (platform.PacketWire{}).Decode(b); err == nil {
			packets <- packet
		}
	})
	assert.NilError(t, err)
	defer upstream.Close()
	assert.Assert(t, p.heartbeat("orders", 1))
	key, accepted := relay.accepts(p.addr, "orders")
	assert.Assert(t, accepted)
	receives := func(size int) bool {
		select {
		case packet := <-packets:
			return packet.Size == size
		case <-time.After(100 * time.Millisecond):
			return false
		}
	}
	p.await("the upstream receives the opening packet", func() bool { return receives(0) })
	reply := func(header flow.Packet, data string) {
		header.Source, header.Destination = key.Address, key.Caller
		upstream.Send(netip.AddrPortFrom(p.addr, _testOutboundPort), platform.AppendPacket(nil, header, 0, []byte(data)))
	}
	reply(flow.Packet{Flags: flow.SYN | flow.ACK, Seq: _consentSeq, Ack: _openingSeq + 1}, "")
	request := func() {
		// The sidecar may receive it before the consent.
		p.await("the upstream receives the request", func() bool {
			relay.send(p.addr, peer.KindCarry, "orders", key, flow.Packet{Flags: flow.ACK, Seq: _openingSeq + 1, Ack: _consentSeq + 1}, "request")
			return receives(len("request"))
		})
	}
	request()

	p.change(map[string]any{"service": "photos"})
	p.awaitLines(`"sidecar stops"`, 1)
	assert.Assert(t, p.heartbeat("orders", 2), "the upstream still lives")
	request() // repeated
	_, accepted = relay.accepts(p.addr, "orders")
	assert.Assert(t, !accepted)
	assert.Equal(t, p.lines(`"sidecar stopped"`), 0)
	reply(flow.Packet{Flags: flow.ACK | flow.FIN, Seq: _consentSeq + 1, Ack: _openingSeq + 8}, "answer")
	p.awaitLines(`"sidecar started"`, 2)
	assert.Assert(t, p.heartbeat("photos", 1))
}
