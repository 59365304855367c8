package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength bounds a run.
const maxLength = 115 * time.Second

func main() {
	program := flag.String("program", "target/dandelionhitch", "the project's program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	scenario := flag.String("scenario", "", "the case to play")
	flag.Parse()
	play, known := map[string]func(*world, bool) error{"stale-consent": playStaleConsent, "clock-back": playClockBack, "moved-route": playMovedRoute, "rolled-fleet": playRolledFleet, "explore": playExplore}[*scenario]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", *scenario)
		os.Exit(2)
	}
	os.Exit(run(*program, *record, play, os.Getenv("TROUBLE") != "0"))
}

// run plays a scenario. It returns 1 if a rule was broken, 0 if all held and 2 if the scenario
// could not run.
func run(program, record string, play func(*world, bool) error, trouble bool) (code int) {
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		w.close() // ends all processes that were started
		os.Exit(2)
	}()
	if err := play(w, trouble); err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	w.locked(func() { code = w.judge(trouble) })
	return code
}

// judge prints the outcome and returns the exit status.
func (w *world) judge(trouble bool) int {
	opened, answered, states := 0, 0, make(map[callerState]int)
	for _, c := range w.callers {
		if c.answered > 0 {
			opened++
		}
		answered += c.answered
		states[c.state]++
	}
	w.note("trouble: %v; %d flows, %d of them with an answer, %d answers, states at the end %v", trouble, len(w.callers), opened, answered, states)
	fmt.Printf("%d flows, %d answers, states at the end %v, broken %d times\n", len(w.callers), answered, states, len(w.violations))
	if opened < len(w.callers)/2 {
		fmt.Fprintln(os.Stderr, "fewer than half of the flows were served")
		return 2
	}
	if len(w.violations) > 0 {
		fmt.Println("first:", w.violations[0])
		return 1
	}
	return 0
}

// Address ranges of the machines and callers; the third byte is the zone.
func relayAddr(zone, n byte) netip.Addr  { return netip.AddrFrom4([4]byte{127, 51, zone, n}) }
func sideAddr(zone, n byte) netip.Addr   { return netip.AddrFrom4([4]byte{127, 52, zone, n}) }
func callerAddr(zone, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 53, zone, n}) }

var zoneNames = []string{"oslo-a", "oslo-b", "oslo-c"}

// build adds the given numbers of relays and hosts in each zone, and addresses of callers.
func (w *world) build(relays, hosts [3]int, callers byte) error {
	for z, zone := range zoneNames {
		for n := range relays[z] {
			if _, err := w.addMachine(fmt.Sprintf("front-%s-%d", zone, n+1), zone, relayAddr(byte(z+1), byte(n+1)), false); err != nil {
				return err
			}
		}
	}
	for z, zone := range zoneNames {
		for n := range hosts[z] {
			if _, err := w.addMachine(fmt.Sprintf("side-%s-%d", zone, n+1), zone, sideAddr(byte(z+1), byte(n+1)), true); err != nil {
				return err
			}
		}
		for n := range callers {
			if err := w.addCallerAddress(callerAddr(byte(z+1), n+1), zone); err != nil {
				return err
			}
		}
	}
	go w.runTicks()
	return nil
}

var routeAddress = netip.MustParseAddrPort("198.18.0.1:443")

// openFlows opens flows of callers of a zone at a steady rate for some time.
func (w *world) openFlows(zone int, perSecond float64, length time.Duration, pause func() time.Duration) {
	w.openFlowsTo(zone, perSecond, []netip.AddrPort{routeAddress}, length, pause)
}

// openFlowsTo opens flows to several addresses in turn.
func (w *world) openFlowsTo(zone int, perSecond float64, to []netip.AddrPort, length time.Duration, pause func() time.Duration) {
	count := int(perSecond * length.Seconds())
	for i := range count {
		w.mu.Lock()
		from := netip.AddrPortFrom(callerAddr(byte(zone+1), byte(i%8)+1), uint16(20_000+i/8))
		w.newCaller(zoneNames[zone], from, to[w.random.IntN(len(to))], pause)
		w.mu.Unlock()
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(time.Duration(float64(time.Second) / perSecond)):
		}
	}
}

// locked calls f with the world's lock held.
func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// rollRelays stops and starts the relays one after the other, as planned.
func (w *world) rollRelays(gap time.Duration) error {
	for _, m := range w.machines {
		if m.side {
			continue
		}
		if err := w.roll(m, gap); err != nil {
			return err
		}
	}
	return nil
}

// roll stops the process of a machine and starts it again, as planned.
func (w *world) roll(m *machine, gap time.Duration) error {
	w.locked(func() { w.note("planned: SIGTERM to %s", m.name) })
	if err := m.termAndRestart(); err != nil {
		return err
	}
	w.locked(func() { w.note("planned: %s is started again", m.name) })
	time.Sleep(gap)
	return nil
}
