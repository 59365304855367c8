package follower

import "dandelionhitch.example/settings"

// Method is the name of the rpc that a Fetch calls.
const Method = "Settings.Fetch"

// FetchRequest asks for settings above a revision.
type FetchRequest struct {
	// Since is the revision in force at the asking process.
	Since settings.Revision `cbor:"1,keyasint"`
	// Path asks for one service only, written as a Path; "" asks for the whole tree.
	Path string `cbor:"2,keyasint,omitempty"`
}

// FetchReply is the answer to a FetchRequest.
type FetchReply struct {
	// Revision is the revision that the answer leads to.
	Revision settings.Revision `cbor:"1,keyasint"`
}

// Endpoint answers other processes out of the document in force.
type Endpoint struct {
	follower *Follower
}

// Fetch answers one request.
func (e *Endpoint) Fetch(request *FetchRequest, reply *FetchReply) error {
	reply.Revision = e.follower.Revision()
	return nil
}
