package placement

import "time"

// Detection of slow upstreams. Each run time is divided by the median run time of the upstream's
// peers, and the ratios are added up in a cumulative sum (CUSUM). A ratio is cut off at
// _maxCountedRatio, so the mean of the counted ratios of a healthy upstream is at most 1, and rare
// long requests can't add up.
const (
	// _maxCountedRatio is the highest ratio that is counted at its full value.
	_maxCountedRatio = 3
	// _referenceRatio is subtracted from each ratio. The sum falls by at least 0.35 a request, on
	// average, while the upstream is healthy, and rises by at least 0.7 from a ratio of 2 on.
	_referenceRatio = 1.35
	// _slowSum is the sum from which on an upstream is slow. With 0.03 of the requests taking 7
	// times as long, the sum of a healthy upstream exceeds s with a probability of about
	// exp(-1.8 s) for each excursion from zero, that is 1e-8. A slowdown of 2.5 reaches the sum within
	// about 15 requests.
	_slowSum = 10
	// _recoveredRatio is the mean ratio below which a slow upstream counts as recovered.
	_recoveredRatio = 1.35
	// _ratioWeight is the weight of a request in the mean ratio of a slow upstream. A recovered
	// upstream that was 4 times as slow is detected within about ten requests.
	_ratioWeight = 0.2
	// _maxRatio bounds a ratio in the mean of a slow upstream, so that a single long request does not
	// exclude it.
	_maxRatio = 8
	// An upstream that is slow on the whole isn't slow for a zone of which at least _minZoneRequests
	// requests have ended since the sum began to rise, if less than a fraction of _minLongFraction of
	// them took longer than _recoveredRatio. That fraction is 0.03 for a zone for which the upstream is not slow,
	// and above 0.8 for a slowdown of 2.5.
	_minZoneRequests = 5
	_minLongFraction = 0.3
	// _longWeight is the least weight of a request in that fraction.
	_longWeight = 0.1
	// _slowdownHalfLife is the time without an ended request after which the excess of a reported
	// slowdown has halved. A slow upstream that gets no requests is therefore tried again, within
	// three half-lives if it was 4 times as slow.
	_slowdownHalfLife = 2 * time.Second
)

// slowdownTrack compares the run times of one group of requests with those at the peers.
type slowdownTrack struct {
	sum float64
	// total and count are of the ratios since sum was last zero.
	total float64
	count int
	// recent is the mean ratio of the latest requests, and requests counts all.
	recent   float64
	requests int
	slow     bool
	lastAt   time.Duration
}

// add adds a ratio of run times.
func (t *slowdownTrack) add(now time.Duration, ratio float64) {
	t.lastAt = now
	t.requests++
	limit := float64(_maxCountedRatio)
	if t.slow {
		limit = _maxRatio
	}
	t.recent += max(_ratioWeight, 1/float64(t.requests)) * (min(ratio, limit) - t.recent)
	t.total += min(ratio, _maxRatio)
	t.count++
	t.sum += min(ratio, _maxCountedRatio) - _referenceRatio
	switch {
	case t.slow && t.recent < _recoveredRatio:
		*t = slowdownTrack{requests: t.requests, recent: t.recent, lastAt: now}
	case t.sum <= 0:
		t.sum, t.total, t.count = 0, 0, 0
	case !t.slow && t.sum >= _slowSum:
		t.slow, t.recent = true, max(t.total/float64(t.count), _recoveredRatio)
	}
}

// percent returns the slowdown at time now in percent: NormalSlowdown unless the track is slow.
func (t *slowdownTrack) percent(now time.Duration) int {
	if !t.slow {
		return NormalSlowdown
	}
	excess := t.recent - 1
	for idle := now - t.lastAt; idle >= _slowdownHalfLife; idle -= _slowdownHalfLife {
		excess /= 2
		if excess < 0.01 {
			return NormalSlowdown
		}
	}
	return NormalSlowdown + int(NormalSlowdown*excess)
}

// Slowdown detects that an upstream is slower than its peers, for all its callers or for those of
// one zone. The zero value has seen no requests.
type Slowdown struct {
	all   slowdownTrack
	zones []zoneTrack
}

// zoneTrack is the track of the requests of one zone.
type zoneTrack struct {
	slowdownTrack
	zone string
	// counted is the number of requests since the sum of the track for all requests was last zero, and
	// long is the fraction of them that took longer than _recoveredRatio.
	counted int
	long    float64
}

// noteRatio counts a request for contradicts.
func (t *zoneTrack) noteRatio(ratio float64) {
	t.counted++
	long := 0.0
	if ratio > _recoveredRatio {
		long = 1
	}
	t.long += max(_longWeight, 1/float64(t.counted)) * (long - t.long)
}

// contradicts reports whether the upstream isn't slow for this zone, although it is on the whole.
func (t *zoneTrack) contradicts() bool {
	return !t.slow && t.counted >= _minZoneRequests && t.long < _minLongFraction
}

// Add adds a completed request of a caller in a zone, which is empty if it is not known. took is its
// run time and usual the median run time at the peers. It reports whether the upstream has become
// slow or has recovered, for the callers of any zone.
func (s *Slowdown) Add(now time.Duration, zone string, took, usual time.Duration) (changed bool) {
	if usual <= 0 {
		return false
	}
	ratio := float64(took) / float64(usual)
	track, before := s.track(zone), s.all.slow
	// Requests of a zone for which alone the upstream is slow say nothing about the other zones.
	if track == nil || !track.slow || s.all.slow {
		s.all.add(now, ratio)
	}
	changed = before != s.all.slow
	if s.all.count == 0 && !s.all.slow {
		for i := range s.zones {
			s.zones[i].counted, s.zones[i].long = 0, 0
		}
	}
	if track != nil {
		track.noteRatio(ratio)
		before = track.slow
		track.add(now, ratio)
		changed = changed || before != track.slow
	}
	return changed
}

// track returns the track of a zone, or nil if the zone is not known or there are too many zones.
func (s *Slowdown) track(zone string) *zoneTrack {
	if zone == "" {
		return nil
	}
	if t := s.known(zone); t != nil {
		return t
	}
	if len(s.zones) == _maxZones {
		return nil
	}
	s.zones = append(s.zones, zoneTrack{zone: zone})
	return &s.zones[len(s.zones)-1]
}

// known returns the track of a zone from which requests have ended, or nil.
func (s *Slowdown) known(zone string) *zoneTrack {
	for i := range s.zones {
		if s.zones[i].zone == zone {
			return &s.zones[i]
		}
	}
	return nil
}

// Percent returns the run time of requests of callers in a zone in percent of that at the peers:
// zero if no request was compared, and NormalSlowdown unless the upstream is slow for them. The value
// of a slow upstream decreases towards NormalSlowdown while no request ends. An upstream that is slow
// on the whole is slow for each zone whose own requests don't contradict.
func (s *Slowdown) Percent(now time.Duration, zone string) int {
	if s.all.requests == 0 {
		return 0
	}
	if t := s.known(zone); t != nil && (t.slow || t.contradicts()) {
		return t.percent(now)
	}
	return s.all.percent(now)
}

// MaxPercent returns the highest slowdown for the callers of any zone, as Percent does.
func (s *Slowdown) MaxPercent(now time.Duration) int {
	highest := s.Percent(now, "")
	for i := range s.zones {
		highest = max(highest, s.zones[i].percent(now))
	}
	return highest
}
