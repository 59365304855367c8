// Command fleet-size shows the fault of case 14 without any disruption in larger fleets. It uses
// the project's own simulation of relays, sidecars, hosts and callers on a virtual clock. Callers
// keep flows open, and relays are added or restarted one after the other, as planned work. It
// prints how many sidecars each such relay did not know 4 s after its start, and the violations
// that the simulation has found: open flows that a relay has reset.
//
//	go run review/14/fleet-size/main.go add|restart RELAYS SIDECARS FLOWS SEED
package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"time"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/standin"
)

var (
	zones   = []string{"a", "b", "c", "d", "e"}
	address = netip.MustParseAddrPort("127.9.0.1:443")
)

// callers are callers with long flows, which pause for up to 6 s between two requests.
type callers struct {
	sim    *standin.Simulation
	random *rand.Rand
	calls  []*standin.OpaqueCall
	next   map[*standin.OpaqueCall]time.Duration
	sent   int
}

func (c *callers) tick() {
	now := c.sim.Now()
	for _, call := range c.calls {
		switch {
		case call.State != standin.CallIdle:
		case c.next[call] == 0:
			c.next[call] = now + time.Duration(c.random.IntN(6000))*time.Millisecond
		case now >= c.next[call]:
			c.next[call] = 0
			c.sent++
			call.Next(now, fmt.Sprintf("%s.%d", call.Request, c.sent))
		}
	}
	c.sim.At(now+50*time.Millisecond, c.tick)
}

func main() {
	if len(os.Args) != 6 {
		fmt.Fprintln(os.Stderr, "usage: fleet-size add|restart RELAYS SIDECARS FLOWS SEED")
		os.Exit(2)
	}
	var numbers [4]int
	for i := range numbers {
		n, err := strconv.Atoi(os.Args[i+2])
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		numbers[i] = n
	}
	play(os.Args[1], numbers[0], numbers[1], numbers[2], uint64(numbers[3]))
}

func play(work string, relayCount, sidecars, flows int, seed uint64) {
	s := standin.NewSimulation(seed)
	c := &callers{sim: s, random: rand.New(rand.NewPCG(seed, 5)), next: make(map[*standin.OpaqueCall]time.Duration)}
	s.SetTable(directory.New(1, 15*time.Second, []directory.Route{
		{Address: address, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
	}))
	var relays []*standin.SimulatedVM
	for i := range relayCount {
		relays = append(relays, s.AddRelay(zones[i%len(zones)]))
	}
	for i := range sidecars {
		s.AddHost(zones[i%len(zones)], "orders", nil)
	}
	s.Run(14 * time.Second)
	for i := range flows {
		caller := netip.AddrFrom4([4]byte{127, 66, byte(i >> 8), byte(i)})
		call := s.CallFrom(caller, zones[i%len(zones)], address, 4*time.Second)
		call.LongLived = true
		c.calls = append(c.calls, call)
		s.Run(s.Now() + time.Millisecond)
	}
	c.tick()
	s.Run(25 * time.Second)
	before := len(s.Violations)
	for i := range 6 {
		vm := relays[i]
		if work == "add" {
			vm = s.AddRelay(zones[i%len(zones)])
		} else {
			vm.Relay.Leave(s.Now())
			s.Run(s.Now() + 1500*time.Millisecond)
			vm.KillProcess()
			s.Run(s.Now() + 300*time.Millisecond)
			vm.StartRelay()
		}
		started := s.Now()
		s.Run(started + 4*time.Second)
		_, known := vm.Relay.Known()
		fmt.Printf("relay %v: %d of %d sidecars not known after 4 s\n", vm.Addr, sidecars-known, sidecars)
		s.Run(started + 6*time.Second)
	}
	s.Run(s.Now() + 6*time.Second)
	fmt.Printf("violations before: %d, after: %d (of %d flows)\n", before, len(s.Violations)-before, flows)
	for _, v := range s.Violations[:min(len(s.Violations), 5)] {
		fmt.Println(v)
	}
}
