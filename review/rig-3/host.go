package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// host is one lifetime of a host beside a sidecar. It acknowledges every second packet of a
// flow, as the platform's pages say.
type host struct {
	w       *world
	id      string
	service string
	addr    netip.Addr
	born    int64
	// sequence is the number of the last status report.
	sequence int
	state    string
	machine  *standin.OpaqueUpstream
	socket   *datagram.Socket
	up       bool
	packets  map[flow.Key]int
	// runs are the requests that the host began to work on.
	runs []ranRequest
	stop chan struct{}
}

// ranRequest is a request that a host ran, and the address to which it was sent.
type ranRequest struct {
	to   netip.AddrPort
	text string
}

// startHost starts a host. Its first status report has the number firstSequence.
func (w *world) startHost(id, service string, addr netip.Addr, firstSequence int) (*host, error) {
	h := &host{
		w: w, id: id, service: service, addr: addr, born: time.Now().UnixMilli(), sequence: firstSequence - 1, state: "ready",
		packets: make(map[flow.Key]int), stop: make(chan struct{}),
	}
	u := standin.NewOpaqueUpstream(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3)))
	u.Name, u.Slots, u.Queue, u.Size = id, 2, 8, 600
	u.RunTime = func(request string) time.Duration {
		if strings.Contains(request, "long") {
			return 300 * time.Millisecond
		}
		return 15 * time.Millisecond
	}
	u.Send = h.send
	u.OnRun = func(key flow.Key, request string) {
		h.runs = append(h.runs, ranRequest{key.Address, request})
		w.record("request %s to %v runs at %s of %s", request, key.Address, id, service)
	}
	h.machine = u
	var err error
	if h.socket, err = datagram.Listen(netip.AddrPortFrom(addr, w.ports.upstream), h.receive); err != nil {
		return nil, err
	}
	w.mu.Lock()
	h.up = true
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	w.record("host %s of %s starts at %v", id, service, addr)
	w.run(h.reportLoop)
	return h, nil
}

func (h *host) receive(packet []byte) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if h.up {
		if p, ok := standin.DecodeOpaque(packet); ok && len(p.Data) > 0 {
			h.packets[p.FromCaller()]++
		}
		h.machine.HandlePacket(h.w.now(), append([]byte(nil), packet...))
	}
}

// send sends a packet to the sidecar. A bare acknowledgement is sent for every second packet
// with data.
func (h *host) send(packet []byte) {
	p, ok := standin.DecodeOpaque(packet)
	if ok && p.Flags == flow.ACK && len(p.Data) == 0 && h.packets[p.ToCaller()]%2 == 1 {
		return
	}
	h.socket.Send(netip.AddrPortFrom(h.addr, h.w.ports.outbound), packet)
}

// crash ends the host at once: it discards its flows and its socket closes.
func (h *host) crash() {
	h.w.mu.Lock()
	up := h.up
	h.up = false
	h.w.mu.Unlock()
	if up {
		close(h.stop)
		_ = h.socket.Close()
		h.w.record("host %s ends", h.id)
	}
}

// call is an HTTP call of the host to the sidecar beside it.
type call struct {
	method, id, body string
	sequence         int
}

func (h *host) report() call {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.sequence++
	body, err := json.Marshal(map[string]any{
		"service": h.service, "addr": netip.AddrPortFrom(h.addr, h.w.ports.upstream).String(), "zone": "akl-a", "version": "v1", "slots": 2,
		"state": h.state, "coldLeftMs": 0, "sequence": h.sequence, "born": h.born,
	})
	if err != nil {
		panic(err)
	}
	return call{http.MethodPut, h.id, string(body), h.sequence}
}

// deliver sends the call and returns the status, or zero if there was no answer within a second.
func (h *host) deliver(c call) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	target := fmt.Sprintf("http://%v/-/instances/%s", netip.AddrPortFrom(h.addr, h.w.ports.control), c.id)
	request, err := http.NewRequest(c.method, target, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// reportLoop sends the status reports, the first one at once.
func (h *host) reportLoop() {
	ticker := time.NewTicker(h.w.reportEvery)
	defer ticker.Stop()
	for {
		c := h.report()
		status := h.deliver(c)
		if h.lives() {
			h.w.record("host %s reports %s, number %d: %d", h.id, h.state, c.sequence, status)
		}
		select {
		case <-ticker.C:
		case <-h.stop:
			return
		case <-h.w.done:
			return
		}
	}
}

// lives reports whether the host runs.
func (h *host) lives() bool {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.up
}
