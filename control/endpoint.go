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
	// _firstBackoff is the mean backoff after a first failed dial.
	_firstBackoff = 100 * time.Millisecond
	// _maxBackoff bounds the mean backoff between dials to one address.
	_maxBackoff = 5 * time.Second
)

var (
	errBackoff = errors.New("not dialed: in backoff after a failed dial")
	errClosed  = errors.New("client is closed")
)

// endpoint is the address of one server and the client's connection to it, if any.
type endpoint struct {
	client *Client
	addr   netip.AddrPort
	config *tls.Config
	// lastUsed is guarded by the client's lock.
	lastUsed time.Time

	// lock guards the fields below, also during a dial. It is a channel, not a
	// mutex, so that a call that waits for it can end with its context.
	lock     chan struct{}
	conn     *clientConn
	backoff  *backoff.ExponentialBackOff
	nextDial time.Time
	closed   bool
}

func newEndpoint(client *Client, addr netip.AddrPort) *endpoint {
	config := client.config.Clone()
	if config.ServerName == "" {
		config.ServerName = addr.Addr().String()
	}
	// Each server has its own session ticket keys, so each endpoint has its own
	// session cache.
	config.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	dialBackoff := backoff.NewExponentialBackOff()
	dialBackoff.InitialInterval = _firstBackoff
	dialBackoff.MaxInterval = _maxBackoff
	return &endpoint{
		client:  client,
		addr:    addr,
		config:  config,
		lock:    make(chan struct{}, 1),
		backoff: dialBackoff,
	}
}

// connect returns the connection, dialing it if necessary, and whether this call
// dialed it. After a failed dial it returns errBackoff until the backoff has passed.
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
	if e.conn != nil && !e.conn.broken() {
		return e.conn, false, nil
	}
	if time.Now().Before(e.nextDial) {
		return nil, false, errBackoff
	}
	conn, err := e.dial(ctx)
	if err != nil {
		e.client.counters.dialFailures.Add(1)
		e.nextDial = time.Now().Add(e.backoff.NextBackOff())
		return nil, false, trace.Wrap(err, "dial")
	}
	e.backoff.Reset()
	e.conn = conn
	return conn, true, nil
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
	c := &clientConn{framer: framer}
	c.rpc = rpc.NewClientWithCodec(&clientConnCodec{clientCodec{framer: framer}, c})
	return c, nil
}

func (e *endpoint) close() {
	e.lock <- struct{}{}
	defer func() { <-e.lock }()
	e.closed = true
	if e.conn != nil {
		_ = e.conn.rpc.Close()
	}
}

// clientConn is one connection from a client to a server.
type clientConn struct {
	framer *framer
	rpc    *rpc.Client
	closed atomic.Bool
}

// clientConnCodec is a clientCodec that marks its connection as closed after a
// read or write error. net/rpc stops using such a connection but does not expose
// its state.
type clientConnCodec struct {
	clientCodec
	owner *clientConn
}

// ReadResponseHeader reads the next response and decodes its header.
func (c *clientConnCodec) ReadResponseHeader(response *rpc.Response) error {
	err := c.clientCodec.ReadResponseHeader(response)
	if err != nil {
		c.owner.closed.Store(true)
	}
	return err
}

// WriteRequest writes one request, whose body must be an *outgoingRequest.
func (c *clientConnCodec) WriteRequest(request *rpc.Request, body any) error {
	err := c.clientCodec.WriteRequest(request, body)
	var failed *writeError
	if errors.As(err, &failed) {
		c.owner.closed.Store(true)
	}
	return err
}

func (c *clientConn) broken() bool { return c.closed.Load() }

// call makes one call. It also reports whether the complete request was written.
func (c *clientConn) call(ctx context.Context, method string, args, reply any) (bool, error) {
	start := c.framer.elapsed()
	request := &outgoingRequest{body: args}
	call := c.rpc.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if errors.Is(call.Error, rpc.ErrShutdown) {
			c.closed.Store(true)
		}
		return request.sent.Load(), call.Error
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closeIfSilent(start)
		}
		return request.sent.Load(), ctx.Err()
	}
}

// closeIfSilent closes the connection if no frame was received since the given
// time on the framer's clock.
func (c *clientConn) closeIfSilent(since time.Duration) {
	if time.Duration(c.framer.lastRead.Load()) >= since || c.closed.Swap(true) {
		return
	}
	c.framer.counters.silent.Add(1)
	_ = c.rpc.Close()
}
