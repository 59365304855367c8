package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/service"
)

// Headers between the stand-in callers and upstreams.
const (
	// HeaderNumber carries the number of a request.
	HeaderNumber = "Standin-Number"
	// HeaderSize carries how many octets the answer is to have.
	HeaderSize = "Standin-Size"
	// HeaderService names the service that answered.
	HeaderService = "Standin-Service"
	// HeaderUpstream names the upstream that answered.
	HeaderUpstream = "Standin-Upstream"
)

// Paths that an upstream serves.
const (
	// PathShort is answered after the upstream's short time.
	PathShort = "/check-in"
	// PathLong is answered after the upstream's long time.
	PathLong = "/export"
	// PathOrder is like PathShort, for requests that may run at most once.
	PathOrder = "/order"
)

// Upstream is a stand-in for a host's own server: plain HTTP on loopback.
// It counts how often each numbered request ran.
type Upstream struct {
	tomb     tomb.Tomb
	name     service.Name
	label    string
	short    time.Duration
	long     time.Duration
	listener net.Listener
	server   *http.Server

	mu   sync.Mutex
	runs map[uint64]int
}

// UpstreamOption changes how an upstream behaves.
type UpstreamOption func(*Upstream)

// WithShort sets how long a short request runs.
func WithShort(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.short = d }
}

// WithLong sets how long a long request runs.
func WithLong(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.long = d }
}

// NewUpstream starts an upstream of the service on a free port of loopback.
// The label names it in answers.
func NewUpstream(name service.Name, label string, options ...UpstreamOption) (*Upstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "start upstream %s", label)
	}
	u := &Upstream{
		name:     name,
		label:    label,
		listener: listener,
		runs:     make(map[uint64]int),
	}
	for _, option := range options {
		option(u)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(PathShort, u.serve(u.short))
	mux.HandleFunc(PathOrder, u.serve(u.short))
	mux.HandleFunc(PathLong, u.serve(u.long))
	u.server = &http.Server{Handler: mux}
	u.tomb.Go(u.run)
	return u, nil
}

// URL is where the upstream listens.
func (u *Upstream) URL() string { return "http://" + u.listener.Addr().String() }

// Runs returns how often the request with this number ran.
func (u *Upstream) Runs(number uint64) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[number]
}

// TotalRuns returns how many requests ran.
func (u *Upstream) TotalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runs {
		total += n
	}
	return total
}

// Close cuts all requests and waits for the server's goroutine.
func (u *Upstream) Close() error {
	u.tomb.Kill(nil)
	u.server.Close()
	return u.tomb.Wait()
}

func (u *Upstream) run() error {
	if err := u.server.Serve(u.listener); err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

func (u *Upstream) serve(duration time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		number, size, err := requestNumbers(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.count(number)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !wait(r, duration) {
			return
		}
		w.Header().Set(HeaderService, string(u.name))
		w.Header().Set(HeaderUpstream, u.label)
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		_, _ = io.Copy(w, pattern(number, size))
	}
}

func (u *Upstream) count(number uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[number]++
}

func requestNumbers(r *http.Request) (number uint64, size int64, err error) {
	number, err = strconv.ParseUint(r.Header.Get(HeaderNumber), 10, 64)
	if err != nil {
		return 0, 0, trace.BadParameter("header %s: %v", HeaderNumber, err)
	}
	size, err = strconv.ParseInt(r.Header.Get(HeaderSize), 10, 64)
	if err != nil || size < 0 {
		return 0, 0, trace.BadParameter("header %s: want a size in octets", HeaderSize)
	}
	return number, size, nil
}

// wait reports whether the request still stands after duration.
func wait(r *http.Request, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
