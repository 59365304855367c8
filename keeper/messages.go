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

// Methods of the rpc service that a keeper offers.
const (
	ServiceName     = "Keeper"
	MethodHeartbeat = ServiceName + ".Heartbeat"
	MethodExchange  = ServiceName + ".Exchange"
	MethodSync      = ServiceName + ".Sync"
	MethodMembers   = ServiceName + ".Members"
	MethodRecords   = ServiceName + ".Records"
)

// Bounds of what a heartbeat's answer may hold.
const (
	_maxPeers   = 16
	_maxChoices = 16
)

// HeartbeatRequest says that an agent is alive.
type HeartbeatRequest struct {
	// Data is the agent's data address, its record's key.
	Data netip.AddrPort `cbor:"1,keyasint"`
	// Incarnation and Seq are the state of its record.
	Incarnation service.Incarnation `cbor:"2,keyasint"`
	Seq         uint64              `cbor:"3,keyasint"`
	// Record is the whole record, where the keeper may lack this state of it.
	Record *roster.Upstream `cbor:"4,keyasint,omitempty"`
	// Load is the fine load in percent of the capacity.
	Load uint8 `cbor:"5,keyasint,omitempty"`
	// Choices is the ChoicesHash of the keepers that the agent knows.
	Choices uint32 `cbor:"6,keyasint,omitempty"`
	// WantPeers asks for upstreams of the same service.
	WantPeers bool `cbor:"7,keyasint,omitempty"`
	// Revision is the settings revision in force at the agent.
	Revision settings.Revision `cbor:"8,keyasint,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// Highest, if not zero, is an incarnation at this address that has ended or
	// is higher than the agent's; the agent must adopt one above it.
	Highest service.Incarnation `cbor:"1,keyasint,omitempty"`
	// Suspect says that the agent is suspected; it refutes that by a higher Seq.
	Suspect bool `cbor:"2,keyasint,omitempty"`
	// NeedRecord asks for the whole record with the next heartbeat.
	NeedRecord bool `cbor:"3,keyasint,omitempty"`
	// Revision is the settings revision in force at the keeper.
	Revision settings.Revision `cbor:"4,keyasint,omitempty"`
	// Choices are the members to choose keepers from, if the agent knows others.
	Choices []Choice `cbor:"5,keyasint,omitempty"`
	// Peers are upstreams of the same service.
	Peers []Peer `cbor:"6,keyasint,omitempty"`
	// Hosts is how many hosts the fleet is expected to have, zero if not known.
	Hosts uint32 `cbor:"7,keyasint,omitempty"`
}

// Choice is a member that may keep an agent.
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
	// Place is where the peer runs.
	Place service.Place `cbor:"3,keyasint"`
	// Incarnation is the peer's run.
	Incarnation service.Incarnation `cbor:"4,keyasint"`
	// Load is the fine load in percent of the capacity, some seconds old.
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
	// Revision is the settings revision in force there.
	Revision settings.Revision `cbor:"2,keyasint,omitempty"`
	Reply    roster.PushReply  `cbor:"3,keyasint"`
}

// MembersRequest asks for all members.
type MembersRequest struct{}

// MembersReply lists all members, ended ones included.
type MembersReply struct {
	Members []roster.MemberStatus `cbor:"1,keyasint,omitempty"`
}

// RecordsRequest asks for the upstreams of a service, or of all if it is zero.
type RecordsRequest struct {
	Service service.ID `cbor:"1,keyasint,omitempty"`
}

// RecordsReply lists upstreams, ended ones included.
type RecordsReply struct {
	Upstreams []roster.UpstreamStatus `cbor:"1,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the message is whole.
func (r *HeartbeatRequest) Validate() error {
	if err := service.CheckAddress("heartbeat", r.Data); err != nil {
		return trace.Wrap(err)
	}
	if r.Incarnation == 0 || r.Seq == 0 {
		return trace.BadParameter("heartbeat of %s: incarnation %d, seq %d: want both from 1", r.Data, r.Incarnation, r.Seq)
	}
	if r.Record == nil {
		return nil
	}
	if r.Record.Data != r.Data || r.Record.Incarnation != r.Incarnation || r.Record.Seq != r.Seq {
		return trace.BadParameter("heartbeat of %s: the record is of another state", r.Data)
	}
	return trace.Wrap(r.Record.Validate())
}

// Validate returns a BadParameter error unless the message is whole.
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

// Validate returns a BadParameter error unless the message is whole.
func (r *ExchangeRequest) Validate() error {
	if err := service.CheckAddress("exchange", r.From); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.Push.Validate())
}

// Validate returns a BadParameter error unless the message is whole.
func (r *ExchangeReply) Validate() error {
	if err := service.CheckAddress("exchange reply", r.From); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.Reply.Validate())
}

// Validate returns a BadParameter error unless the message is whole.
func (r *MembersReply) Validate() error {
	for _, m := range r.Members {
		if err := m.Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Validate returns a BadParameter error unless the message is whole.
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

// ChoicesHash is a hash of a list of keepers, by which a keeper sees whether an
// agent knows the same one. That of an empty list is zero.
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
