package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// Addresses that callers call. The flipping one leads to orders and photos by turns.
const (
	_ordersAddress = iota + 1
	_photosAddress
	_flipping
)

const (
	_callers = 8 // addresses of callers
	// _oldRoutes is how long a flow may be opened under an older configuration.
	_oldRoutes = 30 * time.Second
)

// call is a caller's flow with one request.
type call struct {
	*standin.OpaqueCall
	zone string
	// service is the service of the upstream that answered.
	service string
}

func (r *run) address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, n}), 443)
}

// leadsTo reports whether a route of the address has led to the service lately.
func (r *run) leadsTo(address netip.AddrPort, service string) bool {
	switch address {
	case r.address(_ordersAddress):
		return service == _orders
	case r.address(_photosAddress):
		return service == _photos
	case r.address(_flipping):
		return service == r.flip || r.now()-r.flipped < _oldRoutes
	default:
		return false
	}
}

// configure writes a configuration that leads the flipping address to a service.
func (r *run) configure(service string) error {
	version := r.version + 1 + uint64(r.random.IntN(5))
	route := func(n byte, service string) map[string]any {
		return map[string]any{
			"name": fmt.Sprint("r", n), "vhost": r.address(n).Addr().String(), "pathPrefix": "/443/", "service": service,
			"routeKind": "safe", "timeoutMs": _callTimeout.Milliseconds(), "targetLatencyMs": 200, "priority": 1,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route(_ordersAddress, _orders), route(_photosAddress, _photos), route(_flipping, service)},
		"limits":  map[string]any{"idleTimeoutMs": 15_000},
	})
	if err != nil {
		return trace.Wrap(err, "configure")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	object, err := r.client.Put(ctx, platform.ConfigurationKey, value, r.object)
	if platform.IsAmbiguous(err) {
		var now platform.Object
		if now, err = r.client.Get(ctx, platform.ConfigurationKey); err == nil {
			object = now.Version
		}
	}
	if err != nil {
		return err // the store is away: the configuration stays
	}
	r.object, r.version, r.flip, r.flipped = object, version, service, r.now()
	return nil
}

// listenForCallers opens the callers' sockets.
func (r *run) listenForCallers() error {
	for i := range byte(_callers) {
		local := netip.AddrPortFrom(callerAddr(i), r.ports.ingress)
		socket, err := datagram.Listen(local, r.takeReply)
		if err != nil {
			return err
		}
		r.links.sockets = append(r.links.sockets, socket)
	}
	return nil
}

func callerAddr(i byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 3, 0, i + 1}) }

// call starts a call.
func (r *run) call() {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.calls)
	c := &call{OpaqueCall: &standin.OpaqueCall{
		Key: flow.Key{
			Caller:  netip.AddrPortFrom(callerAddr(byte(n%_callers)), uint16(1024+n/_callers)),
			Address: r.address(1 + byte(r.random.IntN(3))),
		},
		Request: fmt.Sprintf("r%d", n), Timeout: _callTimeout,
	}, zone: _zones[n%len(_zones)]}
	c.Send = func(packet []byte) { r.route(c, packet) }
	r.calls = append(r.calls, c)
	r.active[c.Key] = c
	c.Start(r.now(), r.random.Uint32())
}

// route hands a caller's packet to a relay, as routers do.
func (r *run) route(c *call, packet []byte) {
	var relays []*vm
	for _, v := range r.vms {
		if !v.isHost() {
			relays = append(relays, v)
		}
	}
	if v := standin.Route(relays, c.zone, c.Key); v != nil {
		r.links.out.Send(netip.AddrPortFrom(v.addr, r.ports.ingress), packet)
	}
}

// takeReply takes a packet for a caller and checks it.
func (r *run) takeReply(packet []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, genuine := standin.DecodeOpaque(packet)
	c := r.active[p.ToCaller()]
	if c == nil {
		return // a late packet of a call that has ended
	}
	before := c.State
	c.Packet(r.now(), append([]byte(nil), packet...))
	r.check(_unchanged, !c.Forged, "flow %v got a packet that no upstream wrote so", c.Key)
	if before == standin.CallOpen && p.Flags.Has(flow.RST) && !genuine {
		holder := r.holder(c.Key)
		r.check(_flowsKept, holder == nil, "flow %v was reset while %v holds it", c.Key, holder)
	} else if before == standin.CallOpen {
		r.promises[_flowsKept].Checked++
	}
	if before != standin.CallAnswered && c.State == standin.CallAnswered {
		c.service = r.serviceOf(c.By)
	}
}

// holder returns the host whose upstream holds a flow, or nil.
func (r *run) holder(key flow.Key) *vm {
	for _, v := range r.vms {
		if v.upstream != nil && v.upstream.Holds(key) {
			return v
		}
	}
	return nil
}

// serviceOf returns the service of the upstream with a name.
func (r *run) serviceOf(name string) string {
	addr, _, _ := strings.Cut(name, "#")
	for _, v := range r.vms {
		if v.addr.String() == addr {
			return v.service
		}
	}
	return ""
}
