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

// plan is the layout of a small fleet on loopback: the addresses of its processes
// and services. Each fleet on a machine has its own network, 127.N.0.0/16.
type plan struct {
	// network is the second octet of the fleet's addresses.
	network uint8
	// claimConn is a socket that reserves the network while it is open.
	claimConn net.PacketConn
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

// plannedHost is one host of a plan. newPlan leaves the upstream's URL unset.
type plannedHost struct {
	config agentConfig
	label  string
}

// Ports of a plan's processes. The port of a service is _servicePort plus its ID.
const (
	_claimPort   = 7999
	_dataPort    = 7000
	_controlPort = 7001
	_servicePort = 4430
)

// Third octets of a plan's addresses: of services, of balancers, and of hosts.
const (
	_serviceNet  = 0
	_balancerNet = 1
	_hostNet     = 2
)

// newPlan reserves a free loopback network and assigns the fleet's addresses in it.
// Close releases the network.
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

// claimNetwork reserves the first network whose claim port is free.
func (p *plan) claimNetwork() error {
	const first, last = 16, 250
	for n := first; n <= last; n++ {
		p.network = uint8(n)
		conn, err := net.ListenPacket("udp4", p.address(0, 0, _claimPort).String())
		if err == nil {
			p.claimConn = conn
			return nil
		}
	}
	return trace.LimitExceeded("no free network on loopback: 127.%d to 127.%d are all claimed", first, last)
}

// Close releases the network.
func (p *plan) Close() error { return p.claimConn.Close() }

func (p *plan) address(thirdOctet, fourthOctet, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, byte(thirdOctet), byte(fourthOctet)}), uint16(port))
}

func (p *plan) node(place service.Place, thirdOctet, fourthOctet int) nodeConfig {
	return nodeConfig{
		region:  p.region,
		place:   place,
		data:    p.address(thirdOctet, fourthOctet, _dataPort),
		control: p.address(thirdOctet, fourthOctet, _controlPort),
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

// balancerAddresses returns the addresses to which the fabric sends datagrams.
func (p *plan) balancerAddresses() []netip.Addr {
	out := make([]netip.Addr, 0, len(p.balancers))
	for _, b := range p.balancers {
		out = append(out, b.data.Addr())
	}
	return out
}

// edits returns the settings of the plan's services as edits of an empty settings
// tree. The limits are set on the region; the services at each place inherit them.
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
