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

// Header fields of requests and answers between a Caller and an Upstream.
const (
	// HeaderNumber carries the number of a request.
	HeaderNumber = "Standin-Number"
	// HeaderSize carries the requested size of the answer's body in bytes.
	HeaderSize = "Standin-Size"
	// HeaderService carries the name of the service that answered.
	HeaderService = "Standin-Service"
	// HeaderUpstream carries the label of the upstream that answered.
	HeaderUpstream = "Standin-Upstream"
)

// Paths that an Upstream serves.
const (
	// PathShort takes the time that WithShortDuration sets.
	PathShort = "/check-in"
	// PathLong takes the time that WithLongDuration sets.
	PathLong = "/export"
	// PathOrder takes as long as PathShort. Its requests may run at most once.
	PathOrder = "/order"
)

// Upstream is a fake of the application server of a host. It serves plain HTTP on
// loopback and counts the runs of each request.
type Upstream struct {
	tomb          tomb.Tomb
	name          service.Name
	label         string
	shortDuration time.Duration
	longDuration  time.Duration
	listener      net.Listener
	server        *http.Server

	mu   sync.Mutex
	runs map[uint64]int
}

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithShortDuration sets how long requests for PathShort and PathOrder run.
func WithShortDuration(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.shortDuration = d }
}

// WithLongDuration sets how long requests for PathLong run.
func WithLongDuration(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.longDuration = d }
}

// NewUpstream starts an upstream of the service on a free port of loopback. Its
// answers carry the label.
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
	mux.HandleFunc(PathShort, u.serve(u.shortDuration))
	mux.HandleFunc(PathOrder, u.serve(u.shortDuration))
	mux.HandleFunc(PathLong, u.serve(u.longDuration))
	u.server = &http.Server{Handler: mux}
	u.tomb.Go(u.run)
	return u, nil
}

// URL returns the base URL of the upstream.
func (u *Upstream) URL() string { return "http://" + u.listener.Addr().String() }

// Runs returns how often the request with the number ran.
func (u *Upstream) Runs(number uint64) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[number]
}

// TotalRuns returns the number of runs of all requests.
func (u *Upstream) TotalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runs {
		total += n
	}
	return total
}

// Close aborts all requests and waits for the server's goroutine to end.
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
		number, size, err := parseRequestHeader(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.countRun(number)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !waitOrCancel(r, duration) {
			return
		}
		w.Header().Set(HeaderService, string(u.name))
		w.Header().Set(HeaderUpstream, u.label)
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		_, _ = io.Copy(w, pattern(number, size))
	}
}

func (u *Upstream) countRun(number uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[number]++
}

func parseRequestHeader(r *http.Request) (number uint64, size int64, err error) {
	number, err = strconv.ParseUint(r.Header.Get(HeaderNumber), 10, 64)
	if err != nil {
		return 0, 0, trace.BadParameter("header %s: %v", HeaderNumber, err)
	}
	size, err = strconv.ParseInt(r.Header.Get(HeaderSize), 10, 64)
	if err != nil || size < 0 {
		return 0, 0, trace.BadParameter("header %s: want a size in bytes", HeaderSize)
	}
	return number, size, nil
}

// waitOrCancel waits for the duration and returns true, or returns false as soon as
// the request is cancelled.
func waitOrCancel(r *http.Request, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
