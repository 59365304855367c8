package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/packet"
	"dandelionhitch.example/route"
	"dandelionhitch.example/standin"
)

// _balanceFlowLimit is the flow limit of the service at each place. It is far above
// the number of flows opened, so that the limit refuses none.
const _balanceFlowLimit = 8000

// _balanceHosts is the number of upstreams that share the flows.
const _balanceHosts = 7

// BenchmarkImbalance reports the ratio of the maximum to the mean number of open flows at 7
// equal upstreams behind 3 balancers. The baseline is this ratio for placement by hash
// alone. Flows open at a rate per second, or as fast as possible if the rate is zero.
func BenchmarkImbalance(b *testing.B) {
	const steadyRate = 10 * _balanceHosts
	for _, c := range []struct{ flows, rate int }{
		{140, steadyRate},
		{700, steadyRate},
		{2800, 2 * steadyRate},
		{700, 5 * steadyRate},
		{700, 10 * steadyRate},
		{140, 0},
		{700, 0},
		{2800, 0},
	} {
		b.Run(fmt.Sprintf("flows=%d/rate=%d", c.flows, c.rate), func(b *testing.B) {
			f := startMeasuredFleet(b, _tryBalancers, measuredValues(_balanceFlowLimit, 3),
				plannedService{name: "rutetjeneste", hosts: _balanceHosts, slots: 4})
			o := openFlows(b, f, c.flows, c.rate)
			b.ReportMetric(imbalance(f), "max/mean")
			b.ReportMetric(float64(o.refused), "refusals")
			mean, worst := hashOnlyImbalance(b, f.resources.keys.packet, c.flows)
			b.ReportMetric(mean, "hash-only-max/mean")
			b.ReportMetric(worst, "hash-only-worst")
		})
	}
}

// imbalance returns max/mean of the open flows of the fleet's agents.
func imbalance(f *fleet) float64 {
	counts := make([]int, len(f.agents))
	for i, a := range f.agents {
		counts[i] = a.agent.Flows()
	}
	return maxOverMean(counts)
}

func maxOverMean(counts []int) float64 {
	highest, total := 0, 0
	for _, n := range counts {
		highest, total = max(highest, n), total+n
	}
	return float64(highest) * float64(len(counts)) / float64(total)
}

// flowOpener opens flows to the first service of a fleet and holds them open.
type flowOpener struct {
	tomb  tomb.Tomb
	fleet *fleet
	// jobs holds one token for each flow to open.
	jobs  chan struct{}
	mu    sync.Mutex
	flows []*standin.Caller
	// refused counts refusals. A refused flow is retried.
	refused int
	errs    []error
}

// openFlows opens n flows to the first service, a bounded number concurrently. It opens
// rate flows per second, or as many as it can if rate is zero.
func openFlows(b *testing.B, f *fleet, n, rate int) *flowOpener {
	const workers = 16
	o := &flowOpener{fleet: f, jobs: make(chan struct{}, n)}
	o.tomb.Go(func() error { return o.runPace(n, rate) })
	for range workers {
		o.tomb.Go(o.run)
	}
	assert.NilError(b, o.tomb.Wait())
	b.Cleanup(o.close)
	for i, err := range o.errs {
		b.Logf("flow not opened (error %d of %d): %v", i+1, len(o.errs), err)
		if i == 2 {
			break
		}
	}
	return o
}

func (o *flowOpener) runPace(n, rate int) error {
	defer close(o.jobs)
	for range n {
		if rate > 0 {
			time.Sleep(time.Second / time.Duration(rate))
		}
		o.jobs <- struct{}{}
	}
	return nil
}

func (o *flowOpener) run() error {
	for range o.jobs {
		flow, err := o.open()
		o.mu.Lock()
		if err == nil {
			o.flows = append(o.flows, flow)
		} else {
			o.errs = append(o.errs, err)
		}
		o.mu.Unlock()
	}
	return nil
}

// open opens one flow. It retries a refused flow up to 100 times.
func (o *flowOpener) open() (flow *standin.Caller, err error) {
	const attempts, pause = 100, 100 * time.Millisecond
	s := o.fleet.plan.services[0]
	for range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), _dialTimeout)
		flow, err = standin.Dial(ctx, s.name, s.address, o.fleet.callerTLS())
		cancel()
		if !standin.IsRefused(err) {
			return flow, err
		}
		o.mu.Lock()
		o.refused++
		o.mu.Unlock()
		time.Sleep(pause)
	}
	return flow, err
}

func (o *flowOpener) close() {
	for _, flow := range o.flows {
		flow.Close()
	}
	o.flows = nil
}

// hashOnlyImbalance returns the mean and the worst max/mean over repeated draws, in which
// each flow goes to the candidate that the routing table ranks first.
func hashOnlyImbalance(b *testing.B, keys *packet.Keys, flows int) (mean, worst float64) {
	const draws = 50
	address := netip.MustParseAddrPort("127.0.0.1:443")
	s := route.Service{ID: 1, Addresses: []netip.AddrPort{address}}
	index := make(map[netip.AddrPort]int)
	for i := range _balanceHosts {
		agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), _dataPort)
		s.Candidates = append(s.Candidates, route.Candidate{Addr: agent, Incarnation: 1, Weight: 1})
		index[agent] = i
	}
	table, err := route.New([]route.Service{s})
	assert.NilError(b, err)
	random := rand.New(rand.NewPCG(1, 1))
	var decider route.Decider
	for range draws {
		counts := make([]int, _balanceHosts)
		for range flows {
			forward, ok := decider.Decide(table, keys, address, initialPacket(random)).(*route.Forward)
			assert.Assert(b, ok)
			counts[index[forward.Ranking.Candidates[0]]]++
		}
		ratio := maxOverMean(counts)
		mean, worst = mean+ratio/draws, max(worst, ratio)
	}
	return mean, worst
}

// initialPacket returns a datagram that begins like a QUIC Initial packet with a random
// destination connection ID.
func initialPacket(random *rand.Rand) []byte {
	const idLen = 8
	datagram := make([]byte, packet.MinInitial)
	copy(datagram, []byte{0xc3, 0, 0, 0, 1, idLen})
	binary.BigEndian.PutUint64(datagram[6:], random.Uint64())
	copy(datagram[6+idLen:], []byte{0, 0, 0x44, 0x80})
	return datagram
}
