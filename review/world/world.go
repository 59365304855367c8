// Package main runs the review's cases: it starts the project's relays and sidecars as
// separate processes on loopback addresses, plays the store, the routers, the callers and the
// servers around them, and judges what the callers and servers see.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

// Figures of a small deployment, from the users' pages.
const (
	heartbeatInterval = 770 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	maxFailedProbes   = 2
	grace             = 6 * time.Second
	restartDelay      = 300 * time.Millisecond
	serviceName       = "rutetjeneste"
	secondService     = "fotoarkiv"
	idleTimeoutMs     = 15_000
	flowTTL           = 60 * time.Second
)

// ports are the same on all machines.
type ports struct {
	ingress, ready, control, outbound, upstream, peer, peerListen uint16
}

// machine is a front machine with a relay, or a side machine with a sidecar and a server.
type machine struct {
	w    *world
	name string
	addr netip.Addr
	zone string
	side bool
	// service is the service of the server on a side machine.
	service string

	process      *exec.Cmd
	done         chan struct{}
	failedProbes int
	server       *server
}

func (m *machine) InZone(zone string) bool { return m.zone == zone }
func (m *machine) InRotation() bool        { return m.failedProbes < maxFailedProbes }
func (m *machine) at(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(m.addr, port)
}

// world holds everything around the processes.
type world struct {
	mu      sync.Mutex
	start   time.Time
	program string
	dir     string
	ports   ports
	random  *rand.Rand
	store   *standin.Platform
	record  *bufio.Writer
	cancel  context.CancelFunc
	closing sync.Once
	ctx     context.Context

	machines []*machine
	zones    map[netip.Addr]string
	callers  map[flow.Key]*caller
	sockets  []*datagram.Socket
	sender   *datagram.Socket

	// lossyZone is the zone whose links to the others lose lossRate of the packets.
	lossyZone string
	lossRate  float64
	// counted is set while all machines are in touch.
	counted bool
	// violations are the breaches that count.
	violations []string
	// configuration is the store's version of the configuration.
	configuration platform.Version
	// onOpening judges the opening packets that servers take, if set.
	onOpening func(m *machine, key flow.Key)
	// drainBound is the site's drainMs.
	drainBound time.Duration
	// runs counts how often each request has run.
	runs map[string]int
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// note writes a line to the record. The world's lock is held.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.note("BROKEN %s", text)
}

func newWorld(program, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		start: time.Now(), program: program, dir: dir, record: bufio.NewWriter(file),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7)),
		zones:  make(map[netip.Addr]string), callers: make(map[flow.Key]*caller), runs: make(map[string]int),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if w.store, err = standin.NewPlatform(); err != nil {
		return nil, err
	}
	if w.sender, err = datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte) {}); err != nil {
		return nil, err
	}
	return w, w.choosePorts()
}

func (w *world) choosePorts() error {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	p := &w.ports
	for _, port := range []*uint16{&p.ingress, &p.ready, &p.control, &p.outbound, &p.upstream, &p.peer, &p.peerListen} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		*port = uint16(l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

// addMachine adds a machine and the link in front of its peer port.
func (w *world) addMachine(name, zone string, addr netip.Addr, side bool) (*machine, error) {
	m := &machine{w: w, name: name, addr: addr, zone: zone, side: side, service: serviceName, failedProbes: maxFailedProbes}
	w.zones[addr] = zone
	w.machines = append(w.machines, m)
	link, err := datagram.Listen(m.at(w.ports.peer), nil, datagram.WithSourceHandler(func(from netip.AddrPort, b []byte) {
		w.mu.Lock()
		lost := w.lost(w.zones[from.Addr()], zone)
		w.mu.Unlock()
		if !lost {
			w.sender.Send(m.at(w.ports.peerListen), b)
		}
	}))
	if err != nil {
		return nil, err
	}
	w.sockets = append(w.sockets, link)
	if side {
		m.server = newServer(m)
		if err := m.server.listen(); err != nil {
			return nil, err
		}
		go m.server.runHeartbeats()
	} else {
		go m.runProbes()
	}
	return m, nil
}

// lost draws whether a packet between two zones is lost.
func (w *world) lost(from, to string) bool {
	if w.lossRate == 0 || from == to || from != w.lossyZone && to != w.lossyZone {
		return false
	}
	return w.random.Float64() < w.lossRate
}

// addCallerAddress opens the socket of a caller's address.
func (w *world) addCallerAddress(addr netip.Addr, zone string) error {
	w.zones[addr] = zone
	socket, err := datagram.Listen(netip.AddrPortFrom(addr, w.ports.ingress), nil, datagram.WithSourceHandler(func(from netip.AddrPort, b []byte) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.lost(w.zones[from.Addr()], zone) {
			return
		}
		p, genuine := standin.DecodeOpaque(b)
		if c := w.callers[p.ToCaller()]; c != nil {
			c.handle(p, genuine, from.Addr())
		}
	}))
	if err == nil {
		w.sockets = append(w.sockets, socket)
	}
	return err
}

// startProcess starts the relay or the sidecar of the machine with the command of the deploy
// file and settings as its template makes them.
func (m *machine) startProcess() error {
	w, p := m.w, m.w.ports
	var seeds []string
	for _, other := range w.machines {
		if !other.side && len(seeds) < 3 {
			seeds = append(seeds, other.at(p.control).String())
		}
	}
	settings := map[string]any{
		"node": m.name, "zone": m.zone, "addr": m.addr.String(), "ready": m.at(p.ready).String(),
		"control": m.at(p.control).String(), "peer_port": p.peer, "peer_listen": m.at(p.peerListen).String(),
		"seeds": seeds, "platform": w.store.URL().String(), "memory_mb": 152, "grace": grace.String(), "evacuation_bound": "0ms",
		"upstream_mode": "agent",
	}
	role := "relay"
	if m.side {
		role = "sidecar"
		settings["service"] = m.service
		settings["upstream"] = m.at(p.upstream).String()
		settings["outbound"] = m.at(p.outbound).String()
		settings["callers"] = m.at(p.ingress).String()
		settings["heartbeat"] = heartbeatInterval.String()
	} else {
		settings["ingress"] = m.at(p.ingress).String()
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, m.name+".json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.program, role)
	cmd.Env = append(os.Environ(), "DANDELIONHITCH_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.done)
	return nil
}

// killAndRestart kills the process and starts it again, as the platform does.
func (m *machine) killAndRestart() error {
	_ = m.process.Process.Kill()
	<-m.done
	time.Sleep(restartDelay)
	return m.startProcess()
}

// termAndRestart stops the process as planned and starts it again.
func (m *machine) termAndRestart() error {
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(grace):
		_ = m.process.Process.Kill()
		<-m.done
	}
	time.Sleep(restartDelay)
	return m.startProcess()
}

// runProbes asks the relay for its readiness, as routers do.
func (m *machine) runProbes() {
	client := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for m.w.ctx.Err() == nil {
		began := time.Now()
		response, err := client.Get("http://" + m.at(m.w.ports.ready).String() + "/-/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		m.w.mu.Lock()
		was := m.InRotation()
		m.failedProbes++
		if ok {
			m.failedProbes = 0
		}
		if was != m.InRotation() {
			m.w.note("router: %s in rotation: %v", m.name, m.InRotation())
		}
		m.w.mu.Unlock()
		time.Sleep(time.Until(began.Add(probeInterval)))
	}
}

// route sends a caller's packet to the relay that the routers choose.
func (w *world) route(zone string, key flow.Key, packet []byte) {
	var relays []*machine
	for _, m := range w.machines {
		if !m.side {
			relays = append(relays, m)
		}
	}
	if m := standin.Route(relays, zone, key); m != nil {
		w.sender.Send(m.at(w.ports.ingress), packet)
	}
}

// writeConfiguration writes the operator's configuration with routes to the first service.
func (w *world) writeConfiguration(version int, routes ...netip.AddrPort) error {
	table := make(map[netip.AddrPort]string)
	for _, address := range routes {
		table[address] = serviceName
	}
	return w.writeTable(version, table)
}

// writeTable writes the operator's configuration.
func (w *world) writeTable(version int, table map[netip.AddrPort]string) error {
	var list []any
	i := 0
	for address, service := range table {
		i++
		list = append(list, map[string]any{
			"name": fmt.Sprint("r", i), "vhost": address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", address.Port()),
			"routeKind": "safe", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": 2,
		})
	}
	var services []any
	for _, name := range []string{serviceName, secondService} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": false})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMs},
	})
	if err != nil {
		return err
	}
	client := platform.NewClient(w.store.URL())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	w.configuration, err = client.Put(ctx, platform.ConfigurationKey, value, w.configuration)
	return err
}

// startAll starts all processes and waits until all relays are in rotation and all servers
// have an acknowledgement.
func (w *world) startAll() error {
	for _, m := range w.machines {
		if err := m.startProcess(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		ready := true
		for _, m := range w.machines {
			ready = ready && (m.side && m.server.acked || !m.side && m.InRotation())
		}
		w.mu.Unlock()
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the machines are not ready after 20 s")
}

// runTicks advances the servers and callers.
func (w *world) runTicks() {
	ticker := time.NewTicker(4 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
			w.mu.Lock()
			now := w.now()
			for _, m := range w.machines {
				if m.server != nil {
					m.server.tick(now)
				}
			}
			for _, c := range w.callers {
				c.tick(now)
			}
			w.mu.Unlock()
		}
	}
}

// holder returns the machine whose server has the flow open.
func (w *world) holder(key flow.Key) *machine {
	for _, m := range w.machines {
		if m.server != nil {
			if f := m.server.flows[key]; f != nil && f.open && !f.closed {
				return m
			}
		}
	}
	return nil
}

// strayBound is the site's strayMs, and maxStrays how many stray packets may arrive meanwhile.
const (
	strayBound = 2 * time.Second
	maxStrays  = 2
)

// noteStray records a packet that has reached a server that does not hold its flow.
func (w *world) noteStray(m *machine, key flow.Key) {
	w.note("%s bounces a packet of %v", m.name, key)
	if c := w.callers[key]; c != nil && w.counted && w.holder(key) != nil {
		c.strays = append(c.strays, w.now())
	}
}

// checkStrays judges the stray packets of a flow by the rule FLOW.
func (w *world) checkStrays(now time.Duration, c *caller) {
	if len(c.strays) == 0 || now-c.strays[0] < strayBound {
		return
	}
	count := 0
	for _, at := range c.strays {
		if at-c.strays[0] <= strayBound {
			count++
		}
	}
	holder := w.holder(c.key)
	if count > maxStrays && holder != nil && now-c.began < flowTTL {
		w.violation("FLOW: for 2 s, %d packets of caller %v reach other servers and none reaches %s, which holds the flow; it waits for %q",
			count, c.key, holder.name, c.id)
		c.strays = nil
		return
	}
	c.strays = c.strays[1:]
}

// checkDrain judges an opening packet that a server has taken by the rule DRAIN.
func (w *world) checkDrain(s *server, key flow.Key) {
	if w.onOpening != nil {
		w.onOpening(s.m, key)
	}
	if s.drainAcked == 0 || w.now() <= s.drainAcked+w.drainBound {
		return
	}
	c := w.callers[key]
	w.violation("DRAIN: %s takes the opening packet of %v %.1f s after the ack that it drains; the caller sent it %.3f s before",
		s.m.name, key, (w.now() - s.drainAcked).Seconds(), (w.now() - c.lastSent).Seconds())
}

// close ends all processes that the world has started.
func (w *world) close() { w.closing.Do(w.closeOnce) }

func (w *world) closeOnce() {
	w.cancel()
	for _, m := range w.machines {
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.done
		}
	}
	for _, m := range w.machines {
		if m.server != nil {
			_ = m.server.socket.Close()
		}
	}
	for _, s := range w.sockets {
		_ = s.Close()
	}
	_ = w.sender.Close()
	_ = w.store.Close()
	if w.mu.TryLock() { // after a signal, the play may still hold the lock
		_ = w.record.Flush()
		w.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// heartbeatBody returns the body of a server's status report.
func heartbeatBody(s *server, state string) *bytes.Reader {
	body, err := json.Marshal(map[string]any{
		"service": s.m.service, "addr": s.m.at(s.m.w.ports.upstream).String(), "zone": s.m.zone, "version": "v1",
		"slots": s.slots, "state": state, "coldLeftMs": 0, "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	return bytes.NewReader(body)
}
