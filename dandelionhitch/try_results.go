package main

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionhitch.example/dispatcher"
	"dandelionhitch.example/service"
	"dandelionhitch.example/standin"
)

// Range of the latency histograms, in microseconds, and their significant decimal digits.
const (
	_minLatencyMicros         = 1
	_maxLatencyMicros         = 60_000_000
	_latencySignificantDigits = 3
)

// _maxKeptErrors is how many errors of a run are kept for its report.
const _maxKeptErrors = 5

// trialResults collects the results of the callers of a try. It is safe for
// concurrent use.
type trialResults struct {
	mu      sync.Mutex
	classes map[trialClass]*classResults
	flows   map[service.Name]*flowResults
	// served holds the numbers of the requests that were served.
	served map[uint64]bool
	// refusedAsNotRun says, for each refused request, whether the answer said that
	// the request had not run.
	refusedAsNotRun map[uint64]bool
	errors          []error
	// wrongService counts the answers that came from another service.
	wrongService int
}

// trialClass is the class of the requests with one path to one service.
type trialClass struct {
	service service.Name
	path    string
}

// classResults counts the requests of one class.
type classResults struct {
	served, refused, failed int
	// reasons counts the refusals by the reason in the answer.
	reasons map[string]int
	latency *hdrhistogram.Histogram
}

// flowResults counts the flows of one service.
type flowResults struct {
	refused, failed, broken, goneAway int
}

func newTrialResults() *trialResults {
	return &trialResults{
		classes:         make(map[trialClass]*classResults),
		flows:           make(map[service.Name]*flowResults),
		served:          make(map[uint64]bool),
		refusedAsNotRun: make(map[uint64]bool),
	}
}

// requestAnswered records the answer to a request.
func (r *trialResults) requestAnswered(name service.Name, path string, number uint64, answer standin.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.class(trialClass{service: name, path: path})
	switch {
	case answer.Status == http.StatusOK:
		class.served++
		r.served[number] = true
		_ = class.latency.RecordValue(max(_minLatencyMicros, answer.Duration.Microseconds()))
	case answer.Refused():
		class.refused++
		class.reasons[answer.Header.Get(dispatcher.HeaderReason)]++
		r.refusedAsNotRun[number] = answer.Header.Get(dispatcher.HeaderOutcome) == dispatcher.OutcomeNotRun
	default:
		class.failed++
	}
}

// flowBroken counts a flow that ended although the service had not asked the caller
// to close it.
func (r *trialResults) flowBroken(name service.Name, number uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(name).broken++
	if isCrossed(err) {
		r.wrongService++
	}
	r.retainError(err)
}

// flowFailed counts a flow that could not be opened.
func (r *trialResults) flowFailed(name service.Name, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(name).failed++
	r.retainError(err)
}

// flowRefused counts a flow that the service refused.
func (r *trialResults) flowRefused(name service.Name) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(name).refused++
}

// flowGoneAway counts a flow that the service asked the caller to close.
func (r *trialResults) flowGoneAway(name service.Name) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(name).goneAway++
}

// brokenFlows returns how many flows were broken or could not be opened.
func (r *trialResults) brokenFlows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, f := range r.flows {
		total += f.broken + f.failed
	}
	return total
}

// counts returns the requests served and refused so far.
func (r *trialResults) counts() (served, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		served += c.served
		refused += c.refused
	}
	return served, refused
}

// sortedClasses returns the classes sorted by service and path.
func (r *trialResults) sortedClasses() []trialClass {
	var out []trialClass
	for class := range r.classes {
		out = append(out, class)
	}
	slices.SortFunc(out, func(a, b trialClass) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.path, b.path))
	})
	return out
}

func (r *trialResults) class(class trialClass) *classResults {
	c, ok := r.classes[class]
	if !ok {
		c = &classResults{
			reasons: make(map[string]int),
			latency: hdrhistogram.New(_minLatencyMicros, _maxLatencyMicros, _latencySignificantDigits),
		}
		r.classes[class] = c
	}
	return c
}

func (r *trialResults) flow(name service.Name) *flowResults {
	f, ok := r.flows[name]
	if !ok {
		f = &flowResults{}
		r.flows[name] = f
	}
	return f
}

// retainError keeps err for the report unless _maxKeptErrors are kept already.
func (r *trialResults) retainError(err error) {
	if len(r.errors) < _maxKeptErrors {
		r.errors = append(r.errors, err)
	}
}
