package leaseholder

import (
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/settings"
)

// Limits is the net/rpc receiver that answers how an agent holds its limits.
// It is registered on the agent's control server under the name "Limits".
type Limits struct{ leaseholder *Leaseholder }

// NewLimits returns the receiver for one leaseholder.
func NewLimits(l *Leaseholder) *Limits { return &Limits{leaseholder: l} }

// StatusRequest asks an agent for its Status.
type StatusRequest struct {
	Path settings.Path `cbor:"1,keyasint"`
}

// Validate checks a decoded request.
func (r *StatusRequest) Validate() error { return checkPath(r.Path) }

// Status is one agent's view of its share, at one moment.
type Status struct {
	Path settings.Path `json:"path" cbor:"1,keyasint"`
	Run limit.Run `json:"run" cbor:"2,keyasint"`
	// Revision and the limits are those in force at this agent.
	Revision         settings.Revision `json:"revision" cbor:"3,keyasint"`
	FlowLimit        int               `json:"flow_limit" cbor:"4,keyasint"`
	FlowsPerUpstream int               `json:"flows_per_upstream" cbor:"5,keyasint"`
	// Floor and Leased are flows, of the limit in force.
	Floor  int `json:"floor" cbor:"6,keyasint"`
	Leased int `json:"leased" cbor:"7,keyasint"`
	// Allowed is how many flows may be open now; less than Floor + Leased
	// when the lease lapsed.
	Allowed int `json:"allowed" cbor:"8,keyasint"`
	Open    int `json:"open" cbor:"9,keyasint"`
	// LeaseLeft is how long the leased part may still be used; zero when lapsed.
	LeaseLeft time.Duration `json:"lease_left_ns" cbor:"10,keyasint"`
	Draining  bool          `json:"draining" cbor:"11,keyasint"`
	// Refusals are the counts by reason, of the last RefusalWindow and in all.
	Refusals []RefusalCount `json:"refusals" cbor:"12,keyasint"`
	// StoreError is the last failure of the platform, empty after a success.
	StoreError string `json:"store_error,omitempty" cbor:"13,keyasint"`
}

// RefusalCount counts the refusals for one reason.
type RefusalCount struct {
	Reason limit.Reason `json:"reason" cbor:"1,keyasint"`
	Recent uint64       `json:"recent" cbor:"2,keyasint"`
	Total  uint64       `json:"total" cbor:"3,keyasint"`
}

// Validate checks a decoded status.
func (s *Status) Validate() error { return checkPath(s.Path) }

// Status answers an operator's question.
func (r *Limits) Status(request *StatusRequest, reply *Status) error {
	*reply = r.leaseholder.Status()
	return nil
}

func checkPath(path settings.Path) error {
	if _, err := settings.ParsePath(path.String()); err != nil {
		return trace.Wrap(err)
	}
	if !path.IsService() {
		return trace.BadParameter("path %q: want region/place/service", path)
	}
	return nil
}
