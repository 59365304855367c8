// Package packet encodes and decodes the packets between callers, balancers and agents:
// QUIC connection IDs (CIDs) that name an agent, the header that wraps a caller's datagram
// between a balancer and an agent, stateless resets, and refusals of new connections.
//
// The package has no state besides Keys. Encoding and decoding connection IDs and headers
// does not allocate. Input is untrusted: every decoder returns an error for malformed,
// short or forged input.
package packet
