package agent

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"dandelionhitch.example/packet"
)

// cidGenerator issues the connection IDs of one run of an agent. All are sealed
// under the key that was current at the agent's start, because the stateless
// reset key of the QUIC transport cannot change later.
type cidGenerator struct {
	keys      *packet.Keys
	keyNumber packet.KeyNumber
	// base holds the fields that all connection IDs of this run share: all but the nonce.
	base packet.CID

	mu     sync.Mutex
	sealer packet.Sealer
	nonce  uint32
}

var _ quic.ConnectionIDGenerator = (*cidGenerator)(nil)

// GenerateConnectionID returns the next connection ID.
func (g *cidGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cid := g.base
	cid.Nonce = g.nonce
	g.nonce = (g.nonce + 1) & packet.MaxNonce
	octets, err := g.sealer.Seal(g.keys, g.keyNumber, cid)
	if err != nil {
		return quic.ConnectionID{}, trace.Wrap(err, "issuing a connection ID")
	}
	return quic.ConnectionIDFromBytes(octets[:]), nil
}

// ConnectionIDLen returns the fixed length of the connection IDs in octets.
func (g *cidGenerator) ConnectionIDLen() int { return packet.CIDLen }
