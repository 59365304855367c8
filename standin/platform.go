package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/platform"
)

// Platform is a stand-in for the platform's object API: an HTTP server that
// keeps its objects in memory, with faults to inject.
type Platform struct {
	tomb     tomb.Tomb
	listener net.Listener
	server   *http.Server
	objects  *platformObjects
	faults   *platformFaults
}

// PlatformOption changes a Platform.
type PlatformOption func(*Platform)

// WithPlatformSeed makes the stand-in's random choices repeatable.
func WithPlatformSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.faults.seed(seed) }
}

// WithPlatformFaults sets the faults that hold from the start.
func WithPlatformFaults(faults PlatformFaults) PlatformOption {
	return func(p *Platform) { p.faults.set(faults) }
}

// NewPlatform starts a stand-in on a free port of 127.0.0.1.
func NewPlatform(opts ...PlatformOption) (*Platform, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "start stand-in platform")
	}
	p := &Platform{
		listener: listener,
		objects:  newPlatformObjects(),
		faults:   newPlatformFaults(),
	}
	for _, opt := range opts {
		opt(p)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ObjectsPath, p.list)
	mux.HandleFunc("GET "+platform.ObjectsPath+"/{key...}", p.get)
	mux.HandleFunc("PUT "+platform.ObjectsPath+"/{key...}", p.put)
	mux.HandleFunc("DELETE "+platform.ObjectsPath+"/{key...}", p.remove)
	p.server = &http.Server{Handler: p.faulty(mux)}
	p.tomb.Go(p.run)
	return p, nil
}

// Addr returns the address that the stand-in listens on.
func (p *Platform) Addr() net.Addr { return p.listener.Addr() }

// URL returns the base URL for platform.NewClient.
func (p *Platform) URL() *url.URL {
	return &url.URL{Scheme: "http", Host: p.Addr().String()}
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(faults PlatformFaults) { p.faults.set(faults) }

// Counts returns how often the stand-in was called.
func (p *Platform) Counts() PlatformCounts { return p.faults.snapshot() }

// Close cuts all connections and waits for the server.
func (p *Platform) Close() error {
	p.tomb.Kill(nil)
	p.server.Close()
	return p.tomb.Wait()
}

func (p *Platform) run() error {
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.faults.count(func(c *PlatformCounts) { c.Reads++ })
	w.Header().Set("Content-Type", "application/json")
	// A write that fails shows as a broken connection at the client.
	_ = json.NewEncoder(w).Encode(p.objects.list(r.URL.Query().Get(platform.ParamPrefix)))
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if query.Has(platform.ParamAfter) {
		p.watch(w, r, key)
		return
	}
	p.faults.count(func(c *PlatformCounts) { c.Reads++ })
	object, ok := p.objects.get(key, p.faults.stale())
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeObject(w, object)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get(platform.ParamAfter), 10, 64)
	wait, errWait := time.ParseDuration(r.URL.Query().Get(platform.ParamWait))
	if err != nil || errWait != nil {
		http.Error(w, "want after and wait", http.StatusBadRequest)
		return
	}
	p.faults.count(func(c *PlatformCounts) { c.Watches++; c.Waiting++ })
	defer p.faults.count(func(c *PlatformCounts) { c.Waiting-- })
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	outage := p.faults.nextOutage()
	for {
		object, ok, changed := p.objects.observe(key)
		if ok && object.Version > platform.Version(after) {
			writeObject(w, object)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		case <-outage:
			p.faults.count(func(c *PlatformCounts) { c.Cut++ })
			panic(http.ErrAbortHandler)
		case <-p.tomb.Dying():
			http.Error(w, "closing", http.StatusServiceUnavailable)
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.faults.count(func(c *PlatformCounts) { c.Writes++ })
	expected, err := expectedVersion(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(value) {
		http.Error(w, "the value is not JSON", http.StatusBadRequest)
		return
	}
	version, ok := p.objects.put(r.PathValue("key"), value, expected)
	p.answerWrite(w, version, ok)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.faults.count(func(c *PlatformCounts) { c.Writes++ })
	expected, err := expectedVersion(r.Header)
	if err != nil || expected == 0 {
		http.Error(w, "want If-Match", http.StatusBadRequest)
		return
	}
	p.answerWrite(w, expected, p.objects.remove(r.PathValue("key"), expected))
}

// answerWrite answers a write that has been decided, or loses the answer.
func (p *Platform) answerWrite(w http.ResponseWriter, version platform.Version, ok bool) {
	if p.faults.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "the version differs", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", version.Tag())
}

func writeObject(w http.ResponseWriter, object platform.Object) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", object.Version.Tag())
	_, _ = w.Write(object.Value)
}

func expectedVersion(header http.Header) (platform.Version, error) {
	if strings.TrimSpace(header.Get("If-None-Match")) == platform.AnyVersion {
		return 0, nil
	}
	return platform.ParseTag(header.Get("If-Match"))
}
