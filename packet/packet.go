// Package packet encodes and decodes what travels between callers, balancers
// and agents: connection IDs (CIDs) that name an agent, the wrapped header that
// carries a caller's datagram between a balancer and an agent, and stateless
// resets.
//
// The package decides nothing and keeps no state besides Keys. Connection IDs
// and headers are encoded and decoded without allocating. Octets from outside
// are untrusted: every decoder returns an error value for malformed, short or
// forged input.
package packet
