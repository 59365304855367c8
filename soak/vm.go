package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// Names of the two services and of the zones.
const (
	_orders = "orders"
	_photos = "photos"
)

var _zones = []string{"a", "b", "c"}

const (
	_heartbeat = 500 * time.Millisecond
	// _probeInterval and _maxMisses are those of the users' routers.
	_probeInterval = 500 * time.Millisecond
	_maxMisses     = 2
	// _grace is how long a process gets to stop.
	_grace = 4 * time.Second
)

// vm is an address with its process, and its upstream if it is a host.
type vm struct {
	run     *run
	addr    netip.Addr
	zone    string
	service string

	process *exec.Cmd
	// stopping says that the process was told to stop.
	stopping, paused bool
	probed           time.Duration
	misses           int

	upstream *standin.OpaqueUpstream
	socket   *datagram.Socket
	life     uint64
	beats    uint64
	beaten   time.Duration
	// drained is when the drain was acknowledged, zero if it was not.
	draining bool
	drained  time.Duration
}

// newVM makes the VM of a number: relays come first.
func (r *run) newVM(i int) (*vm, error) {
	v := &vm{run: r, zone: _zones[i%len(_zones)], misses: _maxMisses}
	if i < r.config.Relays {
		v.addr = netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i + 1)})
		return v, r.links.add(v.addr)
	}
	i -= r.config.Relays
	v.addr = netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i + 1)})
	v.service = _orders
	if i%3 == 2 {
		v.service = _photos
	}
	socket, err := datagram.Listen(netip.AddrPortFrom(v.addr, r.ports.upstream), v.takePacket)
	if err != nil {
		return nil, err
	}
	v.socket = socket
	return v, r.links.add(v.addr)
}

func (v *vm) isHost() bool { return v.service != "" }

// InZone implements standin.Entry.
func (v *vm) InZone(zone string) bool { return v.zone == zone }

// InRotation implements standin.Entry.
func (v *vm) InRotation() bool { return v.misses < _maxMisses }

func (v *vm) String() string { return fmt.Sprintf("%v", v.addr) }

// at returns an address of the VM.
func (v *vm) at(port uint16) string { return netip.AddrPortFrom(v.addr, port).String() }

// startProcess starts the VM's relay or sidecar.
func (v *vm) startProcess() error {
	r := v.run
	settings := map[string]any{
		"node": v.addr.String(), "zone": v.zone, "addr": v.addr.String(),
		"ready": v.at(r.ports.ready), "control": v.at(r.ports.control),
		"peer_port": r.ports.peer, "peer_listen": v.at(r.ports.behind),
		"seeds": r.seeds(), "platform": r.store.URL().String(), "memory_mb": 128, "grace": _grace.String(),
	}
	role := "relay"
	if v.isHost() {
		role = "sidecar"
		settings["service"] = v.service
		settings["upstream"] = v.at(r.ports.upstream)
		settings["outbound"] = v.at(r.ports.outbound)
		settings["callers"] = v.at(r.ports.ingress)
		settings["heartbeat"] = _heartbeat.String()
	} else {
		settings["ingress"] = v.at(r.ports.ingress)
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return trace.Wrap(err, "settings of %v", v)
	}
	path := filepath.Join(r.config.Dir, v.addr.String()+".json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return trace.Wrap(err, "settings of %v", v)
	}
	log, err := os.OpenFile(r.logPath(v.addr), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(err, "log of %v", v)
	}
	defer log.Close()
	v.process, err = r.starter.start(log, role, "-config", path)
	v.stopping, v.paused = false, false
	return err
}

// seeds are the first relays.
func (r *run) seeds() []string {
	var out []string
	for _, v := range r.vms {
		if !v.isHost() && len(out) < 3 {
			out = append(out, v.at(r.ports.control))
		}
	}
	return out
}

// signal sends a signal to the VM's process, if it runs.
func (v *vm) signal(s syscall.Signal) {
	if v.process != nil {
		_ = v.process.Process.Signal(s) // it may have ended meanwhile
	}
}

// kill ends the process and waits for it.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Kill() // it may have ended meanwhile
	_ = v.process.Wait()         // says that it was killed
	v.process = nil
}

func (v *vm) close() {
	v.kill()
	if v.socket != nil {
		_ = v.socket.Close() // nothing is lost that matters at the end
	}
}

// startUpstream starts a new life of the upstream.
func (v *vm) startUpstream() {
	r := v.run
	v.life++
	v.beats, v.beaten, v.draining, v.drained = 0, 0, false, 0
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(v.addr.As4()[3])<<8+v.life))
	u := standin.NewOpaqueUpstream(random)
	u.Name, u.Slots, u.Queue, u.Size = fmt.Sprintf("%v#%d", v.addr, v.life), 4, 16, 2000
	u.Work = func() time.Duration { return time.Duration(2+random.IntN(30)) * time.Millisecond }
	u.Send = func(packet []byte) { v.socket.Send(netip.AddrPortFrom(v.addr, r.ports.outbound), packet) }
	u.Ran = func(_ flow.Key, request string) { r.ran[request]++ }
	u.Forged = func() { r.check(_unchanged, false, "upstream %s got a packet that no caller wrote so", u.Name) }
	u.Opening = func(key flow.Key) {
		r.check(_ownService, r.leadsTo(key.Address, v.service), "flow %v was opened at %s of %s", key, u.Name, v.service)
		c := r.active[key]
		fresh := c != nil && v.drained > 0 && r.now() > v.drained+_drainSlack
		r.check(_drained, !fresh, "flow %v was opened at %s, which drains since %v", key, u.Name, v.drained)
	}
	v.upstream = u
}

// takePacket takes a packet of the sidecar for the upstream.
func (v *vm) takePacket(packet []byte) {
	v.run.mu.Lock()
	defer v.run.mu.Unlock()
	if v.upstream != nil {
		v.run.promises[_unchanged].Checked++
		v.upstream.Packet(v.run.now(), append([]byte(nil), packet...))
	}
}

// tick does what is due on the VM.
func (v *vm) tick(now time.Duration) {
	if v.upstream != nil {
		v.upstream.Tick(now)
		if now-v.beaten >= _heartbeat {
			v.beat(now)
		}
	}
	if !v.isHost() && now-v.probed >= _probeInterval {
		v.probed = now
		v.run.tomb.Go(v.runProbe)
	}
}

// runProbe asks the relay for readiness, as a router does.
func (v *vm) runProbe() error {
	client := http.Client{Timeout: _probeInterval}
	response, err := client.Get("http://" + v.at(v.run.ports.ready) + "/-/ready")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	v.run.mu.Lock()
	defer v.run.mu.Unlock()
	if ready {
		v.misses = 0
	} else {
		v.misses++
	}
	return nil
}

// beat sends a heartbeat.
func (v *vm) beat(now time.Duration) {
	v.beaten = now
	v.beats++
	state := "ready"
	if v.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": v.service, "addr": v.at(v.run.ports.upstream), "zone": v.zone, "version": "v1", "slots": v.upstream.Slots,
		"state": state, "coldLeftMs": 0, "sequence": v.beats, "born": v.life,
	})
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	v.tell(v.draining, http.MethodPut, body)
}

// tell makes a call of the upstream to the sidecar.
func (v *vm) tell(draining bool, method string, body []byte) {
	c := upstreamCall{vm: v, life: v.life, draining: draining, method: method, body: body}
	v.run.tomb.Go(c.run)
}

// upstreamCall is a call of an upstream to the sidecar beside it.
type upstreamCall struct {
	vm       *vm
	life     uint64
	draining bool
	method   string
	body     []byte
}

// run makes the call and notes the acknowledgement of a drain. A sidecar that
// does not run or stands still answers nothing; the next heartbeat comes.
func (c upstreamCall) run() error {
	v := c.vm
	client := http.Client{Timeout: time.Second}
	target := fmt.Sprintf("http://%s/-/instances/i-%d", v.at(v.run.ports.control), c.life)
	request, err := http.NewRequest(c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return trace.Wrap(err, "call of %v", v)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil
	}
	response.Body.Close()
	v.run.mu.Lock()
	defer v.run.mu.Unlock()
	if response.StatusCode == http.StatusOK && c.draining && v.life == c.life && v.drained == 0 {
		v.drained = v.run.now()
	}
	return nil
}
