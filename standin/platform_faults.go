package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// PlatformFaults are the faults of a stand-in platform. Shares go from 0 to 1.
type PlatformFaults struct {
	// Outage cuts every call before it takes effect, and every waiting watch.
	Outage bool
	// Refuse is the share of calls that are answered with 503.
	Refuse float64
	// Delay holds every call back before it takes effect.
	Delay time.Duration
	// LoseAnswers is the share of writes that are cut after they took effect.
	LoseAnswers float64
	// StaleReads is the share of reads that return an older version.
	StaleReads float64
	// StaleBy is how many versions a stale read may be behind; zero counts as one.
	StaleBy int
}

// PlatformCounts says how often a stand-in platform was called.
type PlatformCounts struct {
	Reads   int
	Writes  int
	Watches int
	// Waiting is the number of watches that wait now.
	Waiting int
	// Cut is the number of calls that an outage cut.
	Cut int
	// Lost is the number of writes whose answer was cut.
	Lost int
	// Stale is the number of reads that returned an older version.
	Stale int
}

// platformFaults makes the choices of a stand-in platform.
type platformFaults struct {
	mu     sync.Mutex
	random *rand.Rand
	faults PlatformFaults
	counts PlatformCounts
	outage chan struct{} // closed when an outage begins
}

func newPlatformFaults() *platformFaults {
	f := &platformFaults{outage: make(chan struct{})}
	f.seed(1)
	return f
}

func (f *platformFaults) seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random = rand.New(rand.NewPCG(seed, seed))
}

func (f *platformFaults) set(faults PlatformFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.Outage && !f.faults.Outage {
		close(f.outage)
		f.outage = make(chan struct{})
	}
	f.faults = faults
}

// nextOutage returns a channel that is closed when the next outage begins.
func (f *platformFaults) nextOutage() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

func (f *platformFaults) count(change func(*PlatformCounts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.counts)
}

func (f *platformFaults) snapshot() PlatformCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// current returns the faults in force, with the choice whether to refuse a call.
func (f *platformFaults) current() (PlatformFaults, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.random.Float64() < f.faults.Refuse
}

func (f *platformFaults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := f.random.Float64() < f.faults.LoseAnswers
	if lost {
		f.counts.Lost++
	}
	return lost
}

// stale returns how many versions a read is to be behind.
func (f *platformFaults) stale() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() >= f.faults.StaleReads {
		return 0
	}
	f.counts.Stale++
	return 1 + f.random.IntN(max(1, f.faults.StaleBy))
}

// faulty wraps a handler with the faults that come before a call takes effect.
func (p *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, refuse := p.faults.current()
		if faults.Delay > 0 && !wait(r, faults.Delay) {
			return
		}
		if faults.Outage {
			p.faults.count(func(c *PlatformCounts) { c.Cut++ })
			panic(http.ErrAbortHandler)
		}
		if refuse {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
