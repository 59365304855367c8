package dispatcher

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// _peerDialTimeout bounds how long a hand-over waits for a host that is gone.
	_peerDialTimeout = 500 * time.Millisecond
	// _peerPingAfter is the silence after which a connection to a peer is tested.
	_peerPingAfterIdle = time.Second
	// _peerPingTimeout is how long the answer to that test may take.
	_peerPingTimeout = time.Second
)

// NewPeerTransport returns a transport for WithPeers: HTTP/2 over mutual TLS.
// It gives up soon on hosts that do not answer, and ends connections that have
// gone silent, which new requests would otherwise still be sent on.
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
