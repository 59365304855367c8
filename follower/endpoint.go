package follower

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// Name is the name under which an Endpoint is registered, and Method that of
// the rpc that a Fetch calls.
const (
	Name   = "Settings"
	Method = Name + ".Fetch"
)

// _maxShards bounds the shards that a reply may name.
const _maxShards = 1024

// FetchRequest asks for settings above a revision, or for one shard of a
// revision that an earlier reply named.
type FetchRequest struct {
	// Since is the revision in force at the asking process.
	Since settings.Revision `cbor:"1,keyasint,omitempty"`
	// Path asks for one service only, written as a settings.Path.
	Path string `cbor:"2,keyasint,omitempty"`
	// At is the revision of the wanted shard.
	At settings.Revision `cbor:"3,keyasint,omitempty"`
	// Shard is the name of the wanted shard.
	Shard string `cbor:"4,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the request makes sense.
func (r *FetchRequest) Validate() error {
	if r.Path == "" {
		return nil
	}
	path, err := settings.ParsePath(r.Path)
	if err != nil {
		return err
	}
	if !path.IsService() {
		return trace.BadParameter("path %s: want a service", path)
	}
	return nil
}

// FetchReply is the answer to a FetchRequest. Besides the revision it holds
// what leads there: Changes, the names of Shards to ask for, or the Service;
// nothing if the revision is not above the asking process's.
type FetchReply struct {
	// Revision is the revision in force at the answering process.
	Revision settings.Revision `cbor:"1,keyasint"`
	// Digest is the digest of that revision's tree.
	Digest settings.Digest `cbor:"2,keyasint,omitempty"`
	// Changes are the changes since, as a JSON list of audit.Change.
	Changes []byte `cbor:"3,keyasint,omitempty"`
	// Shards are the names of all shards of the tree.
	Shards []string `cbor:"4,keyasint,omitempty"`
	// Tree is the wanted shard, as a JSON settings.Tree.
	Tree []byte `cbor:"5,keyasint,omitempty"`
	// Service is what is in force for the wanted service, as JSON
	// settings.Values; empty if there is no such service.
	Service []byte `cbor:"6,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the reply makes sense. What it
// carries as JSON checks itself when it is decoded.
func (r *FetchReply) Validate() error {
	if len(r.Shards) > _maxShards {
		return trace.BadParameter("settings reply: %d shards, want up to %d", len(r.Shards), _maxShards)
	}
	return nil
}

// Endpoint answers other processes out of the document in force.
type Endpoint struct {
	follower *Follower
}

// Endpoint returns the receiver to register as the rpc service called Name.
func (f *Follower) Endpoint() *Endpoint { return &Endpoint{follower: f} }

// Fetch answers one request.
func (e *Endpoint) Fetch(request *FetchRequest, reply *FetchReply) error {
	if err := request.Validate(); err != nil {
		return err
	}
	state := e.follower.snapshot()
	switch {
	case request.Shard != "":
		return state.answerShard(request, reply)
	case state.document.Revision() <= request.Since:
		reply.Revision = state.document.Revision()
		return nil
	case request.Path != "":
		return state.answerService(request, reply)
	default:
		return state.answerTree(request, reply)
	}
}

func (s inForce) answerShard(request *FetchRequest, reply *FetchReply) error {
	document, ok := s.at(request.At)
	if !ok {
		return trace.NotFound("settings revision %d is not held", request.At)
	}
	shard, ok := document.Tree().Shards()[request.Shard]
	if !ok {
		return trace.NotFound("settings revision %d has no shard %q", request.At, request.Shard)
	}
	data, err := json.Marshal(shard)
	reply.Revision, reply.Tree = request.At, data
	return trace.Wrap(err, "encode shard")
}

func (s inForce) answerService(request *FetchRequest, reply *FetchReply) error {
	path, err := settings.ParsePath(request.Path)
	if err != nil {
		return err
	}
	reply.Revision = s.document.Revision()
	if _, ok := s.document.Service(path); !ok {
		return nil
	}
	reply.Service, err = json.Marshal(s.document.Tree().Resolve(path))
	return trace.Wrap(err, "encode settings of %s", path)
}

func (s inForce) answerTree(request *FetchRequest, reply *FetchReply) error {
	reply.Revision = s.document.Revision()
	reply.Digest = s.document.Tree().Digest()
	if changes, ok := s.recent.after(request.Since, reply.Revision); ok {
		reply.Changes = changes
		return nil
	}
	reply.Shards = slices.Sorted(maps.Keys(s.document.Tree().Shards()))
	return nil
}
