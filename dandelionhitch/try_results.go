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

// Bounds of latency histograms in microseconds.
const (
	_minLatency    = 1
	_maxLatency    = 60_000_000
	_latencyDigits = 3
)

// _keptErrors is how many errors of a try are kept for its report.
const _keptErrors = 5

// trialResults is what the callers of a try have seen. It is safe for
// concurrent use.
type trialResults struct {
	mu       sync.Mutex
	classes  map[trialClass]*classResults
	flows    map[service.Name]*flowResults
	served   map[uint64]bool
	unserved map[uint64]bool
	errors   []error
	crossed  int
}

// trialClass is the requests of one kind to one service.
type trialClass struct {
	service service.Name
	path    string
}

// classResults counts the requests of one class.
type classResults struct {
	served, refused, failed int
	// reasons counts the refusals by the reason that was given.
	reasons map[string]int
	latency *hdrhistogram.Histogram
}

// flowResults counts the flows of one service.
type flowResults struct {
	refused, failed, broken, goneAway int
}

func newTrialResults() *trialResults {
	return &trialResults{
		classes:  make(map[trialClass]*classResults),
		flows:    make(map[service.Name]*flowResults),
		served:   make(map[uint64]bool),
		unserved: make(map[uint64]bool),
	}
}

// answered counts a request that had an answer.
func (r *trialResults) answered(name service.Name, path string, number uint64, answer standin.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.class(trialClass{service: name, path: path})
	switch {
	case answer.Status == http.StatusOK:
		class.served++
		r.served[number] = true
		_ = class.latency.RecordValue(max(_minLatency, answer.Duration.Microseconds()))
	case answer.Refused():
		class.refused++
		class.reasons[answer.Header.Get(dispatcher.HeaderReason)]++
		r.unserved[number] = answer.Header.Get(dispatcher.HeaderOutcome) == dispatcher.OutcomeNotRun
	default:
		class.failed++
	}
}

// broken counts a flow that ended without the service asking for it.
func (r *trialResults) broken(name service.Name, number uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(name).broken++
	if isCrossed(err) {
		r.crossed++
	}
	r.keep(err)
}

// flowFailed counts a flow that could not be opened.
func (r *trialResults) flowFailed(name service.Name, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(name).failed++
	r.keep(err)
}

// flowRefused counts a flow that the service refused.
func (r *trialResults) flowRefused(name service.Name) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(name).refused++
}

// goneAway counts a flow that the service asked the caller to end.
func (r *trialResults) goneAway(name service.Name) {
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

// sortedClasses returns the classes in order of their names.
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
			latency: hdrhistogram.New(_minLatency, _maxLatency, _latencyDigits),
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

func (r *trialResults) keep(err error) {
	if len(r.errors) < _keptErrors {
		r.errors = append(r.errors, err)
	}
}
