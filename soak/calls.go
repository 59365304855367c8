package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// Last bytes of the addresses that callers call. The route of _switchedAddress
// switches between orders and photos while the run is in progress.
const (
	_ordersAddress = iota + 1
	_photosAddress
	_switchedAddress
	// _urgentAddress and _bulkAddress lead to orders with more and less important requests than
	// the other addresses.
	_urgentAddress
	_bulkAddress
)

const (
	_callerCount = 8 // number of IP addresses of callers
	// _target is the target latency of the routes, except those of the overload.
	_target = 200 * time.Millisecond
	// _oldRouteGracePeriod is how long after a change of the configuration a flow may
	// still be opened under the previous one.
	_oldRouteGracePeriod = 30 * time.Second
)

// call is a caller's flow with one request, or several one after the other.
type call struct {
	*standin.OpaqueCall
	// startedAt is when the caller opened the flow.
	startedAt time.Duration
	// name is the text of the first request, and requestsLeft the number of those that follow.
	name         string
	requestsLeft int
	// nextPause is the time from an answer to the next request.
	nextPause time.Duration
	// overload is set if the call is part of the overload at the end of a run.
	overload bool
	// zone is the availability zone of the router that receives the caller's packets.
	zone string
	// service is the service of the upstream that answered, empty until then.
	service string
}

// _readRetryInterval is how long putConfiguration waits after a failed read.
const _readRetryInterval = 20 * time.Millisecond

// serviceAddress returns the address 198.18.0.n:443, which callers call.
func (r *run) serviceAddress(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, n}), 443)
}

// routesTo reports whether the configuration routes the address to the service, or may have
// done so less than _oldRouteGracePeriod ago.
func (r *run) routesTo(address netip.AddrPort, service string) bool {
	switch address {
	case r.serviceAddress(_ordersAddress), r.serviceAddress(_urgentAddress), r.serviceAddress(_bulkAddress):
		return service == _orders
	case r.serviceAddress(_photosAddress):
		return service == _photos
	case r.serviceAddress(_switchedAddress):
		return service == r.switchedService || service == r.unresolvedService || r.now()-r.switchedAt < _oldRouteGracePeriod
	default:
		return false
	}
}

// writeConfiguration writes a configuration to the store that routes _switchedAddress
// to the service.
func (r *run) writeConfiguration(service string) error {
	version := r.configVersion + 1 + uint64(r.random.IntN(5))
	route := func(n byte, service string, priority int, target time.Duration) map[string]any {
		return map[string]any{
			"name": fmt.Sprint("r", n), "vhost": r.serviceAddress(n).Addr().String(), "pathPrefix": "/443/", "service": service,
			"routeKind": "safe", "timeoutMs": _callTimeout.Milliseconds(), "targetLatencyMs": target.Milliseconds(), "priority": priority,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route(_ordersAddress, _orders, 1, _target), route(_photosAddress, _photos, 1, _target), route(_switchedAddress, service, 1, _target),
			route(_urgentAddress, _orders, 0, _overloadTarget), route(_bulkAddress, _orders, 2, _overloadTarget),
		},
		"limits": map[string]any{"idleTimeoutMs": 15_000},
	})
	if err != nil {
		return trace.Wrap(err, "encode configuration")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	objectVersion, err := r.putConfiguration(ctx, value)
	if platform.IsAmbiguous(err) {
		r.unresolvedService = service
		return err // the previous configuration or this one is in force
	}
	if err != nil {
		return err // the store is unavailable; the previous configuration stays in force
	}
	r.unresolvedService = ""
	r.objectVersion, r.configVersion, r.switchedService, r.switchedAt = objectVersion, version, service, r.now()
	return nil
}

// putConfiguration writes a configuration over the last one. After a lost answer it
// repeats the write until the stored object shows whether it took effect. The condition
// on the version lets at most one of the copies do so. The error is ambiguous if ctx ends
// first.
func (r *run) putConfiguration(ctx context.Context, value []byte) (platform.Version, error) {
	if r.unresolvedService != "" {
		if current, err := r.objects.Get(ctx, platform.ConfigurationKey); err == nil {
			r.objectVersion = current.Version
		}
	}
	version, err := r.objects.Put(ctx, platform.ConfigurationKey, value, r.objectVersion)
	for ambiguous := err; platform.IsAmbiguous(ambiguous) && err != nil; {
		current, readErr := r.objects.Get(ctx, platform.ConfigurationKey)
		switch {
		case ctx.Err() != nil:
			return 0, ambiguous
		case readErr == nil && equalJSON(current.Value, value):
			return current.Version, nil
		case readErr == nil:
			version, err = r.objects.Put(ctx, platform.ConfigurationKey, value, r.objectVersion)
		default:
			time.Sleep(_readRetryInterval)
		}
	}
	return version, err
}

// equalJSON reports whether two JSON values are equal. The store may format them
// differently.
func equalJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// listenForCallers opens the callers' sockets, which receive replies.
func (r *run) listenForCallers() error {
	for i := range byte(_callerCount) {
		local := netip.AddrPortFrom(callerAddr(i), r.ports.ingress)
		socket, err := datagram.Listen(local, r.receiveReply)
		if err != nil {
			return err
		}
		r.proxy.sockets = append(r.proxy.sockets, socket)
	}
	return nil
}

func callerAddr(i byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 3, 0, i + 1}) }

// startCall starts a call from the next caller to a random address.
func (r *run) startCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := 1 + byte(r.random.IntN(3))
	if address == _ordersAddress {
		address = []byte{_ordersAddress, _urgentAddress, _bulkAddress}[r.demandRandom.IntN(3)]
	}
	c := r.newCall(address)
	r.drawPause(c)
	r.drawLongLived(c)
	r.begin(c)
}

// newCall returns a call from the next caller to an address.
func (r *run) newCall(address byte) *call {
	n := len(r.calls)
	c := &call{OpaqueCall: &standin.OpaqueCall{
		Key: flow.Key{
			Caller:  netip.AddrPortFrom(callerAddr(byte(n%_callerCount)), uint16(1024+n/_callerCount)),
			Address: r.serviceAddress(address),
		},
		Request: fmt.Sprintf("r%d", n), Timeout: _callTimeout,
	}, zone: _zones[n%len(_zones)], startedAt: r.now()}
	c.name = c.Request
	c.Send = func(packet []byte) { r.routePacket(c, packet) }
	c.OnEnd = func(time.Duration) { r.noteEnd(c) }
	return c
}

// begin starts a call.
func (r *run) begin(c *call) {
	r.calls = append(r.calls, c)
	r.active[c.Key] = c
	c.Start(r.now(), r.random.Uint32())
}

// routePacket sends a caller's packet to the relay that a router of its zone would choose.
func (r *run) routePacket(c *call, packet []byte) {
	var relays []*vm
	for _, v := range r.vms {
		if !v.isHost() {
			relays = append(relays, v)
		}
	}
	if v := standin.Route(relays, c.zone, c.Key); v != nil {
		r.proxy.sender.Send(netip.AddrPortFrom(v.addr, r.ports.ingress), packet)
	}
}

// receiveReply delivers a packet to the call that it belongs to, and checks the promises
// about packets to callers.
func (r *run) receiveReply(packet []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, genuine := standin.DecodeOpaque(packet)
	c := r.active[p.ToCaller()]
	if c == nil {
		return // a late packet of a call that has ended
	}
	previousState := c.State
	c.HandlePacket(r.now(), append([]byte(nil), packet...))
	r.check(_unaltered, !c.Corrupted, "flow %v got a packet that no upstream wrote so", c.Key)
	open := previousState == standin.CallOpen || previousState == standin.CallIdle
	if open && p.Flags.Has(flow.RST) && !genuine {
		holder := r.holder(c.Key)
		r.check(_noReset, holder == nil, "flow %v was reset while %v holds it", c.Key, holder)
	} else if open {
		r.promises[_noReset].Checks++
	}
	if previousState < standin.CallIdle && c.answered() {
		c.service = r.serviceByUpstream[c.Upstream]
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
