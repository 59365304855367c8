package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/platform"
)

const (
	// _routesPath is where a process serves the configuration that it has.
	_routesPath = "/routes"
	// _behindInterval is how often a process looks whether another has a higher
	// version.
	_behindInterval = 25 * time.Millisecond
	// _fetchJitter spreads the processes that fetch a new version at once.
	_fetchJitter = 60 * time.Millisecond
	// _sidecarFetchTime is what the first relay that has a version takes to give it to
	// one sidecar, with 0.06 of a core. Relays decide where flows go, so sidecars
	// leave it time for the other relays, up to _maxFetchJitter.
	_sidecarFetchTime = 6 * time.Millisecond
	_maxFetchJitter   = 400 * time.Millisecond
	// _fetchTimeout bounds one fetch of a configuration.
	_fetchTimeout = 800 * time.Millisecond
	// _storePending is how long the store may take for a read before other relays hear
	// of it: many times what it takes when it is well.
	_storePending = 60 * time.Millisecond
	// _maxRoutes bounds a configuration, in bytes, as the store does.
	_maxRoutes = platform.MaxValueSize + 1<<10
)

// routesTarget is a process's data path as far as configurations go.
type routesTarget interface {
	// SetTable puts a configuration in force if its version is higher.
	SetTable(table directory.Table, source string) bool
	// Behind returns the highest version that a process has named, if it is higher
	// than the one in force, and processes that have it.
	Behind() (uint64, []netip.Addr)
}

// routesChecks says when this process should read the configuration in the store,
// also after failures, and shares that duty with other processes.
type routesChecks interface {
	// CheckDue returns how long to wait; zero says now.
	CheckDue() time.Duration
	// CheckStarted notes that the read begins, CheckPending that it takes long, and
	// Checked or CheckFailed how it ended.
	CheckStarted()
	CheckPending()
	Checked()
	CheckFailed()
}

// routesFollower keeps a process at the newest configuration that it can reach,
// from the store and from other processes, and serves it to others. So a process
// that the store turns away still gets it.
type routesFollower struct {
	tomb     tomb.Tomb
	ctx      context.Context
	target   routesTarget
	store    platform.Store
	checks   routesChecks
	jitter   func() time.Duration
	log      *zap.Logger
	peerPort uint16
	client   *http.Client
	server   *httpServer

	mu      sync.Mutex
	value   []byte
	version uint64
	// read is the store's version of the configuration that was read last.
	read platform.Version
}

// newRoutesFollower serves at self and follows; others serve at peerPort. store and checks are nil for a
// sidecar: it only asks other processes. jitter is how long it waits at most before that.
func newRoutesFollower(
	self netip.AddrPort, peerPort uint16, target routesTarget, store platform.Store, checks routesChecks,
	jitter func() time.Duration, log *zap.Logger,
) (*routesFollower, error) {
	listener, err := net.Listen("tcp4", self.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for processes that ask for routes at %s", self)
	}
	f := &routesFollower{
		target: target, store: store, checks: checks, jitter: jitter, log: log, peerPort: peerPort,
		client: &http.Client{Timeout: _fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+_routesPath, f.serve)
	f.server = serveHTTP("routes", listener, &http.Server{Handler: mux, ReadHeaderTimeout: _fetchTimeout})
	f.ctx = f.tomb.Context(context.Background())
	f.tomb.Go(f.run)
	return f, nil
}

// Close stops following and serving, and waits.
func (f *routesFollower) Close() error {
	f.tomb.Kill(nil)
	return trace.NewAggregate(f.server.Close(), f.tomb.Wait())
}

func (f *routesFollower) run() error {
	if f.store != nil {
		f.tomb.Go(f.loopStore)
	}
	f.tomb.Go(f.loopPeers)
	return nil
}

func (f *routesFollower) serve(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	value := f.value
	f.mu.Unlock()
	if value == nil {
		http.Error(w, "no routes are known", http.StatusNotFound)
		return
	}
	// A write that fails shows to the other process as a cut answer.
	_, _ = w.Write(value)
}

// loopStore reads the configuration in the store when this process is due to.
func (f *routesFollower) loopStore() error {
	reached := true
	for f.tomb.Alive() {
		if due := f.checks.CheckDue(); due > 0 {
			sleepContext(f.ctx, due)
			continue
		}
		err := f.check()
		switch {
		case f.ctx.Err() != nil:
			return nil
		case err == nil && !reached:
			f.log.Info("store regained")
			fallthrough
		case err == nil:
			reached = true
			continue
		case reached:
			f.log.Warn("store lost", zap.Error(err))
			reached = false
		}
		f.checks.CheckFailed()
	}
	return nil
}

// check reads the configuration in the store. One that does not exist yet is
// looked for again at once.
func (f *routesFollower) check() error {
	timeout := _storeCallTimeout
	if f.read == 0 {
		timeout = _firstCallTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	f.checks.CheckStarted()
	pending := time.AfterFunc(_storePending, f.checks.CheckPending)
	defer pending.Stop()
	object, err := f.store.Get(ctx, platform.ConfigurationKey)
	if err != nil {
		return err
	}
	if object.Version != f.read {
		f.read = object.Version
		f.adopt(object.Value, "store")
	}
	f.checks.Checked()
	return nil
}

// loopPeers fetches a configuration from other processes when one has a higher
// version.
func (f *routesFollower) loopPeers() error {
	ticker := time.NewTicker(_behindInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		if wanted, _ := f.target.Behind(); wanted == 0 {
			continue
		}
		sleepContext(f.ctx, rand.N(f.jitter()))
		wanted, holders := f.target.Behind()
		if wanted == 0 || len(holders) == 0 {
			continue
		}
		holder := holders[rand.IntN(len(holders))]
		if err := f.fetch(holder); err != nil {
			f.log.Warn("routes not fetched", zap.Stringer("from", holder), zap.Uint64("version", wanted), zap.Error(err))
			sleepContext(f.ctx, _fetchJitter)
		}
	}
}

// sidecarFetchJitter returns how long a sidecar waits at most before it fetches a
// version, in a fleet of so many.
func sidecarFetchJitter(sidecars int) time.Duration {
	return min(max(time.Duration(sidecars)*_sidecarFetchTime, _fetchJitter), _maxFetchJitter)
}

func (f *routesFollower) fetch(holder netip.Addr) error {
	target := "http://" + netip.AddrPortFrom(holder, f.peerPort).String() + _routesPath
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, target, nil)
	if err != nil {
		return trace.Wrap(err, "fetch routes")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return trace.Wrap(err, "fetch routes")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.NotFound("fetch routes: status %d", response.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, _maxRoutes))
	if err != nil {
		return trace.Wrap(err, "fetch routes")
	}
	f.adopt(value, "process "+holder.String())
	return nil
}

// adopt checks a configuration whole and puts it in force if it is newer.
func (f *routesFollower) adopt(value []byte, source string) {
	table, findings, err := platform.DecodeConfiguration(value)
	if err != nil {
		f.log.Error("configuration refused", zap.String("source", source), zap.Error(err))
		return
	}
	for _, finding := range findings {
		f.log.Warn("route ignored", zap.String("source", source), zap.Error(finding))
	}
	f.mu.Lock()
	if table.Version() > f.version {
		f.version, f.value = table.Version(), value
	}
	f.mu.Unlock()
	f.target.SetTable(table, source)
}
