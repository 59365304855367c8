// Package fleet keeps one process's view of the relays and sidecars of the fleet.
// It is a state machine without I/O, driven by reports and by the passing of time.
//
// Only a process itself reports its state, so no agreement between processes is
// needed: within one incarnation the report with the highest sequence number wins,
// and reports of the previous incarnation of a sidecar are ignored as long as the
// present one reports. An upstream whose sidecar is silent or does not answer offers is
// offered no new flows; its open flows are not affected. Times are readings of the
// process's monotonic clock.
package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/peer"
)

// Timeouts and limits of the view.
const (
	// _reportGrace is how long beyond its report interval a sidecar may be silent
	// before it is offered no new flows.
	_reportGrace = 700 * time.Millisecond
	// _initialPenalty is how long an upstream gets no new flows after an unanswered
	// offer. It doubles, up to _maxPenalty, with each consecutive unanswered offer.
	_initialPenalty = 500 * time.Millisecond
	_maxPenalty     = 4 * time.Second
	// A sidecar is removed once it has been silent for both _minRetention and
	// _retentionReports report intervals, a relay after twice that time. The idle timeout
	// of flows and the longest network partitions are shorter.
	_minRetention     = 90 * time.Second
	_retentionReports = 4
	// _expiryInterval is how often Tick removes silent processes.
	_expiryInterval = 5 * time.Second
	// _introduceInterval is the minimum time between two introductions (see Introduce) to
	// a sidecar that has not reported to this process yet. Without it, the sidecar would
	// get one introduction for every relay that names it.
	_introduceInterval = time.Second
	// _unconfirmedPeriod limits how long UnconfirmedRelays returns a relay from which no
	// report has arrived, from when another process first named the relay. Processes that
	// are started together are all up within a shorter time.
	_unconfirmedPeriod = 3 * time.Second
	// _maxUnconfirmed is the maximum number of relays that one call of UnconfirmedRelays
	// returns.
	_maxUnconfirmed = 4
	// _noRoomTTL is how long at most it counts that an upstream has no capacity for a
	// priority. A sidecar reports several times in that time, so an older report means that
	// reports were lost.
	_noRoomTTL = time.Second
	// One in _farDivisor neighbours of a sidecar is in another zone, and no more, since
	// traffic between zones costs money.
	_farDivisor = 4
)

// reporter tells the reports of a process from those of earlier processes at its address. A report
// may be delayed over a restart of its sender, and incarnations are in no order.
type reporter struct {
	// LastReportAt is when the last report of the present incarnation arrived, or zero if none has.
	LastReportAt time.Duration

	incarnation, sequence, previousIncarnation, previousSequence uint64
}

// isStale reports whether a report is an earlier one of the present incarnation, or one of the
// previous incarnation that does not show that this one still runs. It does if it is not an earlier
// report and the present incarnation, which reports once an interval, is overdue. Then the report
// that made that one the present incarnation was a delayed report of a process that has ended.
func (p *reporter) isStale(now time.Duration, incarnation, sequence uint64, interval time.Duration) bool {
	switch incarnation {
	case p.incarnation:
		return sequence <= p.sequence
	case p.previousIncarnation:
		return p.previousIncarnation != 0 && (sequence <= p.previousSequence || now-p.LastReportAt <= interval+_reportGrace)
	default:
		return false
	}
}

// noteReport notes a report that is not stale.
func (p *reporter) noteReport(now time.Duration, incarnation, sequence uint64) {
	if incarnation != p.incarnation {
		p.previousIncarnation, p.previousSequence = p.incarnation, p.sequence
	}
	p.incarnation, p.sequence, p.LastReportAt = incarnation, sequence, now
}

// Upstream is a sidecar together with its upstream, as known to this process.
type Upstream struct {
	Sidecar netip.Addr
	Service string
	Zone    string
	State   peer.State
	// Busy is the load that the sidecar last reported plus the number of flows that this process
	// has offered to the sidecar since. The load is the number of requests in progress plus that
	// of waiting flows that are not late. Slots is the number of requests that the upstream
	// works on at a time.
	Busy, Slots int
	// Reported is the load in the sidecar's last report. Other than Busy, it is not updated by answers to
	// offers, which come while the load is high, and has no offers added.
	Reported int
	// Late is the number of new flows that wait at the sidecar and have waited too long
	// to meet their target latency. Busy does not include them.
	Late int
	// RunTime is the mean duration of a request, or zero if it is not known. EarlyShare is
	// the share, from 0 to 1, of answers that arrive much earlier than is usual at the
	// service's other upstreams, which is a sign of failing requests.
	RunTime    time.Duration
	EarlyShare float64
	// NoRoomFrom and Slowdown are as in peer.UpstreamReport.
	NoRoomFrom uint8
	Slowdown   uint16
	// NoRoomUpdatedAt is when NoRoomFrom was last reported, or changed because of an answer.
	NoRoomUpdatedAt time.Duration
	// LastMessageAt is when the last message of the sidecar arrived, and LoadUpdatedAt when
	// Busy and Slots were last reported.
	LastMessageAt, LoadUpdatedAt time.Duration

	reporter
	// noRoomFor is how long NoRoomFrom counts after NoRoomUpdatedAt. reportsRoom is set if
	// the sidecar is known to report NoRoomFrom, which earlier builds do not.
	noRoomFor   time.Duration
	reportsRoom bool

	// unansweredOffers is the number of consecutive unanswered offers.
	unansweredOffers int
	penaltyUntil     time.Duration
	// ringPosition is the hash that orders sidecars on the ring of Neighbours.
	ringPosition uint64
}

// Penalized reports whether the upstream gets no new flows at time now because it
// left an offer unanswered.
func (u *Upstream) Penalized(now time.Duration) bool { return now < u.penaltyUntil }

// LacksRoom reports whether the upstream has no capacity for new flows of a priority, by a
// report or an answer that is recent enough to count: not older than _noRoomTTL, nor than the
// time in which the upstream works off its reported load. After that its slots could be free.
func (u *Upstream) LacksRoom(now time.Duration, priority int) bool {
	return u.lacksRoom(priority) && now-u.NoRoomUpdatedAt <= u.noRoomFor
}

// lacksRoom reports the same by the last report or answer, whatever its age.
func (u *Upstream) lacksRoom(priority int) bool {
	return u.NoRoomFrom > 0 && priority+1 >= int(u.NoRoomFrom)
}

// ReportedNoRoom reports whether the upstream had no capacity for new flows of a priority by a
// report or an answer not older than _noRoomTTL.
func (u *Upstream) ReportedNoRoom(now time.Duration, priority int) bool {
	return u.lacksRoom(priority) && now-u.NoRoomUpdatedAt <= _noRoomTTL
}

// HasPartialRoom reports whether the upstream has capacity for new flows of a priority but none
// for less important ones, by a report or an answer not older than _noRoomTTL.
func (u *Upstream) HasPartialRoom(now time.Duration, priority int) bool {
	return int(u.NoRoomFrom) > priority+1 && now-u.NoRoomUpdatedAt <= _noRoomTTL
}

// setNoRoom sets NoRoomFrom. The load must have been set before.
func (u *Upstream) setNoRoom(now time.Duration, from uint8) {
	u.NoRoomFrom, u.NoRoomUpdatedAt, u.noRoomFor = from, now, _noRoomTTL
	if u.RunTime > 0 {
		u.noRoomFor = min(_noRoomTTL, time.Duration(u.Busy)*u.RunTime/time.Duration(u.Slots))
	}
}

// CountOffer increments Busy for a new flow that this process has offered to the upstream.
// The next report of the upstream's load replaces Busy.
func (u *Upstream) CountOffer() { u.Busy++ }

// Relay is a relay as known to this process.
type Relay struct {
	Addr netip.Addr
	// Leaving reports whether the relay is shutting down.
	Leaving bool
	// Zone is empty until a report of the relay names it.
	Zone string

	reporter
	// added is when another process first named the relay or its first report arrived.
	added time.Duration
}

// View is one process's view of the fleet. It is not safe for concurrent use.
type View struct {
	upstreams map[netip.Addr]*Upstream
	// sidecars holds the upstreams in address order.
	sidecars []*Upstream
	// services holds the upstreams of each service in address order.
	services map[string][]*Upstream
	relays   map[netip.Addr]*Relay
	// interval is the maximum time between two reports of a sidecar.
	interval time.Duration
	// introduced holds when Introduce last allowed an introduction to each unknown sidecar.
	introduced map[netip.Addr]time.Duration
	// lastUnconfirmed is the last relay that UnconfirmedRelays returned.
	lastUnconfirmed netip.Addr
	// nextExpiry is when Tick next removes silent processes.
	nextExpiry time.Duration
}

// New returns an empty view of a fleet whose sidecars report at least once per interval.
func New(interval time.Duration) *View {
	return &View{
		upstreams: make(map[netip.Addr]*Upstream),
		services:  make(map[string][]*Upstream),
		relays:    make(map[netip.Addr]*Relay),
		interval:  interval,

		introduced: make(map[netip.Addr]time.Duration),
	}
}

// Change is the effect of a report on the view.
type Change struct {
	// Stale is set if the report was older than the view and was ignored.
	Stale bool
	// New is set if the process or its incarnation was not known.
	New bool
	// From is the upstream's state before the report. Relays do not use it.
	From peer.State
	// FromService is the service that the sidecar's upstream had before the report; empty if
	// the sidecar was not known.
	FromService string
}

// Report applies a sidecar's report. It returns the sidecar's upstream as it is
// afterwards and what the report changed.
func (v *View) Report(now time.Duration, r peer.UpstreamReport) (*Upstream, Change) {
	u, known := v.upstreams[r.Sidecar]
	switch {
	case !known:
		u = &Upstream{Sidecar: r.Sidecar, ringPosition: hashRingPosition(r.Sidecar)}
		v.upstreams[r.Sidecar] = u
		v.sidecars = insert(v.sidecars, u)
	case u.isStale(now, r.Incarnation, r.Sequence, v.interval):
		return u, Change{Stale: true, From: u.State}
	}
	change := Change{New: !known || r.Incarnation != u.incarnation, From: u.State, FromService: u.Service}
	if change.New && known {
		u.unansweredOffers, u.penaltyUntil = 0, 0
	}
	u.noteReport(now, r.Incarnation, r.Sequence)
	if u.Service != r.Service {
		v.removeFromService(u)
		u.Service = r.Service
		v.addToService(u)
	}
	u.Zone, u.State = r.Zone, r.State
	u.LastMessageAt, u.Reported, u.Late = now, int(r.Busy), int(r.Late)
	u.RunTime, u.EarlyShare = time.Duration(r.RunTime)*peer.RunTimeUnit, float64(r.EarlyPercent)/100
	u.Slowdown = r.Slowdown
	v.setLoad(u, now, int(r.Busy), int(r.Slots))
	u.setNoRoom(now, r.NoRoomFrom)
	u.reportsRoom = r.NoRoomFrom > 0 || u.reportsRoom && !change.New
	return u, change
}

// Answered records that a sidecar answered a packet and reported its load. It ends
// the upstream's penalty.
func (v *View) Answered(now time.Duration, sidecar netip.Addr, busy, slots int) {
	u, ok := v.upstreams[sidecar]
	if !ok {
		return
	}
	u.LastMessageAt = now
	u.unansweredOffers, u.penaltyUntil = 0, 0
	v.setLoad(u, now, busy, slots)
}

// Overloaded records that a sidecar had no capacity for a new flow of a priority. Such an
// answer is newer than the last report and lets the next flows go elsewhere. It counts only for
// sidecars that report NoRoomFrom, and until their next report.
func (v *View) Overloaded(now time.Duration, sidecar netip.Addr, priority int) {
	if u, ok := v.upstreams[sidecar]; ok && u.reportsRoom && !u.LacksRoom(now, priority) && priority < math.MaxUint8 {
		u.setNoRoom(now, uint8(priority+1))
	}
}

// Unanswered records that a sidecar did not answer an offer in time. It returns the
// duration of the penalty that begins now, or zero if the sidecar is not known or is
// penalized already.
func (v *View) Unanswered(now time.Duration, sidecar netip.Addr) time.Duration {
	u, ok := v.upstreams[sidecar]
	if !ok || u.Penalized(now) {
		return 0
	}
	penalty := min(_initialPenalty<<min(u.unansweredOffers, 8), _maxPenalty)
	u.unansweredOffers++
	u.penaltyUntil = now + penalty
	return penalty
}

// Upstream returns the upstream of a sidecar, or nil if the sidecar is not known.
func (v *View) Upstream(sidecar netip.Addr) *Upstream { return v.upstreams[sidecar] }

// Introduce reports whether this process should introduce itself to a sidecar that
// another process has named. It should if the sidecar is not known and no introduction
// was sent to it within the last _introduceInterval; Introduce then records that an
// introduction is sent now. An introduction is a report that is sent outside the regular
// schedule.
func (v *View) Introduce(now time.Duration, sidecar netip.Addr) bool {
	last, introduced := v.introduced[sidecar]
	if v.upstreams[sidecar] != nil || introduced && now-last < _introduceInterval {
		return false
	}
	v.introduced[sidecar] = now
	return true
}

// AllHeard reports whether each sidecar that another process has named since this
// process started has reported, except those that were removed as silent.
func (v *View) AllHeard() bool {
	for addr := range v.introduced {
		if v.upstreams[addr] == nil {
			return false
		}
	}
	return true
}

// Service returns the upstreams of a service in address order. The caller must not
// modify the slice.
func (v *View) Service(name string) []*Upstream { return v.services[name] }

// Neighbours returns up to count other upstreams of a service, to which the sidecar
// self reports its load. Most are in self's zone. The rest are in other zones, so
// that flows can leave a zone whose upstreams are all busy. Among the upstreams of the
// same zone, and among those of other zones, Neighbours chooses the closest to self on a
// ring ordered by the hash of the address.
func (v *View) Neighbours(service string, self netip.Addr, zone string, count int) []*Upstream {
	var near, far []*Upstream
	for _, u := range v.services[service] {
		switch {
		case u.Sidecar == self:
		case u.Zone == zone:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	if len(near)+len(far) <= count {
		return append(near, far...)
	}
	farCount := max(count/_farDivisor, count-len(near))
	position := hashRingPosition(self)
	near = nearestOnRing(near, position, count-min(farCount, len(far)))
	return append(near, nearestOnRing(far, position, farCount)...)
}

// nearestOnRing returns up to count upstreams, those closest to a position on the ring,
// half of them on either side. It reorders upstreams.
func nearestOnRing(upstreams []*Upstream, position uint64, count int) []*Upstream {
	if len(upstreams) <= count {
		return upstreams
	}
	slices.SortFunc(upstreams, func(a, b *Upstream) int { return cmp.Compare(a.ringPosition-position, b.ringPosition-position) })
	return append(upstreams[:(count+1)/2], upstreams[len(upstreams)-count/2:]...)
}

// hashRingPosition returns the position of an address on the ring.
func hashRingPosition(addr netip.Addr) uint64 {
	ip := addr.As16()
	return xxhash.Sum64(ip[:])
}

// Sidecars returns all upstreams in address order. The caller must not modify the
// slice.
func (v *View) Sidecars() []*Upstream { return v.sidecars }

// SidecarCount returns the number of known sidecars.
func (v *View) SidecarCount() int { return len(v.upstreams) }

// Eligible reports whether the upstream may be offered a new flow: it is ready, not
// penalized, and its sidecar is not overdue with its reports.
func (v *View) Eligible(now time.Duration, u *Upstream) bool {
	return u.State == peer.Ready && !u.Penalized(now) && now-u.LastMessageAt <= v.interval+_reportGrace
}

// SetInterval sets the maximum time between two reports of a sidecar.
func (v *View) SetInterval(interval time.Duration) { v.interval = interval }

// AddRelay adds a relay that another process has named. It reports whether the relay
// is new. Addresses other than IPv4 are ignored.
func (v *View) AddRelay(now time.Duration, addr netip.Addr) bool {
	if _, ok := v.relays[addr]; ok || !addr.Is4() {
		return false
	}
	v.relays[addr] = &Relay{Addr: addr, added: now}
	return true
}

// UnconfirmedRelays returns up to _maxUnconfirmed relays that were added within the
// last _unconfirmedPeriod and are not confirmed: none of their reports has arrived yet.
// Successive calls go through all of them. The caller reports to them again: its earlier
// reports may have been sent before those relays had started, and a relay that has just
// started knows no other process.
func (v *View) UnconfirmedRelays(now time.Duration) []netip.Addr {
	var before, after []netip.Addr // relays up to and after lastUnconfirmed in address order
	for addr, r := range v.relays {
		switch {
		case r.LastReportAt > 0 || now-r.added > _unconfirmedPeriod:
		case addr.Compare(v.lastUnconfirmed) > 0:
			after = append(after, addr)
		default:
			before = append(before, addr)
		}
	}
	slices.SortFunc(before, netip.Addr.Compare)
	slices.SortFunc(after, netip.Addr.Compare)
	unconfirmed := append(after, before...)
	unconfirmed = unconfirmed[:min(len(unconfirmed), _maxUnconfirmed)]
	if len(unconfirmed) > 0 {
		v.lastUnconfirmed = unconfirmed[len(unconfirmed)-1]
	}
	return unconfirmed
}

// ReportRelay applies a relay's report. It returns the relay as it is afterwards and
// what the report changed.
func (v *View) ReportRelay(now time.Duration, r peer.RelayReport) (*Relay, Change) {
	v.AddRelay(now, r.Relay)
	relay := v.relays[r.Relay]
	if relay.isStale(now, r.Incarnation, r.Sequence, peer.RelayInterval(v.RelayCount()+v.SidecarCount())) {
		return relay, Change{Stale: true}
	}
	change := Change{New: r.Incarnation != relay.incarnation}
	relay.noteReport(now, r.Incarnation, r.Sequence)
	relay.Leaving = r.Leaving
	if r.Zone != "" {
		relay.Zone = r.Zone
	}
	return relay, change
}

// Relays returns the relays in address order, including those that have not reported yet.
func (v *View) Relays() []*Relay {
	out := make([]*Relay, 0, len(v.relays))
	for _, r := range v.relays {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Relay) int { return a.Addr.Compare(b.Addr) })
	return out
}

// ConfirmedRelays returns the addresses of the relays from which a report has arrived,
// in address order.
func (v *View) ConfirmedRelays() []netip.Addr {
	var confirmed []netip.Addr
	for _, r := range v.Relays() {
		if r.LastReportAt > 0 {
			confirmed = append(confirmed, r.Addr)
		}
	}
	return confirmed
}

// Relay returns the relay at addr, or nil if it is not known.
func (v *View) Relay(addr netip.Addr) *Relay { return v.relays[addr] }

// Isolated reports whether no known relay has reported.
func (v *View) Isolated() bool {
	for _, r := range v.relays {
		if r.LastReportAt > 0 {
			return false
		}
	}
	return true
}

// InZone reports whether the process at addr has reported that it is in the given zone.
func (v *View) InZone(addr netip.Addr, zone string) bool {
	if u, ok := v.upstreams[addr]; ok {
		return u.Zone == zone
	}
	r, ok := v.relays[addr]
	return ok && r.Zone == zone
}

// RandomProcesses returns up to count randomly chosen processes that have reported.
func (v *View) RandomProcesses(count int, random *rand.Rand) []netip.Addr {
	processes := v.ConfirmedRelays()
	for _, u := range v.sidecars {
		processes = append(processes, u.Sidecar)
	}
	random.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	return processes[:min(count, len(processes))]
}

// RelayCount returns the number of known relays, including those that have not reported yet.
func (v *View) RelayCount() int { return len(v.relays) }

// Tick removes silent processes every _expiryInterval. It must be called regularly.
func (v *View) Tick(now time.Duration) {
	if now >= v.nextExpiry {
		v.nextExpiry = now + _expiryInterval
		v.RemoveSilent(now)
	}
}

// RemoveSilent removes the processes that have been silent for longer than the
// retention period, or twice that for relays. It returns the addresses of the relays
// that it removed.
func (v *View) RemoveSilent(now time.Duration) []netip.Addr {
	retention := max(_minRetention, _retentionReports*v.interval)
	for _, u := range slices.Clone(v.sidecars) {
		if now-u.LastMessageAt > retention {
			v.removeFromService(u)
			v.sidecars = remove(v.sidecars, u)
			delete(v.upstreams, u.Sidecar)
		}
	}
	for addr, last := range v.introduced {
		if now-last >= _introduceInterval {
			delete(v.introduced, addr)
		}
	}
	var relays []netip.Addr
	for addr, r := range v.relays {
		if now-max(r.LastReportAt, r.added) > 2*retention {
			delete(v.relays, addr)
			relays = append(relays, addr)
		}
	}
	return relays
}

// setLoad records a load that the sidecar reported.
func (v *View) setLoad(u *Upstream, now time.Duration, busy, slots int) {
	u.Busy, u.Slots, u.LoadUpdatedAt = busy, max(slots, 1), now
}

func (v *View) addToService(u *Upstream) { v.services[u.Service] = insert(v.services[u.Service], u) }

func (v *View) removeFromService(u *Upstream) {
	list := remove(v.services[u.Service], u)
	if len(list) == 0 {
		delete(v.services, u.Service)
		return
	}
	v.services[u.Service] = list
}

// insert adds an upstream to a list that is in address order.
func insert(list []*Upstream, u *Upstream) []*Upstream {
	i, _ := slices.BinarySearchFunc(list, u, func(a, b *Upstream) int { return a.Sidecar.Compare(b.Sidecar) })
	return slices.Insert(list, i, u)
}

func remove(list []*Upstream, u *Upstream) []*Upstream {
	return slices.DeleteFunc(list, func(other *Upstream) bool { return other == u })
}
