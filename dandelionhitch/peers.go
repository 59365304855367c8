package main

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/announcer"
	"dandelionhitch.example/dispatcher"
)

// _peerReadTimeout bounds how long a peer may take to send the header of a request.
const _peerReadTimeout = 5 * time.Second

// peers implements dispatcher.Peers with the agents that the announcer knows. An
// agent serves its peers on the TCP port with the number of its UDP data port, so
// the data address in a ticket suffices to reach the ticket's issuer.
type peers struct {
	announcer *announcer.Announcer
}

var _ dispatcher.Peers = peers{}

// Peers returns a few other serving agents of the same service.
func (p peers) Peers() []dispatcher.Peer {
	known := p.announcer.Peers()
	out := make([]dispatcher.Peer, 0, len(known))
	for _, peer := range known {
		out = append(out, dispatcher.Peer{
			Address:     peer.Data,
			Incarnation: peer.Incarnation,
			Load:        levelOf(peer.Load),
		})
	}
	return out
}

// Endpoint returns the address at which the agent with the given data address serves its peers.
func (p peers) Endpoint(agent netip.AddrPort) (netip.AddrPort, bool) { return agent, true }

// percentOf converts a dispatcher's load level, 0 to _maxLoad, to the percentage
// that heartbeats carry. It rounds up, so that levelOf returns the same level.
func percentOf(level int) uint8 { return uint8((level*_fullPercent + _maxLoad - 1) / _maxLoad) }

// levelOf converts the percentage in a heartbeat to a dispatcher's load level.
func levelOf(percent uint8) int { return int(percent) * _maxLoad / _fullPercent }

// newPeerServer starts the HTTP server for the other agents of the service.
func newPeerServer(address netip.AddrPort, config *tls.Config, handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen for peers at %s", address)
	}
	return serveHTTP("peers", listener, &http.Server{
		Handler:           handler,
		TLSConfig:         config.Clone(),
		ReadHeaderTimeout: _peerReadTimeout,
	}), nil
}
