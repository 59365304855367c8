package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// Settings of the small deployments.
const (
	heartbeat    = 1200 * time.Millisecond
	addressReuse = 2 * time.Second
	// recoveryTime is the bound recoveryS.
	recoveryTime = 12 * time.Second
	// stable is the bound stableMs: a machine is in touch once it has run undisturbed for that long.
	stable  = 4 * time.Second
	program = "target/dandelionhitch"
)

// ports are the ports that all VMs use.
type ports struct{ ingress, ready, control, outbound, upstream, peer, peerListen, metrics uint16 }

// world holds the processes and stand-ins of one case.
type world struct {
	mu       sync.Mutex
	recordMu sync.Mutex
	start    time.Time
	out      *os.File
	dir      string
	ports    ports
	holders  []net.Listener
	store    *standin.Platform
	seeds    []string
	procs    []*process
	hosts    []*host
	callers  *callers
	router   *router
	sockets  []*datagram.Socket
	// reportEvery is how often hosts report.
	reportEvery time.Duration
	// inTouchFrom is when all machines are in touch again after the disruption.
	inTouchFrom time.Duration
	starts      chan startRequest
	done        chan struct{}
	wg          sync.WaitGroup
}

func newWorld(recordPath string) (*world, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), out: out, starts: make(chan startRequest), done: make(chan struct{}), reportEvery: heartbeat}
	if w.dir, err = os.MkdirTemp("", "rig-3-"); err != nil {
		return nil, err
	}
	// Other addresses use the ports that are held at 127.0.0.1, so that runs at the same time
	// do not share ports.
	for _, port := range []*uint16{
		&w.ports.ingress, &w.ports.ready, &w.ports.control, &w.ports.outbound, &w.ports.upstream, &w.ports.peer, &w.ports.peerListen, &w.ports.metrics,
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.holders = append(w.holders, l)
		*port = uint16(l.Addr().(*net.TCPAddr).Port)
	}
	if w.store, err = standin.NewPlatform(); err != nil {
		return nil, err
	}
	w.router = &router{w: w}
	if w.callers, err = newCallers(w, 4); err != nil {
		return nil, err
	}
	w.run(w.startLoop)
	w.run(w.tickLoop)
	w.run(w.router.probeLoop)
	return w, nil
}

// run starts a goroutine that ends when the world closes.
func (w *world) run(loop func()) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		loop()
	}()
}

func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	close(w.done)
	w.wg.Wait()
	for _, s := range w.sockets {
		_ = s.Close()
	}
	_ = w.store.Close()
	for _, l := range w.holders {
		_ = l.Close()
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	_ = w.out.Close()
}

// now returns the time since the start of the case.
func (w *world) now() time.Duration { return time.Since(w.start) }

// record writes a line to the record and to standard output.
func (w *world) record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", w.now().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.out.WriteString(line)
	fmt.Print(line)
}

// sleepUntil waits until a time of the case.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }

// tickLoop lets the state machines of hosts and callers act.
func (w *world) tickLoop() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.done:
			return
		}
		w.mu.Lock()
		now := w.now()
		for _, h := range w.hosts {
			if h.up {
				h.machine.Tick(now)
			}
		}
		w.callers.tick(now)
		w.mu.Unlock()
	}
}

// listen opens a UDP socket that lives as long as the world.
func (w *world) listen(at netip.AddrPort, take func([]byte)) (*datagram.Socket, error) {
	s, err := datagram.Listen(at, take)
	if err == nil {
		w.mu.Lock()
		w.sockets = append(w.sockets, s)
		w.mu.Unlock()
	}
	return s, err
}

// route is a route of the operator's configuration.
type route struct {
	address  netip.AddrPort
	service  string
	kind     string
	priority int
}

// configure writes the first configuration.
func (w *world) configure(routes []route) error {
	var specs, services []map[string]any
	seen := make(map[string]bool)
	for i, r := range routes {
		specs = append(specs, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "vhost": r.address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.address.Port()),
			"routeKind": r.kind, "timeoutMs": 5000, "targetLatencyMs": 500, "priority": r.priority, "service": r.service, "maxAttempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": false})
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": 7, "routes": specs, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	client := platform.NewClient(w.store.URL())
	defer client.Close()
	_, err = client.Put(context.Background(), platform.ConfigurationKey, value, 0)
	return err
}

// process is a relay or a sidecar.
type process struct {
	w        *world
	name     string
	role     string
	addr     netip.Addr
	zone     string
	service  string
	peerPort uint16
	command  *exec.Cmd
	seeds    []string
	// failed counts the failed readiness probes in a row.
	failed int
}

func (w *world) newProcess(name, role, addr, zone, service string) *process {
	p := &process{w: w, name: name, role: role, addr: netip.MustParseAddr(addr), zone: zone, service: service, peerPort: w.ports.peer, seeds: w.seeds, failed: 2}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p
}

func (p *process) at(port uint16) string { return netip.AddrPortFrom(p.addr, port).String() }

// writeSettings writes the settings file as the templates of the deploy file give it.
func (p *process) writeSettings() error {
	ports := p.w.ports
	settings := map[string]any{
		"node": p.name, "zone": p.zone, "addr": p.addr.String(), "ready": p.at(ports.ready), "control": p.at(ports.control),
		"metrics": p.at(ports.metrics), "peer_port": ports.peer, "seeds": p.seeds, "platform": p.w.store.URL().String(),
		"grace": "6s", "evacuation_bound": "0ms", "priority_admission": true, "upstream_mode": "agent",
	}
	if p.peerPort != ports.peer {
		settings["peer_listen"] = p.at(p.peerPort)
	}
	if p.role == "relay" {
		settings["ingress"], settings["link_mbps"], settings["memory_mb"] = p.at(ports.ingress), 1000, 284
	} else {
		settings["service"], settings["upstream"], settings["outbound"] = p.service, p.at(ports.upstream), p.at(ports.outbound)
		settings["callers"], settings["memory_mb"] = p.at(ports.ingress), 152
		settings["heartbeat"], settings["address_reuse"] = heartbeat.String(), addressReuse.String()
		settings["cold_overage"], settings["cold_slack"] = 0, 0
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path()+".new", content, 0o600); err != nil {
		return err
	}
	return os.Rename(p.path()+".new", p.path())
}

func (p *process) path() string { return filepath.Join(p.w.dir, p.name+".json") }

// spawn starts the program with the command of the deploy file.
func (p *process) spawn() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, p.role)
	command.Env = []string{"DANDELIONHITCH_CONFIG=" + p.path(), "PATH=" + os.Getenv("PATH"), "HOME=" + p.w.dir}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reply := make(chan error, 1)
	p.w.starts <- startRequest{command, reply}
	if err := <-reply; err != nil {
		return err
	}
	p.w.mu.Lock()
	p.command = command
	p.w.mu.Unlock()
	p.w.record("%s %s started at %v", p.role, p.name, p.addr)
	return nil
}

// startRequest asks startLoop to start a command.
type startRequest struct {
	command *exec.Cmd
	reply   chan error
}

// startLoop starts all processes on one thread. The kernel kills them when that thread ends, so
// that none is left even if this program is killed.
func (w *world) startLoop() {
	runtime.LockOSThread()
	for {
		select {
		case r := <-w.starts:
			r.reply <- r.command.Start()
		case <-w.done:
			return
		}
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.w.mu.Lock()
	command := p.command
	p.command = nil
	p.w.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(syscall.SIGKILL)
		_ = command.Wait()
	}
}
