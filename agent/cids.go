package agent

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"dandelionhitch.example/packet"
)

// cids issues the connection IDs of one run of an agent. All are sealed under
// the key that was current at its start, because the stateless reset key of the
// QUIC transport cannot change later.
type cids struct {
	keys   *packet.Keys
	number packet.KeyNumber
	// base is what all connection IDs of this run have in common.
	base packet.CID

	mu     sync.Mutex
	sealer packet.Sealer
	nonce  uint32
}

var _ quic.ConnectionIDGenerator = (*cids)(nil)

// GenerateConnectionID returns the next connection ID.
func (c *cids) GenerateConnectionID() (quic.ConnectionID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cid := c.base
	cid.Nonce = c.nonce
	c.nonce = (c.nonce + 1) & packet.MaxNonce
	octets, err := c.sealer.Seal(c.keys, c.number, cid)
	if err != nil {
		return quic.ConnectionID{}, trace.Wrap(err, "issuing a connection ID")
	}
	return quic.ConnectionIDFromBytes(octets[:]), nil
}

// ConnectionIDLen returns the length of all connection IDs in octets.
func (c *cids) ConnectionIDLen() int { return packet.CIDLen }
