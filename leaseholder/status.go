package leaseholder

import (
	"github.com/gravitational/trace"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/settings"
)

// Limits is the net/rpc receiver that reports the state of an agent's limits.
// It is registered on the agent's control server under the name "Limits".
type Limits struct{ leaseholder *Leaseholder }

// NewLimits returns the receiver for one leaseholder.
func NewLimits(l *Leaseholder) *Limits { return &Limits{leaseholder: l} }

// StatusRequest requests the Status of the agent of the service at Path.
type StatusRequest struct {
	Path settings.Path `cbor:"1,keyasint"`
}

// Validate returns a BadParameter error unless Path names a service at a place.
func (r *StatusRequest) Validate() error { return checkPath(r.Path) }

// Status is a snapshot of one agent's share and limits.
type Status struct {
	limit.Snapshot
	Path settings.Path `json:"path" cbor:"20,keyasint"`
	// StoreError is the error of the last call to the platform, empty if it
	// succeeded.
	StoreError string `json:"store_error,omitempty" cbor:"21,keyasint"`
}

// Validate returns a BadParameter error unless the decoded status is valid.
func (s *Status) Validate() error {
	return trace.NewAggregate(checkPath(s.Path), s.Snapshot.Validate())
}

// Status replies with the agent's status. It returns a NotFound error if the agent
// does not serve the requested path.
func (r *Limits) Status(request *StatusRequest, reply *Status) error {
	if request.Path != r.leaseholder.path {
		return trace.NotFound("service %s: this agent serves %s", request.Path, r.leaseholder.path)
	}
	*reply = r.leaseholder.Status()
	return nil
}

// Status returns the current status.
func (l *Leaseholder) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := Status{Snapshot: l.holder.Snapshot(l.now()), Path: l.path}
	if l.storeError != nil {
		status.StoreError = l.storeError.Error()
	}
	return status
}

// checkPath returns a BadParameter error unless path names a service at a place.
func checkPath(path settings.Path) error {
	if _, err := settings.ParsePath(path.String()); err != nil {
		return trace.Wrap(err)
	}
	if !path.IsService() {
		return trace.BadParameter("path %q: want region/place/service", path)
	}
	return nil
}
