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

// _balanceLimit is the flow limit of the service at each place, far above use.
const _balanceLimit = 8000

// _balanceHosts is how many upstreams share the flows.
const _balanceHosts = 7

// BenchmarkImbalance reports max / mean of the open flows of 7 equal upstreams
// behind 3 balancers, and the same for placement by hash alone. The flows come
// at a rate a second, or as fast as they can be opened if it is zero.
func BenchmarkImbalance(b *testing.B) {
	const steady = 10 * _balanceHosts
	for _, c := range []struct{ flows, rate int }{
		{140, steady},
		{700, steady},
		{2800, 2 * steady},
		{700, 5 * steady},
		{700, 10 * steady},
		{140, 0},
		{700, 0},
		{2800, 0},
	} {
		b.Run(fmt.Sprintf("flows=%d/rate=%d", c.flows, c.rate), func(b *testing.B) {
			f := startMeasured(b, _tryBalancers, measuredValues(_balanceLimit, 3),
				plannedService{name: "rutetjeneste", hosts: _balanceHosts, slots: 4})
			o := openFlows(b, f, c.flows, c.rate)
			b.ReportMetric(imbalance(f), "max/mean")
			b.ReportMetric(float64(o.refused), "refusals")
			mean, most := hashOnly(b, f.parts.keys.packet, c.flows)
			b.ReportMetric(mean, "hash-only-max/mean")
			b.ReportMetric(most, "hash-only-worst")
		})
	}
}

func imbalance(f *fleet) float64 {
	counts := make([]int, len(f.agents))
	for i, a := range f.agents {
		counts[i] = a.agent.Flows()
	}
	return maxOverMean(counts)
}

func maxOverMean(counts []int) float64 {
	most, total := 0, 0
	for _, n := range counts {
		most, total = max(most, n), total+n
	}
	return float64(most) * float64(len(counts)) / float64(total)
}

// opener holds open flows.
type opener struct {
	tomb  tomb.Tomb
	fleet *fleet
	jobs  chan struct{}
	mu    sync.Mutex
	flows []*standin.Caller
	// refused counts refusals; a caller that is refused tries again.
	refused int
	errs    []error
}

// openFlows opens flows to the first service, a bounded number at once and at a
// rate a second if it is not zero.
func openFlows(b *testing.B, f *fleet, n, rate int) *opener {
	const workers = 16
	o := &opener{fleet: f, jobs: make(chan struct{}, n)}
	o.tomb.Go(func() error { return o.runPace(n, rate) })
	for range workers {
		o.tomb.Go(o.run)
	}
	assert.NilError(b, o.tomb.Wait())
	b.Cleanup(o.close)
	for i, err := range o.errs {
		b.Logf("not opened (%d of %d): %v", i+1, len(o.errs), err)
		if i == 2 {
			break
		}
	}
	return o
}

func (o *opener) runPace(n, rate int) error {
	defer close(o.jobs)
	for range n {
		if rate > 0 {
			time.Sleep(time.Second / time.Duration(rate))
		}
		o.jobs <- struct{}{}
	}
	return nil
}

func (o *opener) run() error {
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

func (o *opener) open() (flow *standin.Caller, err error) {
	const tries, pause = 100, 100 * time.Millisecond
	s := o.fleet.plan.services[0]
	for range tries {
		ctx, cancel := context.WithTimeout(context.Background(), _flowTimeout)
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

func (o *opener) close() {
	for _, flow := range o.flows {
		flow.Close()
	}
	o.flows = nil
}

// hashOnly places flows with the first candidate of the routing table.
func hashOnly(b *testing.B, keys *packet.Keys, flows int) (mean, worst float64) {
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
			forward, ok := decider.Decide(table, keys, address, initial(random)).(*route.Forward)
			assert.Assert(b, ok)
			counts[index[forward.Ranking.Candidates[0]]]++
		}
		ratio := maxOverMean(counts)
		mean, worst = mean+ratio/draws, max(worst, ratio)
	}
	return mean, worst
}

// initial returns the start of an Initial with a random connection ID.
func initial(random *rand.Rand) []byte {
	const idLen = 8
	datagram := make([]byte, packet.MinInitial)
	copy(datagram, []byte{0xc3, 0, 0, 0, 1, idLen})
	binary.BigEndian.PutUint64(datagram[6:], random.Uint64())
	copy(datagram[6+idLen:], []byte{0, 0, 0x44, 0x80})
	return datagram
}
