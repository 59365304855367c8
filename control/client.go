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

// Client calls servers over pooled connections, one for each address.
type Client struct {
	config   *tls.Config
	options  options
	counters counters
	tomb     tomb.Tomb

	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpoint
}

// NewClient returns a client that presents the configuration's certificate.
// Without a ServerName in the configuration, a server's certificate must name
// its IP address.
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

// Call calls the method of the server at addr and stores the answer in reply,
// which must be a pointer and is left alone unless the call succeeds. The
// context's deadline bounds the call, else the timeout of the options does.
// Errors are *NotSentError, *AnswerLostError or *RemoteError.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	target := reflect.ValueOf(reply)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return &NotSentError{addr, method, trace.BadParameter("reply: want a pointer, not %T", reply)}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.timeout)
		defer cancel()
	}
	// An answer that comes after the call was given up must not reach reply.
	private := reflect.New(target.Type().Elem())
	if err := c.call(ctx, addr, method, args, private.Interface()); err != nil {
		return err
	}
	target.Elem().Set(private.Elem())
	return nil
}

// call makes one attempt, and a second one if a pooled connection turned out
// to be closed before the request was written.
func (c *Client) call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	for {
		link, fresh, err := c.endpoint(addr).connect(ctx)
		if err != nil {
			return &NotSentError{addr, method, err}
		}
		sent, err := link.call(ctx, method, args, reply)
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
		if fresh || !link.broken() {
			return &NotSentError{addr, method, err}
		}
	}
}

// Counters returns what has been sent and received.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Close closes all connections and waits until all is stopped. Calls in flight
// fail.
func (c *Client) Close() error {
	c.tomb.Kill(nil)
	return trace.Wrap(c.tomb.Wait(), "close control client")
}

// loop closes idle connections, and all of them at the end.
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

// closeEndpoints closes the connections that are chosen.
func (c *Client) closeEndpoints(chosen func(*endpoint) bool) {
	var dropped []*endpoint
	c.mu.Lock()
	for addr, e := range c.endpoints {
		if chosen(e) {
			delete(c.endpoints, addr)
			dropped = append(dropped, e)
		}
	}
	c.mu.Unlock()
	for _, e := range dropped {
		e.close()
	}
}
