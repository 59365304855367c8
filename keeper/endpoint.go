package keeper

import (
	"net/netip"
	"time"

	"dandelionhitch.example/roster"
)

const (
	// _peersPerReply is the number of upstreams of its service that a heartbeat reply
	// lists to an agent.
	_peersPerReply = 3
	// _loadTTL is the time after which a fine load is stale.
	_loadTTL = 5 * HeartbeatInterval
)

// Endpoint is the receiver of the RPC service "Keeper".
type Endpoint struct {
	keeper *Keeper
}

// Heartbeat handles a heartbeat of an agent.
func (e *Endpoint) Heartbeat(request *HeartbeatRequest, reply *HeartbeatReply) error {
	k := e.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.counts.heartbeats++
	if request.Record != nil {
		k.handleOutcome(k.roster.Announce(now, *request.Record))
	}
	key := roster.UpstreamKey(request.Data)
	reply.Revision = k.self.Revision
	reply.Hosts = uint32(max(0, k.options.hosts()))
	status, known := k.roster.Status(key)
	version := roster.RecordVersion{Incarnation: request.Incarnation, Seq: request.Seq}
	switch {
	case known && (status.Highest > version.Incarnation || status.Ended >= version.Incarnation):
		reply.Highest = status.Highest
		return nil
	case !known || status.Version.Compare(version) < 0:
		reply.NeedRecord = true
		k.watchlist.recordContact(now, key)
		return nil
	}
	k.watchlist.recordContact(now, key)
	k.loads[key] = fineLoad{request.Load, now}
	reply.Suspect = status.Suspect
	u, _ := k.roster.Upstream(key)
	choices := k.choicesFor(u)
	if ChoicesHash(choices) != request.Choices {
		reply.Choices = choices
	}
	if request.WantPeers {
		reply.Peers = k.peersOf(u)
	}
	return nil
}

// Exchange merges the changes that another balancer sends, and replies with those
// that it may lack.
func (e *Endpoint) Exchange(request *ExchangeRequest, reply *ExchangeReply) error {
	k := e.keeper
	from := roster.MemberKey(request.From)
	control := k.answerExchange(from, request, reply)
	k.reportHigherRevision(request.Revision, control)
	return nil
}

// Sync compares the summaries of some buckets with the roster's own, and replies with
// the entries that differ.
func (e *Endpoint) Sync(request *roster.Sync, reply *roster.SyncReply) error {
	k := e.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	*reply = k.roster.AnswerSync(k.now(), *request)
	return nil
}

// Members lists all members, ended ones included.
func (e *Endpoint) Members(_ *MembersRequest, reply *MembersReply) error {
	k := e.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateRevision()
	reply.Members = k.roster.Members()
	return nil
}

// Records lists the upstream at an address, or the upstreams of a service or of all
// services, ended ones included.
func (e *Endpoint) Records(request *RecordsRequest, reply *RecordsReply) error {
	k := e.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if !request.Data.IsValid() {
		reply.Upstreams = k.roster.Upstreams(request.Service)
		return nil
	}
	if u, known := k.roster.UpstreamStatus(roster.UpstreamKey(request.Data)); known {
		reply.Upstreams = []roster.UpstreamStatus{u}
	}
	return nil
}

// answerExchange fills in the reply to an exchange, and returns the control address of
// the calling member, if its record is known.
func (k *Keeper) answerExchange(from roster.Key, request *ExchangeRequest, reply *ExchangeReply) netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.counts.exchanges++
	k.updateRevision()
	push, out := k.roster.AnswerPush(now, from, request.Push)
	k.handleOutcome(out)
	reply.From = k.self.Data
	reply.Revision = k.self.Revision
	reply.Reply = push
	k.recordMemberContact(now, from)
	m, _ := k.roster.Member(from)
	return m.Control
}

// recordMemberContact records that a member other than this balancer was in contact
// with it. The lock is held.
func (k *Keeper) recordMemberContact(now time.Duration, key roster.Key) {
	if key == k.key {
		return
	}
	k.watchlist.recordContact(now, key)
	k.exchangedAt = now
	k.hasExchanged = true
}

// choicesFor returns the members that u may choose its keepers from, best first. The
// lock is held.
func (k *Keeper) choicesFor(u roster.Upstream) []Choice {
	keepers := k.roster.Keepers(u)
	out := make([]Choice, len(keepers))
	for i, m := range keepers {
		out[i] = Choice{Data: m.Data, Control: m.Control}
	}
	return out
}

// peersOf returns upstreams of the same service as u, with their loads. The lock is
// held.
func (k *Keeper) peersOf(u roster.Upstream) []Peer {
	var out []Peer
	for _, other := range k.roster.Peers(u, _peersPerReply) {
		out = append(out, Peer{
			Data: other.Data, Control: other.Control, Place: other.Place,
			Incarnation: other.Incarnation, Load: k.load(other),
		})
	}
	return out
}

// load returns the fine load of an upstream in percent, or the typical load of its
// coarse level if no recent fine load is known. The lock is held.
func (k *Keeper) load(u roster.Upstream) uint8 {
	fine, known := k.loads[roster.UpstreamKey(u.Data)]
	if known && k.now()-fine.at < _loadTTL {
		return fine.percent
	}
	return u.Load.Percent()
}
