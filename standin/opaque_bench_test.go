package standin_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/standin"
)

// BenchmarkOpaqueControl runs fleets without calls and reports the control traffic that
// a relay and a sidecar send and receive per second, including 28 bytes of IP and UDP
// headers per message.
func BenchmarkOpaqueControl(b *testing.B) {
	for _, size := range []struct{ relays, hosts, services int }{{7, 10, 2}, {21, 56, 2}, {60, 240, 60}, {120, 480, 120}} {
		b.Run(fmt.Sprintf("relays=%d/hosts=%d", size.relays, size.hosts), func(b *testing.B) {
			for b.Loop() {
				s := standin.NewSimulation(1)
				var relays, hosts []*standin.SimulatedVM
				for i := range size.relays {
					relays = append(relays, s.AddRelay(fmt.Sprint(i%3)))
				}
				for i := range size.hosts {
					hosts = append(hosts, s.AddHost(fmt.Sprint(i%3), fmt.Sprint("service", i%size.services), nil))
				}
				s.SetTable(directory.New(1, 0, nil))
				const settle, span = 20 * time.Second, 40 * time.Second
				s.Run(settle)
				averages := func(vms []*standin.SimulatedVM) (sent, got float64) {
					for _, vm := range vms {
						sent += float64(vm.Sent.Bytes + 28*vm.Sent.Messages)
						got += float64(vm.Received.Bytes + 28*vm.Received.Messages)
					}
					n := float64(len(vms)) * span.Seconds()
					return sent / n, got / n
				}
				relaySentStart, relayGotStart := averages(relays)
				hostSentStart, hostGotStart := averages(hosts)
				s.Run(settle + span)
				relaySentEnd, relayGotEnd := averages(relays)
				hostSentEnd, hostGotEnd := averages(hosts)
				b.ReportMetric(relaySentEnd-relaySentStart, "relay-sent-B/s")
				b.ReportMetric(relayGotEnd-relayGotStart, "relay-got-B/s")
				b.ReportMetric(hostSentEnd-hostSentStart, "sidecar-sent-B/s")
				b.ReportMetric(hostGotEnd-hostGotStart, "sidecar-got-B/s")
			}
		})
	}
}

// BenchmarkAcrossZones runs fleets of four zones without calls while a configuration of
// 2,000 routes replaces one of 100, and reports the traffic between zones by kind of
// message.
func BenchmarkAcrossZones(b *testing.B) {
	for _, size := range []struct{ relays, hosts int }{{10, 20}, {33, 67}, {100, 200}} {
		b.Run(fmt.Sprintf("relays=%d/hosts=%d", size.relays, size.hosts), func(b *testing.B) {
			for b.Loop() {
				s := standin.NewSimulation(1)
				var relays []*standin.SimulatedVM
				for i := range size.relays {
					relays = append(relays, s.AddRelay(fmt.Sprint(i%4)))
				}
				for i := range size.hosts {
					s.AddHost(fmt.Sprint(i%4), fmt.Sprint("service", min(i%5, 1)), nil)
				}
				const settle, span = 10 * time.Second, 20 * time.Second
				s.At(settle+span/2, func() { relays[0].SetTable(largeTable(2, 2000)) })
				s.SetTable(largeTable(1, 100))
				s.Run(settle)
				before := maps.Clone(s.CrossZoneBytesByKind)
				s.Run(settle + span)
				for kind, name := range map[peer.Kind]string{
					peer.KindRelay: "relay-reports", peer.KindUpstream: "load-reports",
					peer.KindAsk: "asks", peer.KindPart: "parts", peer.KindDefer: "defers",
				} {
					b.ReportMetric(float64(s.CrossZoneBytesByKind[kind]-before[kind])/span.Seconds()/1000, name+"-kB/s")
				}
			}
		})
	}
}

// largeTable returns a configuration with the given number of routes, all to one service.
func largeTable(version uint64, routes int) directory.Table {
	list := make([]directory.Route, 0, routes)
	for i := range routes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		list = append(list, directory.Route{Address: address, Shares: []directory.Share{{Service: "service0", Weight: 1}}})
	}
	return directory.New(version, 15*time.Second, list)
}
