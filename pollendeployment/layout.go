// Package pollendeployment runs a small but complete system as processes on
// loopback addresses, together with stand-in callers and backend servers. The
// quickstart and tests that need real processes use it.
package pollendeployment

import (
	"fmt"
	"net/netip"
	"strings"

	"pollenstep.example/pollenstep/pollendocument"
)

// A Layout specifies the processes of a system. They are spread over the failure
// domains round-robin.
type Layout struct {
	// Network is the second byte of every address, so that several systems can
	// run concurrently on one machine.
	Network int
	Domains []pollendocument.DomainName
	// Control and Balancers are numbers of processes.
	Control   int
	Balancers int
	Services  []ServiceLayout
}

// A ServiceLayout describes a service and its backend servers.
type ServiceLayout struct {
	Service pollendocument.Service
	Team    pollendocument.Team
	// Agents is the number of agents; each has its own backend server.
	Agents int
}

// Third bytes of the addresses: one block for each kind of endpoint.
const (
	blockControl  = 1
	blockBalancer = 2
	blockAgent    = 3
	blockBackend  = 4
	blockCaller   = 8
	blockService  = 9
)

// Ports. The address, not the port, distinguishes processes of a role.
const (
	portProcess  = 7000
	portAdmin    = 7080
	portAnnounce = 7090
	portBackend  = 8000
)

// address returns 127.NETWORK.block.number.
func (l *Layout) address(block, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(l.Network), byte(block), byte(number)})
}

// ServiceAddress returns the address of the service at an index, counted from 0.
func (l *Layout) ServiceAddress(index int) netip.AddrPort {
	const firstPort = 4430
	return netip.AddrPortFrom(l.address(blockService, 1), uint16(firstPort+index))
}

// ControlAddress returns the address of a control host, counted from 1.
func (l *Layout) ControlAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(l.address(blockControl, number), portProcess)
}

// domain returns the failure domain of a process, counted from 1.
func (l *Layout) domain(number int) pollendocument.DomainName {
	return l.Domains[(number-1)%len(l.Domains)]
}

// controlAddresses returns the addresses of the control hosts as a YAML list.
func (l *Layout) controlAddresses() string {
	addresses := make([]string, 0, l.Control)
	for i := 1; i <= l.Control; i++ {
		addresses = append(addresses, l.ControlAddress(i).String())
	}
	return "[" + strings.Join(addresses, ", ") + "]"
}

// An agentInstance is one agent with its backend server.
type agentInstance struct {
	// number is counted from 1 over all services.
	number  int
	name    string
	domain  pollendocument.DomainName
	service ServiceLayout
}

// agents returns the agents of all services. The first agent of each service is in
// the first failure domain.
func (l *Layout) agents() []agentInstance {
	var instances []agentInstance
	for _, s := range l.Services {
		for i := range s.Agents {
			instances = append(instances, agentInstance{
				number: len(instances) + 1, name: fmt.Sprintf("%s-%d", s.Service.Name, i+1),
				domain: l.domain(i + 1), service: s,
			})
		}
	}
	return instances
}

// Document returns the document of the layout. A failure domain that is not in
// states is in state DomainIn. The sections have the versions of the current
// document, so that a submission does not conflict with it.
func (l *Layout) Document(current *pollendocument.Document, states map[pollendocument.DomainName]pollendocument.DomainState) *pollendocument.Document {
	version := func(team pollendocument.Team) uint64 {
		if s := current.Section(team); s != nil {
			return s.Version
		}
		return 0
	}
	d := &pollendocument.Document{}
	domains := pollendocument.Section{Team: pollendocument.DomainsTeam, Version: version(pollendocument.DomainsTeam)}
	for _, name := range l.Domains {
		state := pollendocument.DomainIn
		if s, ok := states[name]; ok {
			state = s
		}
		domains.Domains = append(domains.Domains, pollendocument.Domain{Name: name, State: state})
	}
	domains.Sort()
	d.Put(domains)
	for _, s := range l.Services {
		section := pollendocument.Section{Team: s.Team, Version: version(s.Team)}
		if old := d.Section(s.Team); old != nil {
			section = *old
		}
		section.Services = append(section.Services, s.Service)
		section.Sort()
		d.Put(section)
	}
	return d
}
