package main

import (
	"crypto/rand"
	"os"

	"github.com/gravitational/trace"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/ticket"
)

// keys are the secrets from the key file that balancers and agents share. The packet
// and ticket packages each parse the fields of the file that they need.
type keys struct {
	packet *packet.Keys
	ticket *ticket.Keys
}

// keyFile is the JSON form of keys.
type keyFile struct {
	Current uint8     `json:"current"`
	Keys    []keySpec `json:"keys"`
}

// keySpec is one numbered key. Its parts are base64 in JSON.
type keySpec struct {
	Number uint8  `json:"number"`
	CID    []byte `json:"cid"`
	MAC    []byte `json:"mac"`
	Reset  []byte `json:"reset"`
	Token  []byte `json:"token"`
	Ticket []byte `json:"ticket"`
}

// Lengths of the parts of a key, in bytes.
const (
	_shortKeyBytes = 16
	_longKeyBytes  = 32
)

func readKeys(path string) (keys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return keys{}, trace.Wrap(trace.ConvertSystemError(err), "read keys")
	}
	parsed, err := parseKeys(data)
	return parsed, trace.Wrap(err, "key file %s", path)
}

func parseKeys(data []byte) (keys, error) {
	packetKeys, packetErr := packet.ParseKeys(data)
	ticketKeys, ticketErr := ticket.ParseKeys(data)
	if err := trace.NewAggregate(packetErr, ticketErr); err != nil {
		return keys{}, err
	}
	return keys{packet: packetKeys, ticket: ticketKeys}, nil
}

// newKeySpec returns a random key.
func newKeySpec(number uint8) (keySpec, error) {
	spec := keySpec{
		Number: number,
		CID:    make([]byte, _shortKeyBytes),
		MAC:    make([]byte, _shortKeyBytes),
		Reset:  make([]byte, _longKeyBytes),
		Token:  make([]byte, _longKeyBytes),
		Ticket: make([]byte, _longKeyBytes),
	}
	for _, part := range [][]byte{spec.CID, spec.MAC, spec.Reset, spec.Token, spec.Ticket} {
		if _, err := rand.Read(part); err != nil {
			return keySpec{}, trace.Wrap(err, "generate random key")
		}
	}
	return spec, nil
}
