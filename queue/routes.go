package queue

import (
	"math"
	"strings"
	"time"
)

// Class says whether a request is short or long work.
type Class uint8

// The classes of requests.
const (
	// Short requests may use every slot.
	Short Class = iota + 1
	// Long requests never use the slots reserved for short ones.
	Long
)

const (
	// _maxRoutes bounds the routes whose run times are remembered.
	_maxRoutes = 512
	// _longFactor is how many times the typical run time makes a route long.
	_longFactor = 8
	// _shortFactor is below how many times the typical run time a long route
	// becomes short again.
	_shortFactor = 4
	// _longFloor is the run time below which nothing is long.
	_longFloor = 50 * time.Millisecond
	// _recentWeight is the weight of the last run in a route's expected run time.
	_recentWeight = 0.1
	// _usualWeight is the weight of the last run in a route's usual run time.
	_usualWeight = 0.2
	// _baselineWeight is the weight of the last run in a route's baseline.
	_baselineWeight = 0.005
	// _baselineRuns is how many runs a baseline must rest on to be compared with.
	_baselineRuns = 32
	// _typicalQuantile is the quantile over requests, of the usual run times of
	// their routes, that counts as typical.
	_typicalQuantile = 0.25
	// _typicalStep is the largest relative change of the typical run time by one run.
	_typicalStep = 0.05
)

// _maxRouteSegments is how many segments of a path tell routes apart.
const _maxRouteSegments = 4

// RouteOf returns the route that a request belongs to: its method and the
// beginning of its path, with "*" for segments that look like identifiers.
func RouteOf(method, path string) string {
	var b strings.Builder
	b.Grow(len(method) + len(path))
	b.WriteString(method)
	segments := 0
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "" {
			continue
		}
		if segments == _maxRouteSegments {
			break
		}
		segments++
		b.WriteByte('/')
		if isIdentifier(segment) {
			segment = "*"
		}
		b.WriteString(segment)
	}
	return b.String()
}

// _maxNameLength is the length above which a path segment is an identifier.
const _maxNameLength = 32

// isIdentifier reports whether a path segment names one thing among many.
func isIdentifier(segment string) bool {
	return len(segment) > _maxNameLength || strings.ContainsAny(segment, "0123456789=:")
}

// route is what is known of one route's run times.
type route struct {
	// recent is the expected run time, the mean of recent runs.
	recent time.Duration
	// usual is the geometric mean of recent runs. It tells classes apart,
	// because a single run out of the ordinary hardly moves it.
	usual time.Duration
	// baseline is the run time without overload: the mean of the first runs,
	// and then of quiet ones.
	baseline time.Duration
	// runs is how many runs the baseline rests on.
	runs  int
	class Class
	used  uint64
}

// routes learns the run times of routes in bounded memory.
type routes struct {
	byName  map[string]*route
	typical time.Duration
	clock   uint64
}

func newRoutes() routes {
	return routes{byName: make(map[string]*route)}
}

// lookup returns what is known of the named route. The class of a route that
// never ran is zero, and its run time the typical one.
func (rs *routes) lookup(name string) route {
	r, ok := rs.byName[name]
	if !ok {
		return route{recent: rs.typical}
	}
	rs.clock++
	r.used = rs.clock
	return *r
}

// ratio compares a run with the route's baseline; 1 if there is none yet.
func (r *route) ratio(run time.Duration) float64 {
	if r.runs < _baselineRuns {
		return 1
	}
	return float64(run) / float64(max(r.baseline, time.Microsecond))
}

// longAfter is the run time from which a request counts as long.
func (rs *routes) longAfter() time.Duration {
	return max(_longFloor, _longFactor*rs.typical)
}

// observe learns from one run of the named route. Only a quiet run, beside few
// others, moves the baseline: a slow overload would otherwise become the
// measure for itself.
func (rs *routes) observe(name string, run time.Duration, quiet bool) {
	r, ok := rs.byName[name]
	if !ok {
		r = rs.insert(name)
	}
	rs.learn(r, run, quiet)
	rs.observeTypical(r.usual)
}

// observeRunning learns that the first run of a route takes at least elapsed.
// It does not change what is known of a route that ran before: one slow run
// does not make a route long.
func (rs *routes) observeRunning(name string, elapsed time.Duration) {
	if _, ok := rs.byName[name]; ok {
		return
	}
	*rs.insert(name) = route{recent: elapsed, usual: elapsed, baseline: elapsed, class: Long, used: rs.clock}
}

// observeTypical moves the typical run time towards the quantile.
func (rs *routes) observeTypical(usual time.Duration) {
	switch {
	case rs.typical == 0:
		rs.typical = usual
	case usual < rs.typical:
		rs.typical -= time.Duration(float64(rs.typical) * _typicalStep * (1 - _typicalQuantile))
	default:
		rs.typical += time.Duration(float64(rs.typical) * _typicalStep * _typicalQuantile)
	}
}

// learn updates one route from one run.
func (rs *routes) learn(r *route, run time.Duration, quiet bool) {
	if r.recent == 0 {
		r.recent, r.usual, r.baseline = run, run, run
	}
	r.usual = geometricMix(r.usual, run, _usualWeight)
	r.recent = mix(r.recent, run, _recentWeight)
	if quiet || r.runs < _baselineRuns {
		r.runs++
		r.baseline = mix(r.baseline, run, max(_baselineWeight, 1/float64(r.runs)))
	}
	switch {
	case r.usual >= rs.longAfter():
		r.class = Long
	case r.class == 0, r.usual < max(_longFloor, _shortFactor*rs.typical):
		r.class = Short
	}
}

// insert adds a route, in place of the one unused for longest if there are too many.
func (rs *routes) insert(name string) *route {
	if len(rs.byName) >= _maxRoutes {
		rs.evict()
	}
	rs.clock++
	r := &route{used: rs.clock}
	rs.byName[name] = r
	return r
}

// evict forgets the route unused for longest.
func (rs *routes) evict() {
	oldest := ""
	var used uint64
	for name, r := range rs.byName {
		if used == 0 || r.used < used {
			oldest, used = name, r.used
		}
	}
	delete(rs.byName, oldest)
}

// geometricMix returns the geometric mean of two spans, the second with the
// given weight. Spans count as a microsecond at least.
func geometricMix(a, b time.Duration, weight float64) time.Duration {
	a, b = max(a, time.Microsecond), max(b, time.Microsecond)
	return time.Duration(math.Exp(math.Log(float64(a))*(1-weight) + math.Log(float64(b))*weight))
}

// mix returns the mean of two spans, the second with the given weight.
func mix(a, b time.Duration, weight float64) time.Duration {
	return time.Duration(float64(a)*(1-weight) + float64(b)*weight)
}
