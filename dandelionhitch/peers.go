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

// _peerReadTimeout bounds how long a peer may take to send a request's header.
const _peerReadTimeout = 5 * time.Second

// peers tells the dispatcher of the other agents of its service. An agent
// answers its peers over TCP at the IP address and port number of its data
// address, so that a ticket's address is enough to find its issuer.
type peers struct {
	announcer *announcer.Announcer
}

var _ dispatcher.Peers = peers{}

// Peers returns a few other agents that are serving.
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

// Endpoint returns where the agent with the given data address answers peers.
func (p peers) Endpoint(agent netip.AddrPort) (netip.AddrPort, bool) { return agent, true }

// percentOf and levelOf carry a dispatcher's load, 0 to 7, in the percents of
// heartbeats and back without loss.
func percentOf(level int) uint8 { return uint8((level*_percent + _maxLoad - 1) / _maxLoad) }

func levelOf(percent uint8) int { return int(percent) * _maxLoad / _percent }

// newPeerServer answers the other agents of the service.
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
