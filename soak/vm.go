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

// Names of the two services.
const (
	_orders = "orders"
	_photos = "photos"
)

var _zones = []string{"a", "b", "c"}

const (
	_heartbeatInterval = 500 * time.Millisecond
	_maxClockStep      = 3 * time.Second
	// _probeInterval and _maxFailedProbes are the readiness probe settings of the users'
	// routers: after that many failures in a row, a relay is out of rotation.
	_probeInterval   = 500 * time.Millisecond
	_maxFailedProbes = 2
	// _gracePeriod is how long a process may take to stop after SIGTERM.
	_gracePeriod = 4 * time.Second
)

// vm is a simulated VM with an IP address. It runs a relay, or, if it is a host, a
// sidecar and an upstream.
type vm struct {
	run     *run
	addr    netip.Addr
	zone    string
	service string // empty for a relay
	// addressFree is set while the upstream's address is free for another service, and reused
	// once an upstream of another service has taken it.
	addressFree, reused bool

	// program is the path of the executable that process runs.
	program string
	process *exec.Cmd
	// stopping reports whether the relay has been told to stop.
	stopping, paused bool
	lastProbe        time.Duration
	failedProbes     int // since the last successful probe

	// upstream is nil if none is running.
	upstream *standin.OpaqueUpstream
	socket   *datagram.Socket
	// instance is the number of the current or last instance of the upstream, sequence
	// the number of that instance's last heartbeat.
	instance uint64
	// born is the start of that instance on the VM's clock, in Unix ms. The clock may have been
	// set back or forward by _maxClockStep between two instances.
	born          int64
	sequence      uint64
	lastHeartbeat time.Duration
	draining      bool
	// drainAcked is when the sidecar acknowledged the drain, zero if it has not.
	drainAcked time.Duration
}

// newVM creates the VM with index i; relays have the lower indices, hosts the higher ones.
func (r *run) newVM(i int) (*vm, error) {
	v := &vm{run: r, zone: _zones[i%len(_zones)], failedProbes: _maxFailedProbes, program: r.config.Program}
	if i%2 == 1 && r.config.EarlierProgram != "" {
		v.program = r.config.EarlierProgram
	}
	if i < r.config.Relays {
		v.addr = netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i + 1)})
		return v, r.proxy.add(v.addr)
	}
	i -= r.config.Relays
	v.addr = netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i + 1)})
	v.service = _orders
	if i%3 == 2 {
		v.service = _photos
	}
	if err := v.listen(); err != nil {
		return nil, err
	}
	return v, r.proxy.add(v.addr)
}

// isHost reports whether the VM runs a sidecar and an upstream, rather than a relay.
func (v *vm) isHost() bool { return v.service != "" }

// InZone implements standin.Relay.
func (v *vm) InZone(zone string) bool { return v.zone == zone }

// InRotation implements standin.Relay.
func (v *vm) InRotation() bool { return v.failedProbes < _maxFailedProbes }

func (v *vm) String() string { return fmt.Sprintf("%v", v.addr) }

// addrPort returns the VM's IP address with the port.
func (v *vm) addrPort(port uint16) string { return netip.AddrPortFrom(v.addr, port).String() }

// role returns the role of the VM's process.
func (v *vm) role() string {
	if v.isHost() {
		return "sidecar"
	}
	return "relay"
}

// writeSettings writes the settings of the VM's process, and returns the path of the file. A
// process that reads them meanwhile gets the previous ones or these.
func (v *vm) writeSettings() (string, error) {
	r := v.run
	settings := map[string]any{
		"node": v.addr.String(), "zone": v.zone, "addr": v.addr.String(),
		"ready": v.addrPort(r.ports.ready), "control": v.addrPort(r.ports.control),
		"peer_port": r.ports.peer, "peer_listen": v.addrPort(r.ports.peerListen),
		"seeds": r.seeds(), "platform": r.store.URL().String(), "memory_mb": 128, "grace": _gracePeriod.String(),
		"evacuation_bound": _evacuationBound.String(),
	}
	if v.isHost() {
		settings["service"] = v.service
		settings["upstream"] = v.addrPort(r.ports.upstream)
		settings["outbound"] = v.addrPort(r.ports.outbound)
		settings["callers"] = v.addrPort(r.ports.ingress)
		settings["heartbeat"] = _heartbeatInterval.String()
		if v.program == r.config.Program { // an earlier build refuses settings that it does not know
			settings["address_reuse"] = _addressReuse.String()
		}
	} else {
		settings["ingress"] = v.addrPort(r.ports.ingress)
	}
	if v.program == r.config.Program && r.prioritized() {
		settings["priority_admission"] = true
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return "", trace.Wrap(err, "encode settings of %v", v)
	}
	path := filepath.Join(r.config.Dir, v.addr.String()+".json")
	if err := os.WriteFile(path+".new", content, 0o600); err != nil {
		return "", trace.Wrap(err, "write settings of %v", v)
	}
	return path, trace.Wrap(os.Rename(path+".new", path), "replace settings of %v", v)
}

// startProcess writes the settings of the VM's relay or sidecar and starts it.
func (v *vm) startProcess() error {
	r := v.run
	path, err := v.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(r.logPath(v.addr), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(err, "open log of %v", v)
	}
	defer log.Close()
	v.process, err = r.starter.start(v.program, log, v.role(), "-config", path)
	v.stopping, v.paused = false, false
	return err
}

// seeds returns the control addresses of the first three relays.
func (r *run) seeds() []string {
	var out []string
	for _, v := range r.vms {
		if !v.isHost() && len(out) < 3 {
			out = append(out, v.addrPort(r.ports.control))
		}
	}
	return out
}

// signal sends a signal to the VM's process, if one was started.
func (v *vm) signal(s syscall.Signal) {
	if v.process != nil {
		_ = v.process.Process.Signal(s) // it may have ended meanwhile
	}
}

// kill kills the VM's process and waits until it has ended.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Kill() // it may have ended meanwhile
	_ = v.process.Wait()         // returns an error, since the process was killed
	v.process = nil
}

func (v *vm) close() {
	v.kill()
	if v.socket != nil {
		_ = v.socket.Close() // an error at the end of the run does not matter
	}
}

// startUpstream starts a new instance of the upstream, which checks promises on what it receives.
func (v *vm) startUpstream() {
	r := v.run
	v.instance++
	v.sequence, v.lastHeartbeat, v.draining, v.drainAcked = 0, 0, false, 0
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(v.addr.As4()[3])<<8+v.instance))
	v.born = time.Now().UnixMilli()
	if v.instance > 1 {
		steps := rand.New(rand.NewPCG(r.config.Seed+1, uint64(v.addr.As4()[3])<<8+v.instance)) // leaves the run times as they are
		v.born += steps.Int64N(2*_maxClockStep.Milliseconds()+1) - _maxClockStep.Milliseconds()
	}
	u := standin.NewOpaqueUpstream(random)
	u.Name, u.Slots, u.Queue, u.Size = fmt.Sprintf("%v#%d", v.addr, v.instance), 4, 16, 2000
	u.RefusesRequests = r.prioritized()
	u.RunTime = func(string) time.Duration {
		if r.overloadAt > 0 {
			return _overloadRunTime
		}
		return time.Duration(2+random.IntN(30)) * time.Millisecond
	}
	u.Send = func(packet []byte) { v.socket.Send(netip.AddrPortFrom(v.addr, r.ports.outbound), packet) }
	u.OnRun = func(_ flow.Key, request string) { r.executions[request]++ }
	u.OnCorrupted = func() { r.check(_unaltered, false, "upstream %s got a packet that no caller wrote so", u.Name) }
	u.OnOpening = func(key flow.Key) {
		r.check(_rightService, r.routesTo(key.Address, v.service),
			"flow %v was opened at %s of %s", key, u.Name, v.service)
		if v.reused && r.routesTo(key.Address, v.service) {
			r.flowsAtReused++
		}
		c := r.active[key]
		afterDrain := c != nil && v.drainAcked > 0 && r.now() > v.drainAcked+_drainTolerance
		r.check(_noFlowAfterDrain, !afterDrain,
			"flow %v was opened at %s, which drains since %v", key, u.Name, v.drainAcked)
		v.checkEvacuation(key)
	}
	r.serviceByUpstream[u.Name] = v.service
	v.upstream = u
}

// receiveFromSidecar checks the order of a packet from the sidecar, and delivers it.
func (v *vm) receiveFromSidecar(packet []byte) {
	inOrder := v.run.proxy.inOrder(v.addr, packet)
	v.run.mu.Lock()
	v.run.check(_inOrder, inOrder, "%v delivered a packet out of order, or one that it did not get", v)
	v.run.mu.Unlock()
	v.receivePacket(packet)
}

// receivePacket delivers a packet from the sidecar to the upstream.
func (v *vm) receivePacket(packet []byte) {
	v.run.mu.Lock()
	defer v.run.mu.Unlock()
	if v.upstream != nil {
		v.run.promises[_unaltered].Checks++
		v.upstream.HandlePacket(v.run.now(), append([]byte(nil), packet...))
	}
}

// tick advances the upstream, and sends the heartbeat or the readiness probe that is due.
func (v *vm) tick(now time.Duration) {
	if v.upstream != nil {
		v.upstream.Tick(now)
		if now-v.lastHeartbeat >= _heartbeatInterval {
			v.sendHeartbeat(now)
		}
	}
	if !v.isHost() && now-v.lastProbe >= _probeInterval {
		v.lastProbe = now
		v.run.tomb.Go(v.runProbe)
	}
}

// runProbe probes the readiness of the relay, as a router does, and counts failures in a row.
func (v *vm) runProbe() error {
	client := http.Client{Timeout: _probeInterval}
	response, err := client.Get("http://" + v.addrPort(v.run.ports.ready) + "/-/ready")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	v.run.mu.Lock()
	defer v.run.mu.Unlock()
	if ready {
		v.failedProbes = 0
	} else {
		v.failedProbes++
	}
	return nil
}

// sendHeartbeat sends the upstream's heartbeat to its sidecar.
func (v *vm) sendHeartbeat(now time.Duration) {
	v.lastHeartbeat = now
	v.sequence++
	state := "ready"
	if v.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": v.service, "addr": v.addrPort(v.run.ports.upstream), "zone": v.zone, "version": "v1", "slots": v.upstream.Slots,
		"state": state, "coldLeftMs": 0, "sequence": v.sequence, "born": v.born,
	})
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	v.sendToSidecar(v.draining, http.MethodPut, body)
}

// sendToSidecar sends an HTTP request of the upstream to its sidecar, without waiting for
// the response. The argument draining says that the request announces a drain.
func (v *vm) sendToSidecar(draining bool, method string, body []byte) {
	c := sidecarRequest{vm: v, instance: v.instance, draining: draining, method: method, body: body}
	v.run.tomb.Go(c.run)
}

// sidecarRequest is an HTTP request of an upstream to the sidecar on its VM.
type sidecarRequest struct {
	vm       *vm
	instance uint64
	draining bool
	method   string
	body     []byte
}

// run sends the request and records the acknowledgement of a drain. It ignores a failed
// request: the sidecar may be stopped or paused, and the next heartbeat follows.
func (c sidecarRequest) run() error {
	v := c.vm
	client := http.Client{Timeout: time.Second}
	target := fmt.Sprintf("http://%s/-/instances/i-%d", v.addrPort(v.run.ports.control), c.instance)
	request, err := http.NewRequest(c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return trace.Wrap(err, "create request to sidecar of %v", v)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil
	}
	response.Body.Close()
	v.run.mu.Lock()
	defer v.run.mu.Unlock()
	if response.StatusCode == http.StatusOK && c.draining && v.instance == c.instance && v.drainAcked == 0 {
		v.drainAcked = v.run.now()
	}
	return nil
}
