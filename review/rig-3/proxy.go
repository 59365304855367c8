package main

import (
	"net/netip"

	"dandelionhitch.example/datagram"
)

// proxy takes the messages that other processes send to a VM, and calls forward for each.
func (w *world) proxy(addr netip.Addr, forward func(from netip.Addr, message []byte)) error {
	s, err := datagram.Listen(netip.AddrPortFrom(addr, w.ports.peer), nil,
		datagram.WithSourceHandler(func(from netip.AddrPort, message []byte) { forward(from.Addr(), message) }))
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sockets = append(w.sockets, s)
	return nil
}
