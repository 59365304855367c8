package follower

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// ServiceName is the net/rpc name under which an Endpoint is registered. Method
// is the net/rpc method that a Fetch calls.
const (
	ServiceName = "Settings"
	FetchMethod = ServiceName + ".Fetch"
)

// _maxShards is the maximum number of shards that a reply may name.
const _maxShards = 1024

// FetchRequest asks for settings newer than a revision, or for one shard of a
// revision that an earlier reply named.
type FetchRequest struct {
	// Since is the revision in force at the requesting process.
	Since settings.Revision `cbor:"1,keyasint,omitempty"`
	// Path restricts the request to one service. It is the text of a
	// settings.Path; empty requests the whole tree.
	Path string `cbor:"2,keyasint,omitempty"`
	// At is the revision of the requested shard.
	At settings.Revision `cbor:"3,keyasint,omitempty"`
	// Shard is the name of the requested shard; empty requests no shard.
	Shard string `cbor:"4,keyasint,omitempty"`
}

// Validate returns a BadParameter error if Path is set but does not name a
// service.
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

// FetchReply answers a FetchRequest. If Revision is newer than the requesting
// process's revision, the reply holds one of: the Changes between the two, the
// names of the Shards to fetch, or the settings of the requested Service. A
// reply to a request for one shard holds its Tree.
type FetchReply struct {
	// Revision is the revision in force at the replying process, or the
	// revision of the requested shard.
	Revision settings.Revision `cbor:"1,keyasint"`
	// Digest is the digest of that revision's tree.
	Digest settings.Digest `cbor:"2,keyasint,omitempty"`
	// Changes are the changes after the request's Since, as a JSON list of
	// audit.Change.
	Changes []byte `cbor:"3,keyasint,omitempty"`
	// Shards are the names of all shards of the tree.
	Shards []string `cbor:"4,keyasint,omitempty"`
	// Tree is the requested shard, as a JSON settings.Tree.
	Tree []byte `cbor:"5,keyasint,omitempty"`
	// Service is the resolved settings of the requested service, as JSON
	// settings.Values; empty if there is no such service.
	Service []byte `cbor:"6,keyasint,omitempty"`
}

// Validate returns a BadParameter error if the reply names too many shards. The
// JSON fields are validated when they are decoded.
func (r *FetchReply) Validate() error {
	if len(r.Shards) > _maxShards {
		return trace.BadParameter("settings reply: %d shards, want up to %d", len(r.Shards), _maxShards)
	}
	return nil
}

// Endpoint is the net/rpc receiver that serves the document in force to other
// processes.
type Endpoint struct {
	follower *Follower
}

// Endpoint returns the net/rpc receiver to register under ServiceName.
func (f *Follower) Endpoint() *Endpoint { return &Endpoint{follower: f} }

// Fetch answers one request. It returns a NotFound error if the requested shard
// or its revision is not available.
func (e *Endpoint) Fetch(request *FetchRequest, reply *FetchReply) error {
	if err := request.Validate(); err != nil {
		return err
	}
	state := e.follower.state()
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

func (s currentState) answerShard(request *FetchRequest, reply *FetchReply) error {
	document, ok := s.documentAt(request.At)
	if !ok {
		return trace.NotFound("settings revision %d is not available", request.At)
	}
	shard, ok := document.Tree().Shards()[request.Shard]
	if !ok {
		return trace.NotFound("settings revision %d has no shard %q", request.At, request.Shard)
	}
	data, err := json.Marshal(shard)
	reply.Revision, reply.Tree = request.At, data
	return trace.Wrap(err, "encode shard")
}

func (s currentState) answerService(request *FetchRequest, reply *FetchReply) error {
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

func (s currentState) answerTree(request *FetchRequest, reply *FetchReply) error {
	reply.Revision = s.document.Revision()
	reply.Digest = s.document.Tree().Digest()
	if changes, ok := s.recent.encodeAfter(request.Since, reply.Revision); ok {
		reply.Changes = changes
		return nil
	}
	reply.Shards = slices.Sorted(maps.Keys(s.document.Tree().Shards()))
	return nil
}
