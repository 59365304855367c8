package standin

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionhitch.example/platform"
)

// PlatformFaults are the faults that a Platform injects. Fractions are from 0 to 1.
type PlatformFaults struct {
	// Outage aborts every call before it takes effect, and all waiting watches.
	Outage bool
	// Refuse is the fraction of calls that are answered with status 503.
	Refuse float64
	// Delay is how long every call waits before it takes effect.
	Delay time.Duration
	// LoseAnswers is the fraction of writes whose connection is aborted after the write
	// took effect.
	LoseAnswers float64
	// StaleReads is the fraction of reads that return an older version.
	StaleReads float64
	// StaleBy is the maximum number of versions that a stale read is behind. Zero
	// stands for one.
	StaleBy int
}

// PlatformCounts are the numbers of calls that a Platform has received.
type PlatformCounts struct {
	Reads   int
	Writes  int
	Watches int
	// Waiting is the number of watches that are waiting for an event at present.
	Waiting int
	// Aborted is the number of calls that an outage aborted.
	Aborted int
	// LostAnswers is the number of writes that took effect and whose connection was
	// then aborted.
	LostAnswers int
	// StaleReads is the number of reads that returned an older version.
	StaleReads int
}

// platformFaults holds the faults and counts of a Platform and makes its random
// choices.
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

// abortWatches aborts all waiting watches, as at the beginning of an outage.
func (f *platformFaults) abortWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.outage)
	f.outage = make(chan struct{})
}

// nextOutage returns a channel that is closed when the next outage begins.
func (f *platformFaults) nextOutage() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

func (f *platformFaults) updateCounts(update func(*PlatformCounts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.counts)
}

func (f *platformFaults) snapshot() PlatformCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// drawFaults returns the faults in force, and whether to refuse the current call.
func (f *platformFaults) drawFaults() (PlatformFaults, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.random.Float64() < f.faults.Refuse
}

// drawLostAnswer reports whether to abort the connection of a write that took effect.
func (f *platformFaults) drawLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := f.random.Float64() < f.faults.LoseAnswers
	if lost {
		f.counts.LostAnswers++
	}
	return lost
}

// drawStaleness returns by how many versions a read is to be stale.
func (f *platformFaults) drawStaleness() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() >= f.faults.StaleReads {
		return 0
	}
	f.counts.StaleReads++
	return 1 + f.random.IntN(max(1, f.faults.StaleBy))
}

// injectFaults wraps a handler with the faults that occur before a call takes effect.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, refuse := p.faults.drawFaults()
		if faults.Delay > 0 && !waitOrCancel(r, faults.Delay) {
			return
		}
		if faults.Outage {
			p.faults.updateCounts(func(c *PlatformCounts) { c.Aborted++ })
			panic(http.ErrAbortHandler)
		}
		if refuse {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(platform.HeaderEra, strconv.Itoa(p.objects.currentEra()))
		next.ServeHTTP(w, r)
	})
}
