package agent

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"dandelionhitch.example/service"
)

// flow is one connection from its admission to its end.
type flow struct {
	agent *Agent
	path  *path
	// shaken says that the handshake has ended well.
	shaken atomic.Bool
}

// flowKey is the key of a connection's *flow in its context.
type flowKey struct{}

// openFlow is called by QUIC for each connection that it is about to open. An
// error makes QUIC refuse the connection at once.
func (a *Agent) openFlow(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	p, err := a.admitted(info.RemoteAddr)
	if err != nil {
		a.counters.refused.Add(1)
		return nil, err
	}
	f := &flow{agent: a, path: a.paths.pin(p)}
	a.open.Add(1)
	a.flows.Add(1)
	a.handshakes.Add(1)
	a.counters.admitted.Add(1)
	// The context ends with the connection, also when its handshake fails.
	context.AfterFunc(ctx, f.end)
	return context.WithValue(ctx, flowKey{}, f), nil
}

// admitted returns the path of a connection that may open. A packet that comes
// without a valid admission, such as one that answers a Retry, gets one now.
func (a *Agent) admitted(addr net.Addr) (*path, error) {
	switch addr := addr.(type) {
	case *opening:
		if addr.admission != nil && addr.admission.claim() {
			return addr.path, nil
		}
		return addr.path, a.admitLate()
	case *path:
		return addr, a.admitLate()
	default:
		return nil, errRefused
	}
}

func (a *Agent) admitLate() error {
	if a.State() != service.Serving || !a.isFresh(a.options.now()) {
		return errRefused
	}
	return a.gate.TryAdmit()
}

// isUnproved tells QUIC to answer with a Retry, so that the caller proves its address.
func (a *Agent) isUnproved(addr net.Addr) bool {
	o, ok := addr.(*opening)
	return ok && o.unproved
}

// shake notes that the handshake has ended well.
func (f *flow) shake() {
	if f.shaken.CompareAndSwap(false, true) {
		f.agent.handshakes.Add(-1)
	}
}

func (f *flow) end() {
	a := f.agent
	defer a.open.Done()
	f.shake()
	a.paths.unpin(f.path)
	a.gate.Release()
	a.flows.Add(-1)
	a.signalEnded()
}

func (a *Agent) signalEnded() {
	select {
	case a.ended <- struct{}{}:
	default:
	}
}

// listener is what the HTTP/3 servers accept connections from.
type listener struct{ *quic.Listener }

// Accept returns the next connection whose handshake has ended well.
func (l listener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.Listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	if f, ok := conn.Context().Value(flowKey{}).(*flow); ok {
		f.shake()
	}
	return conn, nil
}

// balancerFor returns the balancer that a packet on p's path goes through.
func (a *Agent) balancerFor(p *path) netip.AddrPort {
	p = a.paths.current(p)
	now := a.age()
	silence := now - time.Duration(p.heard.Load())
	return choose(p.relay.Load(), *a.relays.usable.Load(), silence, p.nextTurn(now), p.caller.Port()).addr
}
