package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
)

const (
	// _firstBackoff is the pause after a first failed dial.
	_firstBackoff = 100 * time.Millisecond
	// _maxBackoff bounds the pause between dials to one address.
	_maxBackoff = 5 * time.Second
)

var (
	errBackoff = errors.New("a dial failed a moment ago")
	errClosed  = errors.New("the client is closed")
)

// endpoint is one server's address and the connection to it, if there is one.
type endpoint struct {
	client *Client
	addr   netip.AddrPort
	config *tls.Config
	// lastUsed is guarded by the client's lock.
	lastUsed time.Time

	// lock is held while a connection is chosen or dialled. It is a channel so
	// that waiting for it ends with the call's context.
	lock     chan struct{}
	link     *clientConn
	backoff  *backoff.ExponentialBackOff
	nextDial time.Time
	closed   bool
}

func newEndpoint(client *Client, addr netip.AddrPort) *endpoint {
	config := client.config.Clone()
	if config.ServerName == "" {
		config.ServerName = addr.Addr().String()
	}
	// Sessions are kept for each address: each server has its own ticket keys.
	config.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = _firstBackoff
	pause.MaxInterval = _maxBackoff
	return &endpoint{
		client:  client,
		addr:    addr,
		config:  config,
		lock:    make(chan struct{}, 1),
		backoff: pause,
	}
}

// connect returns the connection and whether it was made by this call.
func (e *endpoint) connect(ctx context.Context) (*clientConn, bool, error) {
	select {
	case e.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, false, trace.Wrap(ctx.Err(), "wait for a connection")
	}
	defer func() { <-e.lock }()
	if e.closed || !e.client.tomb.Alive() {
		return nil, false, errClosed
	}
	if e.link != nil && !e.link.broken() {
		return e.link, false, nil
	}
	if time.Now().Before(e.nextDial) {
		return nil, false, errBackoff
	}
	connected, err := e.dial(ctx)
	if err != nil {
		e.client.counters.dialFailures.Add(1)
		e.nextDial = time.Now().Add(e.backoff.NextBackOff())
		return nil, false, trace.Wrap(err, "dial")
	}
	e.backoff.Reset()
	e.link = connected
	return connected, true, nil
}

func (e *endpoint) dial(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.client.options.timeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", e.addr.String())
	if err != nil {
		return nil, err
	}
	counters := &e.client.counters
	conn := tls.Client(&countedConn{Conn: raw, counters: counters}, e.config)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	counters.handshakes.Add(1)
	if conn.ConnectionState().DidResume {
		counters.resumed.Add(1)
	}
	framer := newFramer(conn, counters, e.client.options)
	l := &clientConn{framer: framer}
	l.rpc = rpc.NewClientWithCodec(&clientConnCodec{clientCodec{framer: framer}, l})
	return l, nil
}

func (e *endpoint) close() {
	e.lock <- struct{}{}
	defer func() { <-e.lock }()
	e.closed = true
	if e.link != nil {
		_ = e.link.rpc.Close()
	}
}

// clientConn is one connection to a server.
type clientConn struct {
	framer *framer
	rpc    *rpc.Client
	closed atomic.Bool
}

// clientConnCodec notes the end of its link, which net/rpc keeps to itself.
type clientConnCodec struct {
	clientCodec
	link *clientConn
}

// ReadResponseHeader reads the next response.
func (c *clientConnCodec) ReadResponseHeader(response *rpc.Response) error {
	err := c.clientCodec.ReadResponseHeader(response)
	if err != nil {
		c.link.closed.Store(true)
	}
	return err
}

// WriteRequest writes one request.
func (c *clientConnCodec) WriteRequest(request *rpc.Request, body any) error {
	err := c.clientCodec.WriteRequest(request, body)
	var broken *writeError
	if errors.As(err, &broken) {
		c.link.closed.Store(true)
	}
	return err
}

func (l *clientConn) broken() bool { return l.closed.Load() }

// call makes one call. It reports whether the request was written whole.
func (l *clientConn) call(ctx context.Context, method string, args, reply any) (bool, error) {
	begun := l.framer.elapsed()
	out := &outgoingRequest{body: args}
	call := l.rpc.Go(method, out, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if errors.Is(call.Error, rpc.ErrShutdown) {
			l.closed.Store(true)
		}
		return out.sent.Load(), call.Error
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.closeIfSilent(begun)
		}
		return out.sent.Load(), ctx.Err()
	}
}

// closeIfSilent closes a connection that brought nothing since begun.
func (l *clientConn) closeIfSilent(begun time.Duration) {
	if time.Duration(l.framer.lastRead.Load()) >= begun || l.closed.Swap(true) {
		return
	}
	l.framer.counters.silent.Add(1)
	_ = l.rpc.Close()
}
