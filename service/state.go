package service

import "github.com/gravitational/trace"

// State is what an upstream or a balancer says of itself.
type State uint8

// The states, in the order in which a process passes through them.
const (
	// Starting announces itself but takes no new flows yet.
	Starting State = iota + 1
	// Serving takes new flows.
	Serving
	// Draining keeps its flows and takes no new ones.
	Draining
	// Gone has ended; flows that name this incarnation can be reset.
	Gone
)

var _stateNames = map[State]string{
	Starting: "starting",
	Serving:  "serving",
	Draining: "draining",
	Gone:     "gone",
}

// String returns the state's name in settings, logs and status.
func (s State) String() string {
	if name, ok := _stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// MarshalText encodes the state as its name.
func (s State) MarshalText() ([]byte, error) {
	if _, ok := _stateNames[s]; !ok {
		return nil, trace.BadParameter("state %d: not a state", uint8(s))
	}
	return []byte(s.String()), nil
}

// UnmarshalText decodes and checks a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for state, name := range _stateNames {
		if name == string(text) {
			*s = state
			return nil
		}
	}
	return trace.BadParameter("state %q: want starting, serving, draining or gone", text)
}
