package service

import "github.com/gravitational/trace"

// State is the state of an upstream or a balancer, as the process itself reports it.
type State uint8

// The states, in the order in which a process passes through them.
const (
	// Starting means that the process is announced but accepts no new flows yet.
	Starting State = iota + 1
	// Serving means that the process accepts new flows.
	Serving
	// Draining means that the process serves its open flows but accepts no new ones.
	Draining
	// Gone means that the process has ended. Flows of this incarnation can be reset.
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
