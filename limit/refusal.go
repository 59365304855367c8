package limit

import (
	"github.com/gravitational/trace"
)

// Reason is why a flow was refused.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	// Draining: the agent takes no new flows.
	Draining Reason = iota + 1
	// FlowsPerUpstream: the upstream has reached the limit on its open flows.
	FlowsPerUpstream
	// NoShare: the agent has no entry in the Share, or no confirmation of it yet.
	NoShare
	// LeaseLapsed: the floor is in use and the leased part has lapsed.
	LeaseLapsed
	// Flows: the agent's share of the service's flow limit is in use.
	Flows

	_reasonEnd
)

var _reasonNames = [_reasonEnd]string{
	Draining:         "draining",
	FlowsPerUpstream: "flows_per_upstream",
	NoShare:          "no_share",
	LeaseLapsed:      "lease_lapsed",
	Flows:            "flows",
}

// String returns the reason's name in logs, metrics and explanations.
func (r Reason) String() string {
	if r > 0 && r < _reasonEnd {
		return _reasonNames[r]
	}
	return "unknown"
}

// MarshalText encodes the reason as its name.
func (r Reason) MarshalText() ([]byte, error) {
	if r == 0 || r >= _reasonEnd {
		return nil, trace.BadParameter("refusal reason %d is unknown", uint8(r))
	}
	return []byte(r.String()), nil
}

// UnmarshalText decodes a reason's name. It returns a BadParameter error for any
// other text.
func (r *Reason) UnmarshalText(text []byte) error {
	for reason := Draining; reason < _reasonEnd; reason++ {
		if _reasonNames[reason] == string(text) {
			*r = reason
			return nil
		}
	}
	return trace.BadParameter("refusal reason %q is unknown", text)
}

// RefusalError is the error for a flow that was not admitted. TryAdmit returns
// the same pointer for the same Reason and allocates nothing.
type RefusalError struct{ Reason Reason }

// Error describes the refusal.
func (r *RefusalError) Error() string { return "flow refused: " + r.Reason.String() }

var _refusalErrors = [_reasonEnd]*RefusalError{
	Draining:         {Draining},
	FlowsPerUpstream: {FlowsPerUpstream},
	NoShare:          {NoShare},
	LeaseLapsed:      {LeaseLapsed},
	Flows:            {Flows},
}

// Reasons returns all reasons, in the order in which they are checked.
func Reasons() []Reason {
	return []Reason{Draining, FlowsPerUpstream, NoShare, LeaseLapsed, Flows}
}
