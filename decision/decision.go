// Package decision defines records of the decisions and state changes of relays and
// sidecars, a rate-limited log for them, and the analysis of such logs.
//
// The cores of relay and sidecar return records instead of logging them, which keeps
// the cores free of I/O. Log writes one JSON line for each record. Each class of lines
// has a budget of lines per second; that of routine decisions is the smallest. The number
// of omitted lines is logged once a second, in the message "lines left out". Writer
// buffers lines, so that a blocked output never delays a packet.
package decision

import (
	"fmt"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/flow"
)

// Action is the action that was taken on a packet of a flow.
type Action string

// Actions.
const (
	// Placed means that a relay offered a new flow to an upstream's sidecar.
	Placed Action = "placed"
	// Accepted means that a sidecar forwarded a new flow to its upstream.
	Accepted Action = "accepted"
	// Waits means that a new flow was queued to wait for a route or for an upstream with
	// free capacity.
	Waits Action = "waits"
	// Held means that a sidecar holds back a request on an open flow for a short time.
	Held Action = "held"
	// PassedOn means that a sidecar offered a new flow to a sidecar whose upstream has less load.
	PassedOn Action = "passed_on"
	// Refused means that a sidecar rejected a new flow.
	Refused Action = "refused"
	// Asked means that a relay asked sidecars which of them holds a flow.
	Asked Action = "asked"
	// Found means that a relay learned which sidecar holds a flow.
	Found Action = "found"
	// Recovered means that a sidecar learned from its upstream of a flow that was opened before
	// the sidecar started.
	Recovered Action = "recovered"
	// NotHeld means that a sidecar answered that its upstream does not hold the flow.
	NotHeld Action = "not_held"
	// Reset means that the flow was ended with a reset to the caller.
	Reset Action = "reset"
	// Dropped means that the packet was dropped.
	Dropped Action = "dropped"
)

// Record is one decision about a flow, with the inputs on which it was based.
type Record struct {
	Flow   flow.Key
	Action Action
	Reason string
	// Target is the process to which the packet was sent, if any.
	Target netip.Addr
	// Service is the flow's service, if it is known.
	Service string
	// Version is the version of the configuration in force at the decision.
	Version uint64
	// Busy and Slots are the used and the total slots of the target's upstream, as
	// known to the process that decided.
	Busy, Slots uint16
	// Age is the age of the load, belief, question or packet on which the decision was based.
	Age time.Duration
	// Attempt numbers the attempts to place one packet, from 1.
	Attempt int
	// Routine marks decisions that are made for every healthy flow. Only a sample of
	// them is logged.
	Routine bool
}

// SettingsSubject is the subject of beliefs about the configuration in force.
const SettingsSubject = "settings"

// IdentitySubject is the subject of beliefs about which upstream is at the address of the
// upstream beside a sidecar. They are logged as warnings, with a budget of their own: they
// tell why a request ran at an upstream of another service, and are rare.
const IdentitySubject = "upstream_identity"

// Belief is a change of a process's view of another process or of its configuration.
type Belief struct {
	// Subject is the kind of the object that the belief is about, such as "upstream"
	// or "settings".
	Subject string
	// Name identifies the object among those of its kind.
	Name string
	// From and To are the object's states before and after the change.
	From, To string
	Reason   string
	// Version is the version or sequence number of the input that caused the change.
	Version uint64
	// Age is the age of the state before the change.
	Age time.Duration
}

// NewSettings returns the belief that a new version of the configuration has come into
// force. The arguments are the previous version, the new version, and the source of the
// new version.
func NewSettings(from, to uint64, source string) Belief {
	return Belief{
		Subject: SettingsSubject, Name: "routes", From: strconv.FormatUint(from, 10), To: strconv.FormatUint(to, 10),
		Reason: source, Version: to,
	}
}

// NewEvacuations returns the belief that the evacuated zones have changed.
func NewEvacuations(from, to evacuation.State, source string) Belief {
	return Belief{Subject: "evacuated_zones", Name: "zones", From: from.String(), To: to.String(), Reason: source, Version: to.Set().Version()}
}

// NewIgnoredEvacuations returns the belief that a set of evacuated zones was not put in
// force because it is older than the one that is.
func NewIgnoredEvacuations(inForce evacuation.State, ignored evacuation.Set, source string) Belief {
	b := NewEvacuations(inForce, inForce, source)
	b.Reason = fmt.Sprintf("%s is older: version %d with %v", source, ignored.Version(), ignored)
	return b
}

// _maxStack limits the stack trace of a panic in a log line, in bytes.
const _maxStack = 1500

// NewPanic returns the belief that a datagram was lost because its handler panicked.
// It must be called from the deferred function that recovers the panic, as it records
// the stack trace.
func NewPanic(cause any) Belief {
	stack := debug.Stack()
	return Belief{
		Subject: "datagram", Name: fmt.Sprint(cause), To: "lost", Reason: "panic: " + string(stack[:min(len(stack), _maxStack)]),
	}
}

// Span identifies a duration that is recorded in a histogram.
type Span int

// Spans.
const (
	// OfferAnswered is the time from an offer to the sidecar's answer.
	OfferAnswered Span = iota
	// HolderFound is the time from a relay's question which sidecar holds a flow to the
	// answer of the sidecar that holds it.
	HolderFound
	// ConsentGiven is the time from forwarding a SYN to an upstream to its SYN with ACK.
	ConsentGiven
	// FirstReply is the time from forwarding a caller's data to an upstream to the
	// upstream's first data.
	FirstReply
	// Spans is the number of spans.
	Spans
)

// String returns the span's name in metrics.
func (s Span) String() string {
	return [...]string{"offer_answered", "holder_found", "consent_given", "first_reply", "unknown"}[min(s, Spans)]
}
