package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// Client calls methods of servers over pooled connections, one per address. It is
// safe for concurrent use.
type Client struct {
	config   *tls.Config
	options  options
	counters counters
	tomb     tomb.Tomb

	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpoint
}

// NewClient returns a client that presents the configuration's certificate. If
// the configuration has no ServerName, a server's certificate must be valid for
// the IP address that the client dials.
func NewClient(config *tls.Config, opts ...Option) *Client {
	config = config.Clone()
	config.MinVersion = tls.VersionTLS13
	c := &Client{
		config:    config,
		options:   newOptions(opts),
		endpoints: make(map[netip.AddrPort]*endpoint),
	}
	c.counters.observe(c.options.meter, "dandelionhitch.control.client")
	c.tomb.Go(c.loop)
	return c
}

// Call calls the method of the server at addr and stores the response in reply,
// which must be a non-nil pointer and is modified only if the call succeeds. If ctx has no
// deadline, the timeout set by WithTimeout applies. The error is a *NotSentError,
// an *AnswerLostError or a *RemoteError.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	target := reflect.ValueOf(reply)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return &NotSentError{addr, method, trace.BadParameter("reply: want a non-nil pointer, not %T", reply)}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.timeout)
		defer cancel()
	}
	// net/rpc may still decode a response after Call has returned, so it must not
	// decode into reply.
	decoded := reflect.New(target.Type().Elem())
	if err := c.call(ctx, addr, method, args, decoded.Interface()); err != nil {
		return err
	}
	target.Elem().Set(decoded.Elem())
	return nil
}

// call makes the call, and retries it for as long as it gets a pooled connection
// that turns out to be closed before the request was written.
func (c *Client) call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	for {
		conn, dialed, err := c.endpoint(addr).connect(ctx)
		if err != nil {
			return &NotSentError{addr, method, err}
		}
		sent, err := conn.call(ctx, method, args, reply)
		if err == nil {
			return nil
		}
		var remote rpc.ServerError
		if errors.As(err, &remote) {
			return &RemoteError{addr, method, string(remote)}
		}
		if sent {
			return &AnswerLostError{addr, method, err}
		}
		if dialed || !conn.broken() {
			return &NotSentError{addr, method, err}
		}
	}
}

// Counters returns a snapshot of the client's counters.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Close closes all connections and stops the client's goroutine. Calls in flight
// fail.
func (c *Client) Close() error {
	c.tomb.Kill(nil)
	return trace.Wrap(c.tomb.Wait(), "close control client")
}

// loop closes idle connections until the client is closed, then all connections.
func (c *Client) loop() error {
	ticker := time.NewTicker(_idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.closeEndpoints(func(e *endpoint) bool { return time.Since(e.lastUsed) > _clientIdleTimeout })
		case <-c.tomb.Dying():
			c.closeEndpoints(func(*endpoint) bool { return true })
			return nil
		}
	}
}

// endpoint returns the endpoint of addr, creating it if necessary, and marks it as
// used.
func (c *Client) endpoint(addr netip.AddrPort) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[addr]
	if e == nil {
		e = newEndpoint(c, addr)
		c.endpoints[addr] = e
	}
	e.lastUsed = time.Now()
	return e
}

// closeEndpoints removes and closes the endpoints for which match returns true.
func (c *Client) closeEndpoints(match func(*endpoint) bool) {
	var removed []*endpoint
	c.mu.Lock()
	for addr, e := range c.endpoints {
		if match(e) {
			delete(c.endpoints, addr)
			removed = append(removed, e)
		}
	}
	c.mu.Unlock()
	for _, e := range removed {
		e.close()
	}
}
