// Package decision holds what a process decides and believes in a form that can
// be logged, and the log itself.
//
// The cores of relay and sidecar return records instead of logging, so that they
// stay free of I/O. Log writes one JSON line a record. Its volume is bounded by a
// budget for each second, with a smaller one for routine records; what is left
// out is counted in a line of its own. Lines go through a bounded buffer to the
// output, so that an output that blocks never blocks a packet.
package decision

import (
	"fmt"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"dandelionhitch.example/flow"
)

// Action is what was done with a packet of a flow.
type Action string

// Actions.
const (
	// Placed offered a new flow to an upstream.
	Placed Action = "placed"
	// Accepted gave a new flow to the upstream.
	Accepted Action = "accepted"
	// Waits keeps a new flow until the upstream has room.
	Waits Action = "waits"
	// PassedOn offered a new flow to a sidecar with a less loaded upstream.
	PassedOn Action = "passed_on"
	// Refused answered that the upstream takes no new flow.
	Refused Action = "refused"
	// Asked asked sidecars who holds a flow.
	Asked Action = "asked"
	// Found learned who holds a flow.
	Found Action = "found"
	// NotHeld answered that the upstream does not have the flow.
	NotHeld Action = "not_held"
	// Reset ended a flow with a reset to the caller.
	Reset Action = "reset"
	// Dropped dropped a packet.
	Dropped Action = "dropped"
)

// Record is one decision about a flow, with the inputs that decided it.
type Record struct {
	Flow   flow.Key
	Action Action
	Reason string
	// Target is the process that was sent the packet, if any.
	Target netip.Addr
	// Service is the flow's service, if it is known.
	Service string
	// Version is the configuration that decided.
	Version uint64
	// Busy and Slots are the load of the target's upstream as known here.
	Busy, Slots uint16
	// Age is how old the load, or the belief that decided, is.
	Age time.Duration
	// Attempt counts the tries of one packet, from 1.
	Attempt int
	// Routine marks what happens to every healthy flow. Its lines are sampled.
	Routine bool
}

// SettingsSubject is the subject of beliefs about the configuration in force.
const SettingsSubject = "settings"

// Belief is a change of what a process takes for true.
type Belief struct {
	// Subject says what it is about, such as "upstream" or "settings".
	Subject string
	// Name says which one.
	Name     string
	From, To string
	Reason   string
	// Version is the version or sequence of the input that changed it.
	Version uint64
	// Age is how old the belief before was.
	Age time.Duration
}

// NewSettings returns the belief that a configuration is in force, from source.
func NewSettings(from, to uint64, source string) Belief {
	return Belief{
		Subject: SettingsSubject, Name: "routes", From: strconv.FormatUint(from, 10), To: strconv.FormatUint(to, 10),
		Reason: source, Version: to,
	}
}

// _maxStack bounds the stack of a panic in a log line, in bytes.
const _maxStack = 1500

// NewPanic returns the belief that a datagram was lost since its handling panicked.
// It must be called while the panic is recovered.
func NewPanic(cause any) Belief {
	stack := debug.Stack()
	return Belief{
		Subject: "datagram", Name: fmt.Sprint(cause), To: "lost", Reason: "panic: " + string(stack[:min(len(stack), _maxStack)]),
	}
}

// Span is a time that is measured for many flows.
type Span int

// Spans.
const (
	// OfferAnswered is from an offer to the sidecar's answer.
	OfferAnswered Span = iota
	// HolderFound is from the question who holds a flow to the answer.
	HolderFound
	// ConsentGiven is from giving an opening packet to an upstream to its consent.
	ConsentGiven
	// FirstReply is from giving a caller's data to an upstream to its first data.
	FirstReply
	// Spans is the number of spans.
	Spans
)

// String returns the span's name in metrics.
func (s Span) String() string {
	return [...]string{"offer_answered", "holder_found", "consent_given", "first_reply", "unknown"}[min(s, Spans)]
}
