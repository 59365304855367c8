package dispatcher

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// _peerDialTimeout limits both the dial and the TLS handshake of a handover, in
	// case the peer's host is down.
	_peerDialTimeout = 500 * time.Millisecond
	// _peerPingAfterIdle is how long nothing arrives on a connection to a peer
	// before an HTTP/2 ping is sent.
	_peerPingAfterIdle = time.Second
	// _peerPingTimeout is how long the answer to the ping may take.
	_peerPingTimeout = time.Second
)

// NewPeerTransport returns a transport for WithPeers: HTTP/2 over mutual TLS.
// It has a short dial timeout, and closes connections whose ping is not answered,
// because new requests would otherwise still be sent on a dead connection.
func NewPeerTransport(config *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	dialer := &net.Dialer{Timeout: _peerDialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config.Clone(),
		TLSHandshakeTimeout: _peerDialTimeout,
		Protocols:           protocols,
		DisableCompression:  true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: _peerPingAfterIdle,
			PingTimeout:     _peerPingTimeout,
		},
	}
}
