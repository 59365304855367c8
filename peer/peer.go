// Package peer defines the messages between relays and sidecars, one per datagram. A relay
// receives callers' packets and offers each new flow to an upstream. A sidecar runs beside an
// upstream and accepts flows for it, refuses them or passes them on to another sidecar.
//
// Messages that carry a caller's packet, and the answers to them, have fixed headers that are
// cheap to encode, since there is one for each packet. Reports are rarer and gain new fields
// over time, so they are CBOR maps with small integer keys. The first byte of a message is its
// kind.
//
//	relay   -> sidecar   Carried: Offer, Carry, Try; Question
//	sidecar -> sidecar   Carried: Offer passed on
//	sidecar -> relay     Verdict
//	sidecar -> relay, sidecars of the same service   UpstreamReport
//	relay   -> relay, sidecar                        RelayReport
//	relay   -> relays of its zone                    Refusal
//	relay, sidecar -> relay, sidecar                 Ask, Part, Defer: configurations
package peer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/flow"
)

// Kind is the kind of a message. Its values are part of the wire format and must not change.
type Kind uint8

// Kinds of messages.
const (
	// KindOffer carries an opening packet. The receiver may accept the flow or not.
	KindOffer Kind = 0xd1 + iota
	// KindCarry carries a packet of a flow that the receiver holds.
	KindCarry
	// KindTry carries a packet of a flow that the receiver's upstream may hold although the
	// receiver does not know the flow. The receiver answers once the upstream has reacted.
	KindTry
	// KindQuestion asks whether the receiver holds a flow.
	KindQuestion
	// KindVerdict answers a carried packet or a question.
	KindVerdict
	// KindUpstream is an UpstreamReport.
	KindUpstream
	// KindRelay is a RelayReport.
	KindRelay
	// KindAsk requests parts of a configuration, KindPart carries one, and KindDefer tells the
	// asker when to ask again.
	KindAsk
	KindPart
	KindDefer
	// KindRefusal is a Refusal.
	KindRefusal
)

// Outcome is the answer to a Carried or a Question.
type Outcome uint8

// Outcomes of carried packets and questions.
const (
	// Accepted means that the opening packet was passed to the upstream.
	Accepted Outcome = 1 + iota
	// Refused means that the opening packet was not passed to the upstream, and that the sidecar
	// knows no other upstream that would accept the flow. The verdict returns the packet.
	Refused
	// Held means that the sidecar's upstream holds the flow.
	Held
	// NotHeld means that the sidecar's upstream does not hold the flow. If the packet was of
	// KindCarry, the verdict returns it.
	NotHeld
	// Unsure means that the sidecar cannot tell whether its upstream holds the flow: the sidecar
	// has been running for less time than the upstream, or the upstream has not yet reacted to a
	// packet of the flow.
	Unsure
	// Ended means that the sidecar has reset the flow instead of passing it to its upstream, since
	// it would have waited too long to be answered in time. The relay must not offer the flow to
	// another sidecar.
	Ended
	// Overloaded is like Refused, but means that the upstream and all other upstreams that
	// the sidecar knows are too busy to answer in time. The verdict returns the packet.
	Overloaded
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	case Held:
		return "held"
	case NotHeld:
		return "not_held"
	case Unsure:
		return "unsure"
	case Ended:
		return "ended"
	case Overloaded:
		return "overloaded"
	default:
		return "unknown"
	}
}

// ServiceID is a hash of a service's name. It stands for the name in fixed headers.
type ServiceID uint64

// NewServiceID returns the ID of the service with the given name.
func NewServiceID(name string) ServiceID { return ServiceID(xxhash.Sum64String(name)) }

// Carried is a caller's packet on its way to an upstream.
type Carried struct {
	Kind Kind
	// Hops is the number of times that a sidecar has passed the offer on to another sidecar.
	Hops uint8
	// LastResort is set if the relay has offered the flow to other upstreams before. The receiver then
	// accepts the flow even if its upstream is so busy that the answer will be late.
	LastResort bool
	// Waited is the time since the relay first received the opening packet, in whole ms, at most
	// _maxWaited.
	Waited time.Duration
	// Origin is the relay that received the packet from the caller.
	Origin netip.Addr
	// Service is the service that the packet is for. It is not checked for KindCarry.
	Service ServiceID
	// Version is the version of the configuration under which Service was chosen.
	Version uint64
	// Packet is the caller's packet, unchanged. It aliases the datagram.
	Packet []byte
}

// Sizes of fixed headers, in bytes.
const (
	_carriedSize  = 2 + 2 + 4 + 8 + 8
	_verdictSize  = 2 + 4 + 12 + 2 + 2 + 8
	_questionSize = 1 + 4 + 12 + 4
	_keySize      = 12
)

// _maxWaited is the maximum of Carried.Waited. Callers give up on a flow long before that.
const _maxWaited = time.Minute

// _lastResortBit is the bit that encodes Carried.LastResort in the byte of Carried.Hops.
const _lastResortBit = 0x80

// Append appends the message to b.
func (c Carried) Append(b []byte) []byte {
	origin := c.Origin.As4()
	hops := c.Hops
	if c.LastResort {
		hops |= _lastResortBit
	}
	b = append(b, byte(c.Kind), hops)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(c.Waited, 0), _maxWaited)/time.Millisecond))
	b = append(b, origin[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(c.Service))
	b = binary.BigEndian.AppendUint64(b, c.Version)
	return append(b, c.Packet...)
}

// DecodeCarried decodes a message of KindOffer, KindCarry or KindTry.
func DecodeCarried(b []byte) (Carried, error) {
	if len(b) <= _carriedSize {
		return Carried{}, trace.BadParameter("carried packet: message of %d bytes is too short", len(b))
	}
	waited := time.Duration(binary.BigEndian.Uint16(b[2:])) * time.Millisecond
	if waited > _maxWaited {
		return Carried{}, trace.BadParameter("carried packet: waited %v, more than %v", waited, _maxWaited)
	}
	return Carried{
		Kind:       Kind(b[0]),
		Hops:       b[1] &^ _lastResortBit,
		LastResort: b[1]&_lastResortBit != 0,
		Waited:     waited,
		Origin:     netip.AddrFrom4([4]byte(b[4:8])),
		Service:    ServiceID(binary.BigEndian.Uint64(b[8:])),
		Version:    binary.BigEndian.Uint64(b[16:]),
		Packet:     b[_carriedSize:],
	}, nil
}

// Verdict is a sidecar's answer to a Carried or a Question.
type Verdict struct {
	Outcome Outcome
	// Sidecar is the process that answers.
	Sidecar netip.Addr
	Flow    flow.Key
	// Busy and Slots are the load of the upstream, as in UpstreamReport.
	Busy, Slots uint16
	// Version is the version of the configuration in force at the sidecar.
	Version uint64
	// Packet is the caller's packet if the outcome returns it, and empty otherwise. It
	// aliases the datagram.
	Packet []byte
}

// Append appends the message to b.
func (v Verdict) Append(b []byte) []byte {
	sidecar := v.Sidecar.As4()
	b = append(b, byte(KindVerdict), byte(v.Outcome))
	b = append(b, sidecar[:]...)
	b = appendKey(b, v.Flow)
	b = binary.BigEndian.AppendUint16(b, v.Busy)
	b = binary.BigEndian.AppendUint16(b, v.Slots)
	b = binary.BigEndian.AppendUint64(b, v.Version)
	return append(b, v.Packet...)
}

// DecodeVerdict decodes a message of KindVerdict.
func DecodeVerdict(b []byte) (Verdict, error) {
	if len(b) < _verdictSize {
		return Verdict{}, trace.BadParameter("verdict: message of %d bytes is too short", len(b))
	}
	v := Verdict{
		Outcome: Outcome(b[1]),
		Sidecar: netip.AddrFrom4([4]byte(b[2:6])),
		Flow:    decodeKey(b[6:]),
		Busy:    binary.BigEndian.Uint16(b[18:]),
		Slots:   binary.BigEndian.Uint16(b[20:]),
		Version: binary.BigEndian.Uint64(b[22:]),
		Packet:  b[_verdictSize:],
	}
	if v.Outcome < Accepted || v.Outcome > Overloaded {
		return Verdict{}, trace.BadParameter("verdict: unknown outcome %d", v.Outcome)
	}
	return v, nil
}

// Question asks a sidecar whether its upstream holds a flow.
type Question struct {
	// Origin is the relay that asks.
	Origin netip.Addr
	Flow   flow.Key
	// Ack is the acknowledgement number of the caller's packet. If copies of an opening packet
	// reached several upstreams, it identifies the upstream whose answer the caller has received.
	Ack uint32
}

// Append appends the message to b.
func (q Question) Append(b []byte) []byte {
	origin := q.Origin.As4()
	b = append(b, byte(KindQuestion))
	b = append(b, origin[:]...)
	b = appendKey(b, q.Flow)
	return binary.BigEndian.AppendUint32(b, q.Ack)
}

// DecodeQuestion decodes a message of KindQuestion.
func DecodeQuestion(b []byte) (Question, error) {
	if len(b) < _questionSize {
		return Question{}, trace.BadParameter("question: message of %d bytes is too short", len(b))
	}
	return Question{
		Origin: netip.AddrFrom4([4]byte(b[1:5])),
		Flow:   decodeKey(b[5:]),
		Ack:    binary.BigEndian.Uint32(b[5+_keySize:]),
	}, nil
}

func appendKey(b []byte, key flow.Key) []byte {
	for _, endpoint := range [...]netip.AddrPort{key.Caller, key.Address} {
		ip := endpoint.Addr().As4()
		b = append(b, ip[:]...)
		b = binary.BigEndian.AppendUint16(b, endpoint.Port())
	}
	return b
}

func decodeKey(b []byte) flow.Key {
	return flow.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[0:4])), binary.BigEndian.Uint16(b[4:])),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[10:])),
	}
}

// State is the state of an upstream, as its sidecar reports it.
type State uint8

// States of an upstream, in the order of its life cycle.
const (
	// Absent means that the sidecar knows no upstream.
	Absent State = iota
	// Ready means that the upstream accepts new flows.
	Ready
	// Suspect means that the upstream does not answer.
	Suspect
	// Draining means that the upstream keeps its flows but accepts no new ones.
	Draining
	// Gone means that the upstream has ended.
	Gone
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"absent", "ready", "suspect", "draining", "gone"}[min(s, Gone)]
}

// UpstreamReport is the report of a sidecar on its upstream. It is sent to relays and to
// the other sidecars of the upstream's service.
type UpstreamReport struct {
	Sidecar     netip.Addr `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	Service  string `cbor:"4,keyasint"`
	Zone     string `cbor:"5,keyasint"`
	State    State  `cbor:"6,keyasint"`
	// Busy is the number of requests in progress at the upstream plus the new flows that wait
	// for it and are not late.
	Busy uint16 `cbor:"7,keyasint"`
	// Slots is how many requests the upstream works on at a time, at its present speed.
	Slots uint16 `cbor:"8,keyasint"`
	// Version is the version of the configuration in force at the sidecar.
	Version uint64 `cbor:"9,keyasint"`
	// Late is the number of new flows that wait at the sidecar and have waited too long to meet
	// their target latency. Busy does not include them.
	Late uint16 `cbor:"10,keyasint,omitempty"`
	// RunTime is the mean duration of a request in units of RunTimeUnit, or zero if it is not
	// known.
	RunTime uint16 `cbor:"11,keyasint,omitempty"`
	// EarlyPercent is the percentage of answers that arrive much earlier than is usual at the other
	// upstreams of the service, which is a sign of failing requests.
	EarlyPercent uint8 `cbor:"12,keyasint,omitempty"`
	// NoRoomFrom is one more than the smallest priority number for whose new flows the upstream
	// has no capacity, or zero if it has capacity for all or that is not known.
	NoRoomFrom uint8 `cbor:"13,keyasint,omitempty"`
	// Slowdown is the run time of the upstream in percent of the median of its peers, or zero if
	// it is not known.
	Slowdown uint16 `cbor:"14,keyasint,omitempty"`
}

// RunTimeUnit is the unit of UpstreamReport.RunTime.
const RunTimeUnit = 100 * time.Microsecond

// RelayReport is the report of a relay. It is sent to relays and sidecars.
type RelayReport struct {
	Relay       netip.Addr `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Sequence    uint64     `cbor:"3,keyasint"`
	// Leaving is set once the relay is shutting down.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Version is the version of the configuration in force at the relay.
	Version uint64 `cbor:"5,keyasint"`
	// Relays are other relays from which the sender has received reports.
	Relays []netip.Addr `cbor:"6,keyasint,omitempty"`
	// Sidecars are sidecars from which the sender has received reports: in a report to a sidecar
	// those of its service, in a report to a relay those of all services.
	Sidecars []netip.Addr `cbor:"7,keyasint,omitempty"`
	// SidecarCount is the number of sidecars from which the sender has received reports. Sidecars derive
	// the interval of their reports from it.
	SidecarCount uint32 `cbor:"8,keyasint"`
	// ReadAge is the time in ms since the configuration was last read from the store, by the
	// sender or by a relay from which it has received reports.
	ReadAge uint32 `cbor:"9,keyasint"`
	// AttemptAge is one more than the time in ms since the last attempt of these relays to read the
	// configuration, successful or not. It is zero if no attempt is known.
	AttemptAge uint32 `cbor:"10,keyasint,omitempty"`
	// Zone is the zone of the relay. It is set in reports that name other processes.
	Zone string `cbor:"11,keyasint,omitempty"`
	// EvacuationVersion and EvacuatedZones are the set of evacuated zones that the sender
	// has in force. The revision is zero if it knows none.
	EvacuationVersion uint64   `cbor:"12,keyasint,omitempty"`
	EvacuatedZones    []string `cbor:"13,keyasint,omitempty"`
	// StoreEpoch is one more than the highest epoch of the store that the sender knows. It is
	// zero if the sender knows none, or is of a build that does not distinguish epochs.
	StoreEpoch uint32 `cbor:"14,keyasint,omitempty"`
}

// Evacuations returns the set of evacuated zones in the report.
func (r RelayReport) Evacuations() (evacuation.Set, error) {
	if r.EvacuationVersion == 0 {
		return evacuation.Set{}, nil
	}
	return evacuation.New(r.EvacuationVersion, r.EvacuatedZones)
}

// WithEvacuations returns the report with the given set of evacuated zones.
func (r RelayReport) WithEvacuations(set evacuation.Set) RelayReport {
	r.EvacuationVersion, r.EvacuatedZones = set.Version(), set.Zones()
	return r
}

// AppendUpstream appends an encoded upstream report to b.
func AppendUpstream(b []byte, r UpstreamReport) ([]byte, error) {
	return appendReport(b, KindUpstream, r)
}

// AppendRelay appends an encoded relay report to b.
func AppendRelay(b []byte, r RelayReport) ([]byte, error) { return appendReport(b, KindRelay, r) }

func appendReport(b []byte, kind Kind, report any) ([]byte, error) {
	encoded, err := cbor.Marshal(report)
	if err != nil {
		return b, trace.Wrap(err, "encode report")
	}
	return append(append(b, byte(kind)), encoded...), nil
}

// DecodeUpstream decodes a message of KindUpstream.
func DecodeUpstream(b []byte) (UpstreamReport, error) {
	var r UpstreamReport
	if err := cbor.Unmarshal(b[1:], &r); err != nil {
		return r, trace.BadParameter("upstream report: %v", err)
	}
	if !r.Sidecar.Is4() || r.State > Gone {
		return r, trace.BadParameter("upstream report: invalid sidecar %v or state %d", r.Sidecar, r.State)
	}
	return r, nil
}

// DecodeRelay decodes a message of KindRelay.
func DecodeRelay(b []byte) (RelayReport, error) {
	var r RelayReport
	if err := cbor.Unmarshal(b[1:], &r); err != nil {
		return r, trace.BadParameter("relay report: %v", err)
	}
	if !r.Relay.Is4() {
		return r, trace.BadParameter("relay report: invalid relay address %v", r.Relay)
	}
	if _, err := r.Evacuations(); err != nil {
		return r, trace.Wrap(err, "relay report")
	}
	return r, nil
}
