package main

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/gravitational/trace"

	"dandelionhitch.example/balancer"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// plan is the layout of a small fleet on loopback: which process has which
// address. Every fleet on a machine has a network of its own, 127.N.0.0/16.
type plan struct {
	network   uint8
	claim     net.PacketConn
	region    service.Region
	places    []service.Place
	services  []plannedService
	balancers []balancerConfig
	hosts     []plannedHost
}

// plannedService is one service of a plan.
type plannedService struct {
	name    service.Name
	id      service.ID
	address netip.AddrPort
	hosts   int
	slots   int
}

// plannedHost is one host of a plan; its upstream's URL is not known yet.
type plannedHost struct {
	config agentConfig
	label  string
}

// Ports of a plan's processes. A service's port is _servicePort plus its id.
const (
	_claimPort   = 7999
	_dataPort    = 7000
	_controlPort = 7001
	_servicePort = 4430
)

// Third octets of a plan's addresses.
const (
	_serviceNet  = 0
	_balancerNet = 1
	_hostNet     = 2
)

// newPlan claims a free network of loopback and lays a fleet out in it.
// Close gives the network back.
func newPlan(region service.Region, places []service.Place, balancers int, services ...plannedService) (*plan, error) {
	p := &plan{region: region, places: places}
	if err := p.claimNetwork(); err != nil {
		return nil, err
	}
	for i, s := range services {
		s.id = service.ID(i + 1)
		s.address = p.address(_serviceNet, i+1, _servicePort+i+1)
		p.services = append(p.services, s)
	}
	for i := range balancers {
		p.balancers = append(p.balancers, p.planBalancer(i))
	}
	for _, s := range p.services {
		for i := range s.hosts {
			p.hosts = append(p.hosts, p.planHost(s, i))
		}
	}
	return p, nil
}

// claimNetwork takes the first network whose claim port is free.
func (p *plan) claimNetwork() error {
	const first, last = 16, 250
	for n := first; n <= last; n++ {
		p.network = uint8(n)
		conn, err := net.ListenPacket("udp4", p.address(0, 0, _claimPort).String())
		if err == nil {
			p.claim = conn
			return nil
		}
	}
	return trace.LimitExceeded("no free network on loopback: 127.%d to 127.%d are all claimed", first, last)
}

// Close gives the network back.
func (p *plan) Close() error { return p.claim.Close() }

func (p *plan) address(third, fourth, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, byte(third), byte(fourth)}), uint16(port))
}

func (p *plan) node(place service.Place, third, fourth int) nodeConfig {
	return nodeConfig{
		region:  p.region,
		place:   place,
		data:    p.address(third, fourth, _dataPort),
		control: p.address(third, fourth, _controlPort),
	}
}

func (p *plan) planBalancer(i int) balancerConfig {
	config := balancerConfig{
		nodeConfig: p.node(p.places[i%len(p.places)], _balancerNet, i+1),
		name:       fmt.Sprintf("balancer-%d", i+1),
	}
	for _, s := range p.services {
		config.listeners = append(config.listeners, balancer.Listener{
			Bind:    netip.AddrPortFrom(config.data.Addr(), s.address.Port()),
			Address: s.address,
		})
	}
	for j := range i {
		config.peers = append(config.peers, p.balancers[j].control)
	}
	return config
}

func (p *plan) planHost(s plannedService, i int) plannedHost {
	host := plannedHost{
		config: agentConfig{
			nodeConfig: p.node(p.places[i%len(p.places)], _hostNet, len(p.hosts)+1),
			service:    s.name,
			weight:     1,
		},
		label: fmt.Sprintf("%s-%d", s.name, i+1),
	}
	for _, b := range p.balancers {
		host.config.peers = append(host.config.peers, b.control)
	}
	return host
}

// balancerAddresses returns where the fabric reaches the balancers.
func (p *plan) balancerAddresses() []netip.Addr {
	out := make([]netip.Addr, 0, len(p.balancers))
	for _, b := range p.balancers {
		out = append(out, b.data.Addr())
	}
	return out
}

// edits returns the settings of the plan's services as edits of an empty tree.
// The limits are set on the region and inherited by the service at each place.
func (p *plan) edits(limits settings.Values) []settings.Edit {
	edits := []settings.Edit{{Path: settings.Path{Region: p.region}, After: &limits}}
	for _, s := range p.services {
		for _, place := range p.places {
			values := settings.Values{
				ID:        &s.id,
				Addresses: []netip.AddrPort{s.address},
				Slots:     &s.slots,
			}
			edits = append(edits, settings.Edit{
				Path:  settings.Path{Region: p.region, Place: place, Name: s.name},
				After: &values,
			})
		}
	}
	return edits
}
