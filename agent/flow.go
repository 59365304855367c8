package agent

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"

	"dandelionhitch.example/service"
)

// openFlow is called by QUIC for each connection that it is about to open. An
// error makes QUIC refuse the connection at once.
func (a *Agent) openFlow(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	p, err := a.admitted(info.RemoteAddr)
	if err != nil {
		a.counters.refused.Add(1)
		return nil, err
	}
	p = a.paths.pin(p)
	a.open.Add(1)
	a.flows.Add(1)
	a.counters.admitted.Add(1)
	// The context ends with the connection, also when its handshake fails.
	context.AfterFunc(ctx, func() { a.endFlow(p) })
	return ctx, nil
}

// admitted returns the path of a connection that may open. A packet that comes
// without a valid admission, such as one that answers a Retry, gets one now.
func (a *Agent) admitted(addr net.Addr) (*path, error) {
	switch addr := addr.(type) {
	case *opening:
		if addr.refused {
			return nil, errRefused
		}
		if addr.admission.claim() {
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

func (a *Agent) endFlow(p *path) {
	defer a.open.Done()
	a.paths.unpin(p)
	a.flows.Add(-1)
	a.gate.Release()
	select {
	case a.ended <- struct{}{}:
	default:
	}
}

// balancerFor returns the balancer that a packet on p's path goes through.
func (a *Agent) balancerFor(p *path) netip.AddrPort {
	p = a.paths.current(p)
	now := a.age()
	silence := now - time.Duration(p.heard.Load())
	return choose(p.relay.Load(), *a.relays.usable.Load(), silence, p.nextTurn(now)).addr
}
