// Command rig-2 plays one case of the review: a small deployment of relays and sidecars as
// separate processes on loopback addresses, with stand-ins for platform, routers, consumers and
// hosts. It records what was sent, answered and run, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// Figures of the small deployments (kowhai-rounds).
const (
	heartbeatInterval = 1200 * time.Millisecond
	stablePeriod      = 4 * time.Second // stableMs
	flowTTL           = 60 * time.Second
	graceS            = 6
	slots             = 2
	fronts            = 4
	ordersHosts       = 7
	roundsHosts       = 3
	zoneClients       = 3
	program           = "target/dandelionhitch"
)

// vip is the platform's address of the routes.
var vip = netip.MustParseAddr("127.77.50.1")

type ports struct{ ingress, ready, control, outbound, peer, app, metrics uint16 }

// world is one run of a case.
type world struct {
	trouble bool
	began   time.Time
	tmp     string
	record  *os.File
	store   *standin.Platform
	client  *platform.Client
	config  platform.Version // version of the object config/main
	ports   ports
	random  *rand.Rand
	done    chan struct{}
	loops   sync.WaitGroup

	mu       sync.Mutex
	relays   []*machine
	hosts    []*host
	clients  []*consumer
	breaches []string
	// requests counts the requests of traffic.
	requests int
	// excused are resets that the rule does not count.
	excused []string
}

// machine is a machine with one process of the system.
type machine struct {
	w       *world
	name    string
	ip      netip.Addr
	zone    string
	service string // empty on a front machine
	app     netip.AddrPort
	cmd     *exec.Cmd
	started time.Time
	missed  int
}

func newWorld(dir string) (*world, error) {
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), done: make(chan struct{}),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7)),
	}
	var err error
	if w.tmp, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if w.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return nil, err
	}
	if w.store, err = standin.NewPlatform(); err != nil {
		return nil, err
	}
	w.client = platform.NewClient(w.store.URL())
	zones := []string{"a", "b", "c"}
	var ips []netip.Addr
	for i := range fronts {
		m := &machine{w: w, name: fmt.Sprintf("front-%d", i+1), ip: netip.AddrFrom4([4]byte{127, 77, 1, byte(i + 1)}), zone: zones[i%3], missed: 2}
		w.relays = append(w.relays, m)
		ips = append(ips, m.ip)
	}
	for i := range ordersHosts + roundsHosts {
		m := &machine{w: w, name: fmt.Sprintf("side-%d", i+1), ip: netip.AddrFrom4([4]byte{127, 77, 2, byte(i + 1)}), zone: zones[i%3], service: "orders"}
		if i >= ordersHosts {
			m.service = "rounds"
		}
		w.hosts = append(w.hosts, &host{m: m, w: w})
		ips = append(ips, m.ip)
	}
	for i := range zoneClients {
		c := &consumer{w: w, ip: netip.AddrFrom4([4]byte{127, 77, 9, byte(i + 1)}), zone: zones[i%3], port: uint16(30000 + w.random.IntN(20000)), calls: map[flow.Key]*call{}}
		w.clients = append(w.clients, c)
		ips = append(ips, c.ip)
	}
	if err := w.findPorts(ips); err != nil {
		return nil, err
	}
	for _, h := range w.hosts {
		h.m.app = netip.AddrPortFrom(h.m.ip, w.ports.app)
		if h.socket, err = datagram.Listen(h.m.app, h.receive); err != nil {
			return nil, err
		}
	}
	for _, c := range w.clients {
		if c.socket, err = datagram.Listen(netip.AddrPortFrom(c.ip, w.ports.ingress), c.receive); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// findPorts finds ports that are free at all addresses.
func (w *world) findPorts(ips []netip.Addr) error {
	free := func(port uint16) bool {
		for _, ip := range ips {
			address := netip.AddrPortFrom(ip, port)
			l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
			if err != nil {
				return false
			}
			l.Close()
			u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
			if err != nil {
				return false
			}
			u.Close()
		}
		return true
	}
	targets := []*uint16{&w.ports.ingress, &w.ports.ready, &w.ports.control, &w.ports.outbound, &w.ports.peer, &w.ports.app, &w.ports.metrics}
	port := uint16(15000 + w.random.IntN(10000))
	for _, target := range targets {
		for tries := 0; !free(port); tries++ {
			if port++; tries > 2000 {
				return errors.New("no free ports")
			}
		}
		*target = port
		port++
	}
	return nil
}

func (w *world) now() time.Duration { return time.Since(w.began) }

// note writes a line to record.txt.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// configure writes a version of the configuration as the operator does.
func (w *world) configure(version uint64, idle time.Duration) error {
	routes := []map[string]any{
		{"name": "r-1", "vhost": vip.String(), "pathPrefix": "/443/", "routeKind": "safe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "orders", "maxAttempts": 2},
		{"name": "r-2", "vhost": vip.String(), "pathPrefix": "/8443/", "routeKind": "unsafe", "timeoutMs": 1200, "targetLatencyMs": 120, "priority": 1, "service": "orders", "maxAttempts": 2},
		{"name": "r-3", "vhost": vip.String(), "pathPrefix": "/9443/", "routeKind": "download", "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 2, "service": "rounds", "maxAttempts": 2},
	}
	services := []map[string]any{
		{"name": "orders", "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": false},
		{"name": "rounds", "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": false},
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idle.Milliseconds()},
	})
	if err != nil {
		return err
	}
	w.config, err = w.client.Put(context.Background(), platform.ConfigurationKey, value, w.config)
	w.note("operator: version %d of the configuration, idleTimeoutMs %d, acknowledged: %v", version, idle.Milliseconds(), err == nil)
	return err
}

// writeSettings writes the settings file of the machine's process, and returns the process's role
// and the file's path. The settings are those of the templates of the deploy file.
func (m *machine) writeSettings() (role, path string, err error) {
	w := m.w
	at := func(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }
	var seeds []string
	for _, r := range w.relays {
		if len(seeds) < 3 {
			seeds = append(seeds, netip.AddrPortFrom(r.ip, w.ports.control).String())
		}
	}
	settings := map[string]any{
		"node": m.name, "zone": m.zone, "addr": m.ip.String(), "ready": at(w.ports.ready), "control": at(w.ports.control),
		"metrics": at(w.ports.metrics), "peer_port": w.ports.peer, "seeds": seeds, "platform": w.store.URL().String(),
		"grace": fmt.Sprintf("%ds", graceS), "evacuation_bound": "0ms", "priority_admission": true, "upstream_mode": "agent",
	}
	role = "relay"
	if m.service == "" {
		settings["ingress"], settings["link_mbps"], settings["memory_mb"] = at(w.ports.ingress), 1000.0, 284
	} else {
		role = "sidecar"
		settings["service"], settings["upstream"], settings["outbound"] = m.service, m.app.String(), at(w.ports.outbound)
		settings["callers"], settings["memory_mb"], settings["heartbeat"] = at(w.ports.ingress), 152, fmt.Sprintf("%dms", heartbeatInterval.Milliseconds())
		settings["address_reuse"], settings["cold_overage"], settings["cold_slack"] = "2s", 0, 0
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return "", "", err
	}
	path = filepath.Join(w.tmp, m.name+".json")
	if err := os.WriteFile(path+".new", content, 0o600); err != nil {
		return "", "", err
	}
	return role, path, os.Rename(path+".new", path)
}

// start starts the machine's process with its command of the deploy file.
func (m *machine) start() error {
	w := m.w
	role, path, err := m.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.tmp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(program, role)
	m.cmd.Env = append(os.Environ(), "DANDELIONHITCH_CONFIG="+path)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.started = time.Now()
	w.note("%s: %s starts", m.name, role)
	return m.cmd.Start()
}

// stop ends the process with a signal and waits, at most for the grace period.
func (m *machine) stop(s syscall.Signal) {
	if m.cmd == nil {
		return
	}
	cmd := m.cmd
	m.cmd = nil
	m.w.note("%s: %v", m.name, s)
	_ = cmd.Process.Signal(s)
	late := time.AfterFunc(graceS*time.Second, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait()
	late.Stop()
	m.w.note("%s: process has ended", m.name)
}

// InZone and InRotation implement standin.Relay.
func (m *machine) InZone(zone string) bool { return m.zone == zone }
func (m *machine) InRotation() bool        { return m.missed < 2 }

// run starts the loops of routers, hosts and consumers.
func (w *world) run() {
	w.loops.Add(2)
	go w.probe()
	go w.tick()
}

func (w *world) probe() {
	defer w.loops.Done()
	client := http.Client{Timeout: 450 * time.Millisecond}
	for {
		for _, r := range w.relays {
			response, err := client.Get("http://" + netip.AddrPortFrom(r.ip, w.ports.ready).String() + "/-/ready")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				response.Body.Close()
			}
			w.mu.Lock()
			if ready {
				r.missed = 0
			} else {
				r.missed++
			}
			w.mu.Unlock()
		}
		select {
		case <-w.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (w *world) tick() {
	defer w.loops.Done()
	for {
		select {
		case <-w.done:
			return
		case <-time.After(3 * time.Millisecond):
		}
		w.mu.Lock()
		now := w.now()
		for _, h := range w.hosts {
			h.tick(now)
		}
		for _, c := range w.clients {
			c.tick(now)
		}
		w.mu.Unlock()
	}
}

// ready waits until all relays are in rotation.
func (w *world) ready(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		all := true
		for _, r := range w.relays {
			all = all && r.InRotation()
		}
		w.mu.Unlock()
		if all {
			return true
		}
	}
	return false
}

// close ends all processes.
func (w *world) close() {
	close(w.done)
	w.loops.Wait()
	for _, h := range w.hosts {
		h.m.stop(syscall.SIGKILL)
		h.socket.Close()
	}
	for _, r := range w.relays {
		r.stop(syscall.SIGKILL)
	}
	for _, c := range w.clients {
		c.socket.Close()
	}
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.tmp)
	} else {
		fmt.Println("kept", w.tmp)
	}
	w.record.Close()
}

// host is a host with a lifetime of its server.
type host struct {
	w      *world
	m      *machine
	socket *datagram.Socket

	u        *standin.OpaqueUpstream // nil while it does not run
	id       string
	born     int64
	sequence uint64
	draining bool
	nextBeat time.Duration // zero: it sends none
	lives    int
	// resets are the flows that this life has reset itself.
	resets map[flow.Key]bool
	// runTime is the run time of a request.
	runTime time.Duration
}

// startLife starts a lifetime of the host. clockAhead is how far the machine's clock is ahead of
// the true time at that moment.
func (h *host) startLife(id string, clockAhead time.Duration) {
	w := h.w
	h.lives++
	h.id, h.sequence, h.draining, h.resets = id, 0, false, map[flow.Key]bool{}
	h.born, h.nextBeat = time.Now().Add(clockAhead).UnixMilli(), w.now()
	if h.runTime == 0 {
		h.runTime = 13 * time.Millisecond
	}
	life, name := h.lives, h.m.name
	u := standin.NewOpaqueUpstream(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(life))))
	u.Name, u.Slots, u.Queue, u.Size = fmt.Sprintf("%s#%d", name, life), slots, 16, 200
	u.RunTime = func(string) time.Duration { return h.runTime }
	u.Send = func(packet []byte) {
		if p, _ := standin.DecodeOpaque(packet); p.Flags.Has(flow.RST) {
			h.resets[p.ToCaller()] = true
			w.note("%s#%d resets %v", name, life, p.ToCaller())
		}
		h.socket.Send(netip.AddrPortFrom(h.m.ip, w.ports.outbound), packet)
	}
	u.OnRun = func(key flow.Key, request string) { w.note("%s#%d runs %s of %v", name, life, request, key) }
	h.u = u
	w.note("%s: host %s starts, born %+d ms", name, id, clockAhead.Milliseconds())
}

// crash ends the lifetime.
func (h *host) crash() {
	h.u, h.nextBeat = nil, 0
	h.w.note("%s: host %s has ended", h.m.name, h.id)
}

func (h *host) receive(packet []byte) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if h.u != nil {
		h.u.HandlePacket(h.w.now(), append([]byte(nil), packet...))
	}
}

func (h *host) tick(now time.Duration) {
	if h.u == nil {
		return
	}
	h.u.Tick(now)
	if h.nextBeat > 0 && now >= h.nextBeat {
		h.nextBeat = now + heartbeatInterval
		go h.report(h.lives, h.beat())
	}
}

// report sends a status report of a lifetime. One that is not acknowledged is followed by others
// after 0.15, 0.3 and 0.6 s, with numbers of their own, as long as the host may reach its node.
func (h *host) report(life int, body []byte) {
	w := h.w
	for _, delay := range []time.Duration{150, 300, 600, 0} {
		if h.sendBeat(http.MethodPut, body, true) == http.StatusOK || delay == 0 {
			return
		}
		time.Sleep(delay * time.Millisecond)
		w.mu.Lock()
		lives := h.u != nil && h.lives == life && h.nextBeat > 0
		if lives {
			body = h.beat()
		}
		w.mu.Unlock()
		if !lives {
			return
		}
	}
}

// beat returns the next status report.
func (h *host) beat() []byte {
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": h.m.service, "addr": h.m.app.String(), "zone": h.m.zone, "version": "v1", "slots": slots, "state": state,
		"coldLeftMs": 0, "sequence": h.sequence, "born": h.born,
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return body
}

// sendBeat sends a call of the host to the node on its machine and returns the status, zero if
// there is no answer.
func (h *host) sendBeat(method string, body []byte, quiet bool) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	target := fmt.Sprintf("http://%s/-/instances/%s", netip.AddrPortFrom(h.m.ip, h.w.ports.control), h.id)
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		response.Body.Close()
	}
	if !quiet || status != http.StatusOK {
		h.w.note("%s: %s %s -> %d %s", h.m.name, method, h.id, status, body)
	}
	return status
}

// consumer is a consumer with its calls.
type consumer struct {
	w      *world
	ip     netip.Addr
	zone   string
	port   uint16
	socket *datagram.Socket
	calls  map[flow.Key]*call
}

// call is a flow of a consumer.
type call struct {
	*standin.OpaqueCall
	c        *consumer
	opened   bool
	answers  int
	ended    bool
	lastUsed time.Duration
	// host is the host that has answered, and life its lifetime.
	host *host
	life int
	// name is the last request that was answered.
	name string
}

// open opens a flow that is kept open for several requests, or for one.
func (c *consumer) open(port uint16, request string, longLived bool) *call {
	c.port++
	key := flow.Key{Caller: netip.AddrPortFrom(c.ip, c.port), Address: netip.AddrPortFrom(vip, port)}
	k := &call{c: c, name: request}
	k.OpaqueCall = &standin.OpaqueCall{Key: key, Request: request, LongLived: longLived, Timeout: 1200 * time.Millisecond}
	k.Send = func(packet []byte) {
		relay := standin.Route(c.w.relays, c.zone, key)
		if relay == nil {
			return
		}
		c.socket.Send(netip.AddrPortFrom(relay.ip, c.w.ports.ingress), packet)
	}
	c.calls[key] = k
	c.w.note("consumer opens %v for %s", key, request)
	k.Start(c.w.now(), c.w.random.Uint32())
	k.lastUsed = c.w.now()
	return k
}

// next sends the next request on an open flow.
func (k *call) next(request string) {
	k.c.w.note("consumer sends %s on %v, idle for %v", request, k.Key, (k.c.w.now() - k.lastUsed).Round(time.Millisecond))
	k.Next(k.c.w.now(), request)
}

func (c *consumer) receive(packet []byte) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	p, genuine := standin.DecodeOpaque(packet)
	k := c.calls[p.ToCaller()]
	if k == nil {
		return
	}
	wasOpen := k.State == standin.CallOpen || k.State == standin.CallIdle
	k.HandlePacket(c.w.now(), append([]byte(nil), packet...))
	k.update(wasOpen, p.Flags.Has(flow.RST) && !genuine)
}

func (c *consumer) tick(now time.Duration) {
	for _, k := range c.calls {
		wasOpen := k.State == standin.CallOpen || k.State == standin.CallIdle
		k.Tick(now)
		k.update(wasOpen, false)
	}
}

// update notes changes of the call's state. systemReset is set if a reset without the host's sum
// has arrived.
func (k *call) update(wasOpen, systemReset bool) {
	w := k.c.w
	if k.ended {
		return
	}
	switch k.State {
	case standin.CallIdle, standin.CallAnswered:
		if k.State == standin.CallIdle && k.answers > 0 && k.Request == k.name {
			return
		}
		k.answers++
		k.name, k.lastUsed = k.Request, w.now()
		for _, h := range w.hosts {
			if h.u != nil && h.u.Name == k.Upstream {
				k.host, k.life = h, h.lives
			}
		}
		w.note("consumer got the answer to %s on %v from %s", k.Request, k.Key, k.Upstream)
		k.ended = k.State == standin.CallAnswered
	case standin.CallReset:
		k.ended = true
		w.note("consumer got a reset on %v (open: %v, of the system: %v), request %s", k.Key, wasOpen, systemReset, k.Request)
		if wasOpen && systemReset {
			w.judgeReset(k)
		}
	case standin.CallTimedOut:
		k.ended = true
		w.note("consumer gave up %s on %v", k.Request, k.Key)
	}
}

// judgeReset judges a reset of the system's own on an open flow by FLOW (a).
func (w *world) judgeReset(k *call) {
	h := k.host
	switch {
	case h == nil || h.u == nil || h.lives != k.life:
		w.excused = append(w.excused, fmt.Sprintf("%v: its host has ended", k.Key))
	case h.resets[k.Key]:
		w.excused = append(w.excused, fmt.Sprintf("%v: its host has reset it", k.Key))
	case !h.u.Holds(k.Key):
		w.excused = append(w.excused, fmt.Sprintf("%v: its host does not hold it", k.Key))
	case w.now()-k.Opened > flowTTL:
		w.excused = append(w.excused, fmt.Sprintf("%v: older than flowTtlS", k.Key))
	default:
		w.breaches = append(w.breaches, fmt.Sprintf("FLOW (a): %v is open at %s, which lives; the consumer got a reset that it did not send; %s has no answer",
			k.Key, h.u.Name, k.Request))
	}
}
