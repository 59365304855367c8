package queue

import (
	"math"
	"strings"
	"time"
)

// Class is the class of a request by its run time: short or long.
type Class uint8

// The classes of requests.
const (
	// Short requests may use every slot.
	Short Class = iota + 1
	// Long requests never use the slots reserved for short ones.
	Long
)

const (
	// _maxRoutes is the maximum number of routes whose run times are kept.
	_maxRoutes = 512
	// _longFactor is the multiple of the typical run time from which a route is long.
	_longFactor = 8
	// _shortFactor is the multiple of the typical run time below which a long
	// route becomes short again. It is lower than _longFactor for hysteresis.
	_shortFactor = 4
	// _minLongRun is the minimum run time of long requests.
	_minLongRun = 50 * time.Millisecond
	// _meanWeight is the weight of a new run in a route's mean run time.
	_meanWeight = 0.1
	// _geometricMeanWeight is the weight of a new run in a route's geometric mean run time.
	_geometricMeanWeight = 0.2
	// _baselineWeight is the minimum weight of a new run in a route's baseline.
	_baselineWeight = 0.005
	// _minBaselineRuns is the number of runs from which a baseline is used for comparison.
	_minBaselineRuns = 32
	// _typicalQuantile defines the typical run time: this quantile, over all
	// requests, of the geometric mean run times of their routes.
	_typicalQuantile = 0.25
	// _typicalStep scales the relative change that one run makes to the typical run time.
	_typicalStep = 0.05
)

// _maxRouteSegments is the number of path segments that distinguish routes.
const _maxRouteSegments = 4

// RouteOf returns the route of a request: its method and the first segments of
// its path, with "*" in place of segments that look like identifiers.
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

// _maxLiteralLength is the length in bytes above which a path segment is taken for an identifier.
const _maxLiteralLength = 32

// isIdentifier reports whether a path segment looks like the identifier of a single object.
func isIdentifier(segment string) bool {
	return len(segment) > _maxLiteralLength || strings.ContainsAny(segment, "0123456789=:")
}

// route is the run-time statistics of one route.
type route struct {
	// mean is the moving average of run times, which is the expected run time of a request.
	mean time.Duration
	// geometricMean is the moving geometric mean of run times. It determines the
	// class, because a single outlier hardly changes it.
	geometricMean time.Duration
	// baseline is the run time without overload: the moving average over the
	// first _minBaselineRuns runs and the uncontended runs after them.
	baseline time.Duration
	// baselineRuns is the number of runs in the baseline.
	baselineRuns int
	class        Class
	// lastUsed is routes.useCounter at the last use.
	lastUsed uint64
}

// routes keeps run-time statistics by route, of at most _maxRoutes routes.
type routes struct {
	byName map[string]*route
	// typicalRun is the typical run time of a request; see _typicalQuantile.
	typicalRun time.Duration
	// useCounter numbers the uses of routes, to evict the least recently used one.
	useCounter uint64
}

func newRoutes() routes {
	return routes{byName: make(map[string]*route)}
}

// lookup returns the statistics of the named route. For an unknown route, the
// class is zero and the mean is the typical run time.
func (rs *routes) lookup(name string) route {
	r, ok := rs.byName[name]
	if !ok {
		return route{mean: rs.typicalRun}
	}
	rs.useCounter++
	r.lastUsed = rs.useCounter
	return *r
}

// baselineRatio returns the ratio of a run time to the route's baseline, or 1 if
// the baseline rests on too few runs.
func (r *route) baselineRatio(run time.Duration) float64 {
	if r.baselineRuns < _minBaselineRuns {
		return 1
	}
	return float64(run) / float64(max(r.baseline, time.Microsecond))
}

// longThreshold returns the run time from which a request counts as long.
func (rs *routes) longThreshold() time.Duration {
	return max(_minLongRun, _longFactor*rs.typicalRun)
}

// observe adds one run of the named route. Only uncontended runs change an
// established baseline: otherwise, a gradual overload would raise the baseline
// that it is measured against.
func (rs *routes) observe(name string, run time.Duration, uncontended bool) {
	r, ok := rs.byName[name]
	if !ok {
		r = rs.insert(name)
	}
	rs.update(r, run, uncontended)
	rs.observeTypical(r.geometricMean)
}

// observeRunning adds an unknown route, as long, while its first run is still in
// progress. elapsed is the time since that run started. It does not change a known
// route, because one slow run does not make a route long.
func (rs *routes) observeRunning(name string, elapsed time.Duration) {
	if _, ok := rs.byName[name]; ok {
		return
	}
	*rs.insert(name) = route{mean: elapsed, geometricMean: elapsed, baseline: elapsed, class: Long, lastUsed: rs.useCounter}
}

// observeTypical adjusts the typical run time, an estimate of _typicalQuantile,
// to a request whose route has this geometric mean run time.
func (rs *routes) observeTypical(geometricMean time.Duration) {
	switch {
	case rs.typicalRun == 0:
		rs.typicalRun = geometricMean
	case geometricMean < rs.typicalRun:
		rs.typicalRun -= time.Duration(float64(rs.typicalRun) * _typicalStep * (1 - _typicalQuantile))
	default:
		rs.typicalRun += time.Duration(float64(rs.typicalRun) * _typicalStep * _typicalQuantile)
	}
}

// update adds one run to the statistics of a route and determines its class.
func (rs *routes) update(r *route, run time.Duration, uncontended bool) {
	if r.mean == 0 {
		r.mean, r.geometricMean, r.baseline = run, run, run
	}
	r.geometricMean = weightedGeometricMean(r.geometricMean, run, _geometricMeanWeight)
	r.mean = weightedMean(r.mean, run, _meanWeight)
	if uncontended || r.baselineRuns < _minBaselineRuns {
		r.baselineRuns++
		r.baseline = weightedMean(r.baseline, run, max(_baselineWeight, 1/float64(r.baselineRuns)))
	}
	switch {
	case r.geometricMean >= rs.longThreshold():
		r.class = Long
	case r.class == 0, r.geometricMean < max(_minLongRun, _shortFactor*rs.typicalRun):
		r.class = Short
	}
}

// insert adds a route, and evicts the least recently used one if there are too many.
func (rs *routes) insert(name string) *route {
	if len(rs.byName) >= _maxRoutes {
		rs.evict()
	}
	rs.useCounter++
	r := &route{lastUsed: rs.useCounter}
	rs.byName[name] = r
	return r
}

// evict removes the least recently used route.
func (rs *routes) evict() {
	oldest := ""
	var used uint64
	for name, r := range rs.byName {
		if used == 0 || r.lastUsed < used {
			oldest, used = name, r.lastUsed
		}
	}
	delete(rs.byName, oldest)
}

// weightedGeometricMean returns the geometric mean of a and b, with weight for b
// and the rest for a. Durations below a microsecond count as a microsecond.
func weightedGeometricMean(a, b time.Duration, weight float64) time.Duration {
	a, b = max(a, time.Microsecond), max(b, time.Microsecond)
	return time.Duration(math.Exp(math.Log(float64(a))*(1-weight) + math.Log(float64(b))*weight))
}

// weightedMean returns the mean of a and b, with weight for b and the rest for a.
func weightedMean(a, b time.Duration, weight float64) time.Duration {
	return time.Duration(float64(a)*(1-weight) + float64(b)*weight)
}
