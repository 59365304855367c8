package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// router hands the packets of callers to relays: those in rotation or, if fewer than half are,
// all. A flow goes to a relay by its hash modulo their number.
type router struct {
	w      *world
	relays []*process
}

// set replaces the relays that the router knows.
func (r *router) set(relays ...*process) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.relays = relays
}

// probeLoop asks the relays for their readiness twice a second. Two misses take a relay out of
// rotation until it answers with 200 again.
func (r *router) probeLoop() {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.w.done:
			return
		}
		r.w.mu.Lock()
		relays := append([]*process(nil), r.relays...)
		r.w.mu.Unlock()
		for _, p := range relays {
			client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Get("http://" + p.at(r.w.ports.ready) + "/-/ready")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			r.w.mu.Lock()
			was := p.failed < 2
			if ready {
				p.failed = 0
			} else {
				p.failed++
			}
			is := p.failed < 2
			r.w.mu.Unlock()
			if was != is {
				r.w.record("relay %s in rotation: %v", p.name, is)
			}
		}
	}
}

// pick returns the relay for a flow. The caller holds w.mu.
func (r *router) pick(key flow.Key) *process {
	var ready []*process
	for _, p := range r.relays {
		if p.failed < 2 {
			ready = append(ready, p)
		}
	}
	if 2*len(ready) < len(r.relays) {
		ready = r.relays
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[key.Hash()%uint64(len(ready))]
}

// caller is one consumer's flow.
type caller struct {
	standin.OpaqueCall
	name string
	// think is the pause between two requests of a long flow, and nextAt the time of the next one.
	think  time.Duration
	nextAt time.Duration
	number int
	began  time.Duration
}

// stateNames are the words of the record for the states in which a request ends.
var stateNames = map[standin.CallState]string{
	standin.CallIdle: "answered", standin.CallAnswered: "answered", standin.CallReset: "reset", standin.CallTimedOut: "no answer in time",
}

// callers are the consumers. All of their packets pass through the router.
type callers struct {
	w       *world
	addrs   []netip.Addr
	sockets []*datagram.Socket
	flows   map[flow.Key]*caller
	port    uint16
	random  *rand.Rand
	// onReset is called for each reset that arrives at a caller, onEnd for each call that ends.
	onReset func(c *caller, p standin.OpaquePacket, genuine bool)
	onEnd   func(c *caller)
	// nextShort is when the next short flow starts, at an interval; zero for none.
	shortEvery time.Duration
	nextShort  time.Duration
	shortTo    []netip.AddrPort
	count      int
}

func newCallers(w *world, count int) (*callers, error) {
	c := &callers{w: w, flows: make(map[flow.Key]*caller), port: 20000, random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))}
	for i := range count {
		addr := netip.AddrFrom4([4]byte{127, 5, 0, byte(i + 1)})
		s, err := w.listen(netip.AddrPortFrom(addr, w.ports.ingress), c.receive)
		if err != nil {
			return nil, err
		}
		c.addrs, c.sockets = append(c.addrs, addr), append(c.sockets, s)
	}
	return c, nil
}

// open starts a flow to an address. The caller holds w.mu.
func (c *callers) open(to netip.AddrPort, name string, think, timeout time.Duration) *caller {
	c.port++
	i := int(c.port) % len(c.addrs)
	k := &caller{name: name, think: think, began: c.w.now()}
	k.Key = flow.Key{Caller: netip.AddrPortFrom(c.addrs[i], c.port), Address: to}
	k.number = 1
	k.Request, k.LongLived, k.Timeout = fmt.Sprintf("%s-%d", name, k.number), think > 0, timeout
	k.Send = func(packet []byte) {
		if p := c.w.router.pick(k.Key); p != nil {
			c.sockets[i].Send(netip.AddrPortFrom(p.addr, c.w.ports.ingress), packet)
		}
	}
	k.OnEnd = func(now time.Duration) {
		if k.think > 0 {
			k.nextAt = now + k.think
		}
		c.w.record("request %s to %v ends: %s, answered by %q, after %v", k.Request, to, stateNames[k.State], k.Upstream, now-k.Began)
		if c.onEnd != nil {
			c.onEnd(k)
		}
	}
	c.flows[k.Key] = k
	c.w.record("request %s to %v sent by %v", k.Request, to, k.Key.Caller)
	k.Start(c.w.now(), c.random.Uint32())
	return k
}

func (c *callers) receive(packet []byte) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	p, genuine := standin.DecodeOpaque(packet)
	k := c.flows[p.ToCaller()]
	if k == nil {
		return
	}
	if p.Flags.Has(flow.RST) && c.onReset != nil {
		c.onReset(k, p, genuine)
	}
	k.HandlePacket(c.w.now(), append([]byte(nil), packet...))
}

// tick lets the callers act. The caller holds w.mu.
func (c *callers) tick(now time.Duration) {
	for key, k := range c.flows {
		switch {
		case k.Done() && now-k.Ended > 5*time.Second:
			delete(c.flows, key)
			continue
		case k.State == standin.CallIdle && now >= k.nextAt && k.think > 0:
			k.number++
			k.Next(now, fmt.Sprintf("%s-%d", k.name, k.number))
			c.w.record("request %s to %v sent by %v", k.Request, key.Address, key.Caller)
		}
		k.Tick(now)
	}
	for c.shortEvery > 0 && now >= c.nextShort {
		c.nextShort = max(c.nextShort+c.shortEvery, now-time.Second)
		c.count++
		c.open(c.shortTo[c.count%len(c.shortTo)], fmt.Sprintf("q%d", c.count), 0, 1200*time.Millisecond)
	}
}
