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

// flow is one open connection of a caller, from its admission to its end.
type flow struct {
	agent *Agent
	path  *path
	// handshakeDone is set when the handshake has completed, or at the latest when
	// the connection has ended.
	handshakeDone atomic.Bool
}

// flowKey is the context key under which a connection's context holds its *flow.
type flowKey struct{}

// openFlow is the ConnContext callback of the transport: QUIC calls it for each
// connection that it is about to open, and refuses the connection if openFlow
// returns an error.
func (a *Agent) openFlow(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	p, err := a.admitConnection(info.RemoteAddr)
	if err != nil {
		a.counters.refused.Add(1)
		return nil, err
	}
	f := &flow{agent: a, path: a.paths.pin(p)}
	a.openFlows.Add(1)
	a.flows.Add(1)
	a.handshakes.Add(1)
	a.counters.admitted.Add(1)
	// QUIC cancels the context when the connection ends, also if its handshake fails.
	context.AfterFunc(ctx, f.end)
	return context.WithValue(ctx, flowKey{}, f), nil
}

// admitConnection returns the path of a connection that QUIC may open, or an
// error if the agent or its gate does not admit the flow. A packet without an
// unclaimed admission, such as the Initial that answers a Retry, is admitted here.
func (a *Agent) admitConnection(addr net.Addr) (*path, error) {
	switch addr := addr.(type) {
	case *opening:
		if addr.admission != nil && addr.admission.claim() {
			return addr.path, nil
		}
		return addr.path, a.admitNow()
	case *path:
		return addr, a.admitNow()
	default:
		return nil, errRefused
	}
}

// admitNow asks the gate to admit one more flow if the agent's state permits new flows.
func (a *Agent) admitNow() error {
	if a.State() != service.Serving || !a.keeperAnswered(a.options.now()) {
		return errRefused
	}
	return a.gate.TryAdmit()
}

// needsValidation is the VerifySourceAddress callback of the transport. If it
// returns true, QUIC answers with a Retry to validate the caller's address.
func (a *Agent) needsValidation(addr net.Addr) bool {
	o, ok := addr.(*opening)
	return ok && o.needsValidation
}

// endHandshake removes the flow from the number of flows in their handshake. Only
// the first call has an effect.
func (f *flow) endHandshake() {
	if f.handshakeDone.CompareAndSwap(false, true) {
		f.agent.handshakes.Add(-1)
	}
}

// end frees the resources of the flow. It runs once, after the connection has ended.
func (f *flow) end() {
	a := f.agent
	defer a.openFlows.Done()
	f.endHandshake()
	a.paths.unpin(f.path)
	a.gate.Release()
	a.flows.Add(-1)
	a.signalFlowEnded()
}

// signalFlowEnded wakes up Drain. It does not block.
func (a *Agent) signalFlowEnded() {
	select {
	case a.flowEnded <- struct{}{}:
	default:
	}
}

// listener wraps the QUIC listener for the HTTP/3 servers, to observe completed
// handshakes.
type listener struct{ *quic.Listener }

// Accept returns the next connection whose handshake has completed.
func (l listener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.Listener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	if f, ok := conn.Context().Value(flowKey{}).(*flow); ok {
		f.endHandshake()
	}
	return conn, nil
}

// balancerFor returns the address of the balancer through which a packet to the
// caller of p is sent now.
func (a *Agent) balancerFor(p *path) netip.AddrPort {
	p = a.paths.current(p)
	now := a.age()
	idle := now - time.Duration(p.receivedAt.Load())
	return chooseBalancer(p.balancer.Load(), *a.balancers.usable.Load(), idle, p.attempt(now), p.caller.Port()).addr
}
