package keeper

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Methods of the RPC service of a keeper.
const (
	ServiceName     = "Keeper"
	MethodHeartbeat = ServiceName + ".Heartbeat"
	MethodExchange  = ServiceName + ".Exchange"
	MethodSync      = ServiceName + ".Sync"
	MethodMembers   = ServiceName + ".Members"
	MethodRecords   = ServiceName + ".Records"
)

// Limits of the lists in a heartbeat reply.
const (
	_maxPeers   = 16
	_maxChoices = 16
)

// HeartbeatRequest tells a keeper that an agent is alive.
type HeartbeatRequest struct {
	// Data is the agent's data address, which is the key of its record.
	Data netip.AddrPort `cbor:"1,keyasint"`
	// Incarnation and Seq identify the current state of the agent's record.
	Incarnation service.Incarnation `cbor:"2,keyasint"`
	Seq         uint64              `cbor:"3,keyasint"`
	// Record is the complete record. It is set if the keeper may lack the current state
	// of the record.
	Record *roster.Upstream `cbor:"4,keyasint,omitempty"`
	// Load is the fine load: the agent's current load in percent of its capacity.
	Load uint8 `cbor:"5,keyasint,omitempty"`
	// Choices is the ChoicesHash of the list of Choice that the agent has.
	Choices uint32 `cbor:"6,keyasint,omitempty"`
	// WantPeers requests the Peers of the reply.
	WantPeers bool `cbor:"7,keyasint,omitempty"`
	// Revision is the settings revision in force at the agent.
	Revision settings.Revision `cbor:"8,keyasint,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// Highest is set if the agent's incarnation has ended, or if a higher one is known
	// at the agent's address. It is then the highest known incarnation, and the agent
	// must adopt an even higher one.
	Highest service.Incarnation `cbor:"1,keyasint,omitempty"`
	// Suspect reports that the agent is suspected. The agent refutes the suspicion by
	// announcing a higher Seq.
	Suspect bool `cbor:"2,keyasint,omitempty"`
	// NeedRecord requests the complete record with the next heartbeat.
	NeedRecord bool `cbor:"3,keyasint,omitempty"`
	// Revision is the settings revision in force at the keeper.
	Revision settings.Revision `cbor:"4,keyasint,omitempty"`
	// Choices are the members to choose keepers from, best first. It is empty if the
	// hash in the request shows that the agent has the same list.
	Choices []Choice `cbor:"5,keyasint,omitempty"`
	// Peers are some upstreams of the same service, with their loads.
	Peers []Peer `cbor:"6,keyasint,omitempty"`
	// Hosts is the expected number of hosts of the fleet, or zero if it is unknown.
	Hosts uint32 `cbor:"7,keyasint,omitempty"`
}

// Choice is a member that an agent can choose as a keeper.
type Choice struct {
	Data    netip.AddrPort `cbor:"1,keyasint"`
	Control netip.AddrPort `cbor:"2,keyasint"`
}

// Peer is an upstream of the same service.
type Peer struct {
	// Data is the peer's data address.
	Data netip.AddrPort `cbor:"1,keyasint"`
	// Control is the peer's control address.
	Control netip.AddrPort `cbor:"2,keyasint"`
	// Place is the place that the peer runs in.
	Place service.Place `cbor:"3,keyasint"`
	// Incarnation is the incarnation of the peer's current run.
	Incarnation service.Incarnation `cbor:"4,keyasint"`
	// Load is the fine load in percent of the capacity, at most _loadTTL old, or the
	// typical load of the coarse level if no recent fine load is known.
	Load uint8 `cbor:"5,keyasint,omitempty"`
}

// ExchangeRequest begins an exchange between two balancers.
type ExchangeRequest struct {
	// From is the data address of the calling balancer.
	From netip.AddrPort `cbor:"1,keyasint"`
	// Revision is the settings revision in force at the caller.
	Revision settings.Revision `cbor:"2,keyasint,omitempty"`
	Push     roster.Push       `cbor:"3,keyasint"`
}

// ExchangeReply answers an ExchangeRequest.
type ExchangeReply struct {
	// From is the data address of the answering balancer.
	From netip.AddrPort `cbor:"1,keyasint"`
	// Revision is the settings revision in force at the answering balancer.
	Revision settings.Revision `cbor:"2,keyasint,omitempty"`
	Reply    roster.PushReply  `cbor:"3,keyasint"`
}

// MembersRequest requests the list of all members.
type MembersRequest struct{}

// MembersReply lists all members, ended ones included.
type MembersReply struct {
	Members []roster.MemberStatus `cbor:"1,keyasint,omitempty"`
}

// RecordsRequest requests the upstream at the data address Data, whatever its service. If
// Data is not set, it requests the upstreams of a service, or those of all services if Service
// is zero. Keepers of earlier builds ignore Data.
type RecordsRequest struct {
	Service service.ID     `cbor:"1,keyasint,omitempty"`
	Data    netip.AddrPort `cbor:"2,keyasint,omitzero"`
}

// RecordsReply lists upstreams, ended ones included.
type RecordsReply struct {
	Upstreams []roster.UpstreamStatus `cbor:"1,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the data address, Incarnation and Seq are
// valid, and Record, if set, is valid and repeats these three values.
func (r *HeartbeatRequest) Validate() error {
	if err := service.CheckAddress("heartbeat", r.Data); err != nil {
		return trace.Wrap(err)
	}
	if r.Incarnation == 0 || r.Seq == 0 {
		return trace.BadParameter("heartbeat of %s: incarnation %d, seq %d: want both to be at least 1", r.Data, r.Incarnation, r.Seq)
	}
	if r.Record == nil {
		return nil
	}
	if r.Record.Data != r.Data || r.Record.Incarnation != r.Incarnation || r.Record.Seq != r.Seq {
		return trace.BadParameter("heartbeat of %s: data address, incarnation or seq differs from that of the record", r.Data)
	}
	return trace.Wrap(r.Record.Validate())
}

// Validate returns a BadParameter error unless the lists are within their limits and all
// addresses are valid.
func (r *HeartbeatReply) Validate() error {
	if len(r.Choices) > _maxChoices || len(r.Peers) > _maxPeers {
		return trace.BadParameter("heartbeat reply: %d choices and %d peers, want at most %d and %d",
			len(r.Choices), len(r.Peers), _maxChoices, _maxPeers)
	}
	for _, c := range r.Choices {
		if err := checkAddresses("choice", c.Data, c.Control); err != nil {
			return err
		}
	}
	for _, p := range r.Peers {
		if err := checkAddresses("peer", p.Data, p.Control); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns a BadParameter error unless the sender address and Push are valid.
func (r *ExchangeRequest) Validate() error {
	if err := service.CheckAddress("exchange", r.From); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.Push.Validate())
}

// Validate returns a BadParameter error unless the sender address and Reply are valid.
func (r *ExchangeReply) Validate() error {
	if err := service.CheckAddress("exchange reply", r.From); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.Reply.Validate())
}

// Validate returns a BadParameter error unless all records are valid.
func (r *MembersReply) Validate() error {
	for _, m := range r.Members {
		if err := m.Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Validate returns a BadParameter error unless all records are valid.
func (r *RecordsReply) Validate() error {
	for _, u := range r.Upstreams {
		if err := u.Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func checkAddresses(kind string, data, control netip.AddrPort) error {
	if err := service.CheckAddress(kind, data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(service.CheckAddress(kind, control))
}

// ChoicesHash returns a hash of a list of choices, by which a keeper detects whether an
// agent has the same list. It is zero only for an empty list.
func ChoicesHash(choices []Choice) uint32 {
	if len(choices) == 0 {
		return 0
	}
	var b []byte
	for _, c := range choices {
		ip := c.Control.Addr().Unmap().As4()
		b = append(b, ip[:]...)
		b = binary.BigEndian.AppendUint16(b, c.Control.Port())
	}
	return uint32(xxhash.Sum64(b)) | 1
}
