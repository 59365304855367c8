package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/platform"
)

// Platform is a fake of the platform's object API. It is an HTTP server that keeps
// its objects in memory and can inject faults.
type Platform struct {
	tomb     tomb.Tomb
	listener net.Listener
	server   *http.Server
	objects  *platformObjects
	faults   *platformFaults
}

// PlatformOption configures a Platform.
type PlatformOption func(*Platform)

// WithPlatformSeed sets the seed of the random choices. The default is 1.
func WithPlatformSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.faults.seed(seed) }
}

// WithPlatformFaults sets the faults to inject from the start.
func WithPlatformFaults(faults PlatformFaults) PlatformOption {
	return func(p *Platform) { p.faults.set(faults) }
}

// WithPlatformHistory sets how many events are retained for watches.
func WithPlatformHistory(events int) PlatformOption {
	return func(p *Platform) { p.objects.maxEvents = events }
}

// NewPlatform starts a fake platform on a free port of 127.0.0.1.
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
	mux.HandleFunc("GET "+platform.ObjectsPath+"/{kind}", p.list)
	mux.HandleFunc("POST "+platform.ObjectsPath+"/{kind}", p.create)
	mux.HandleFunc("GET "+platform.ObjectsPath+"/{kind}/{name}", p.get)
	mux.HandleFunc("PUT "+platform.ObjectsPath+"/{kind}/{name}", p.replace)
	mux.HandleFunc("DELETE "+platform.ObjectsPath+"/{kind}/{name}", p.remove)
	p.server = &http.Server{Handler: p.injectFaults(mux)}
	p.tomb.Go(p.run)
	return p, nil
}

// Addr returns the address that the server listens on.
func (p *Platform) Addr() net.Addr { return p.listener.Addr() }

// URL returns the base URL for platform.NewClient.
func (p *Platform) URL() *url.URL {
	return &url.URL{Scheme: "http", Host: p.Addr().String()}
}

// SetFaults replaces the faults to inject.
func (p *Platform) SetFaults(faults PlatformFaults) { p.faults.set(faults) }

// PlatformCopy is a copy of a Platform's objects at one time.
type PlatformCopy struct {
	version, lastDropped platform.Version
	events               []platformEvent
	entries              map[string]platformEntry
}

// Copy returns a copy of the objects, from which Restore can restore them.
func (p *Platform) Copy() PlatformCopy { return p.objects.copyOf() }

// Restore replaces the objects by those of a copy and aborts all waiting watches. Changes
// since the copy are lost, and their versions are given out again. The responses count
// the restorations in the header platform.HeaderEra.
func (p *Platform) Restore(c PlatformCopy) {
	p.objects.restore(c)
	p.faults.abortWatches()
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() PlatformCounts { return p.faults.snapshot() }

// Close closes all connections and waits for the server's goroutine to end.
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

// list handles a list or a watch of the objects of a kind.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has(platform.ParamWatch) {
		p.watch(w, r, kind)
		return
	}
	p.faults.updateCounts(func(c *PlatformCounts) { c.Reads++ })
	writeJSON(w, http.StatusOK, p.objects.list(kind, query.Get(platform.ParamAfter)))
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.faults.updateCounts(func(c *PlatformCounts) { c.Reads++ })
	object, ok := p.objects.get(requestKey(r), p.faults.drawStaleness())
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, toStored(object))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get(platform.ParamWatch), 10, 64)
	wait, errWait := strconv.ParseInt(r.URL.Query().Get(platform.ParamWait), 10, 64)
	if err != nil || errWait != nil {
		http.Error(w, "want watch and waitMs", http.StatusBadRequest)
		return
	}
	p.faults.updateCounts(func(c *PlatformCounts) { c.Watches++; c.Waiting++ })
	defer p.faults.updateCounts(func(c *PlatformCounts) { c.Waiting-- })
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	outage := p.faults.nextOutage()
	for {
		events, complete, changed := p.objects.eventsSince(kind, platform.Version(from))
		if !complete {
			http.Error(w, "this history is gone", http.StatusGone)
			return
		}
		if len(events.Events) > 0 {
			writeJSON(w, http.StatusOK, events)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, events)
			return
		case <-r.Context().Done():
			return
		case <-outage:
			p.faults.updateCounts(func(c *PlatformCounts) { c.Aborted++ })
			panic(http.ErrAbortHandler)
		case <-p.tomb.Dying():
			http.Error(w, "closing", http.StatusServiceUnavailable)
			return
		}
	}
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	request, ok := p.readObject(w, r)
	if ok {
		key := platform.JoinKey(r.PathValue("kind"), request.Meta.Name)
		object, written := p.objects.put(key, request.Spec, 0)
		p.answerWrite(w, object, written)
	}
}

func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	request, ok := p.readObject(w, r)
	switch {
	case !ok:
	case request.Meta.Revision == 0:
		http.Error(w, "want the revision that is replaced", http.StatusBadRequest)
	default:
		object, written := p.objects.put(requestKey(r), request.Spec, platform.NewVersion(0, request.Meta.Revision))
		p.answerWrite(w, object, written)
	}
}

// readObject reads the object from the body of a write. If the object is invalid,
// it sends the error response and returns false.
func (p *Platform) readObject(w http.ResponseWriter, r *http.Request) (platform.StoredObject, bool) {
	p.faults.updateCounts(func(c *PlatformCounts) { c.Writes++ })
	var request platform.StoredObject
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*platform.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return request, false
	}
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return request, false
	}
	if len(request.Spec) > platform.MaxValueSize {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return request, false
	}
	return request, true
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.faults.updateCounts(func(c *PlatformCounts) { c.Writes++ })
	expected, err := strconv.ParseUint(r.URL.Query().Get(platform.ParamRevision), 10, 64)
	if err != nil || expected == 0 {
		http.Error(w, "want a revision", http.StatusBadRequest)
		return
	}
	object, removed := p.objects.remove(requestKey(r), platform.Version(expected))
	p.answerWrite(w, object, removed)
}

// answerWrite sends the result of a write, or aborts the connection if the injected faults
// let this answer be lost. applied reports whether the write took effect.
func (p *Platform) answerWrite(w http.ResponseWriter, object platform.Object, applied bool) {
	switch {
	case p.faults.drawLostAnswer():
		panic(http.ErrAbortHandler)
	case applied:
		writeJSON(w, http.StatusOK, toStored(object))
	case object.Version == 0:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		writeJSON(w, http.StatusConflict, toStored(object))
	}
}

func requestKey(r *http.Request) string {
	return platform.JoinKey(r.PathValue("kind"), r.PathValue("name"))
}

// toStored converts an object to its form in the store's API.
func toStored(object platform.Object) platform.StoredObject {
	_, name := platform.SplitKey(object.Key)
	return platform.StoredObject{Meta: platform.Meta{Name: name, Revision: object.Version.Revision()}, Spec: object.Value}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the write fails, the client observes a broken connection.
	_ = json.NewEncoder(w).Encode(value)
}
