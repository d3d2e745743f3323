package pollennode

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
)

// A Transport sends the packets and messages of a program. Sending is unreliable
// and its errors are not returned. A Transport must not retain the data after a
// method returns.
type Transport interface {
	// SendToNode sends a datagram that begins with a pollenlink.Header.
	SendToNode(to netip.AddrPort, datagram []byte)
	// SendMessage sends a message to other nodes.
	SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort)
	// SendToCaller sends a packet to the caller at the address.
	SendToCaller(to netip.AddrPort, packet []byte)
	// SendToServer sends a packet to the backend server beside a gate.
	SendToServer(packet []byte)
}

// A Shaper is a Transport that can queue what it sends to other nodes by class.
type Shaper interface {
	Transport
	// SetShaping sets whether datagrams are queued.
	SetShaping(on bool)
	// SendToNodeAs is SendToNode for a datagram of the class and the route.
	SendToNodeAs(class pollenegress.Class, route pollenegress.Route, to netip.AddrPort, datagram []byte)
	// Waiting returns the number of bytes that are queued.
	Waiting() int
	// ShapingStats returns what the queue has done.
	ShapingStats() pollenegress.Stats
}

// sockets is the Transport of a process, over UDP. It implements Shaper.
type sockets struct {
	metrics *pollenmetric.Set
	link    *pollenlink.Link
	// packets is the socket for packets of flows: to and from callers on a
	// balancer, and to callers and the backend server on a gate.
	packets *net.UDPConn
	server  netip.AddrPort
}

// openSockets opens the socket for other nodes at s.Node and the socket for packets
// of flows at the address.
func openSockets(s *Settings, address netip.AddrPort, metrics *pollenmetric.Set) (*sockets, error) {
	k := &sockets{metrics: metrics, server: s.Server}
	var err error
	if k.link, err = pollenlink.Open(s.Node, s.LinkRate); err != nil {
		return nil, err
	}
	k.link.OnSendError = func(netip.AddrPort, error) { metrics.CountEvent(pollenmetric.EventSendFailed, 1) }
	if k.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, errors.Wrapf(err, "open socket for packets of flows at %s", address)
	}
	if err := k.packets.SetReadBuffer(pollenlink.ReadBufferSize); err != nil {
		return nil, errors.Wrapf(err, "set read buffer of the socket for packets of flows at %s", address)
	}
	return k, nil
}

// SendToNode implements Transport.
func (k *sockets) SendToNode(to netip.AddrPort, datagram []byte) { k.link.SendPacket(to, datagram) }

// SetShaping implements Shaper.
func (k *sockets) SetShaping(on bool) { k.link.SetShaping(on) }

// SendToNodeAs implements Shaper.
func (k *sockets) SendToNodeAs(class pollenegress.Class, route pollenegress.Route, to netip.AddrPort, datagram []byte) {
	k.link.SendPacketAs(class, route, to, datagram)
}

// Waiting implements Shaper.
func (k *sockets) Waiting() int { return k.link.Waiting() }

// ShapingStats implements Shaper.
func (k *sockets) ShapingStats() pollenegress.Stats { return k.link.ShapingStats() }

// SendMessage implements Transport.
func (k *sockets) SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort) {
	k.link.SendMessage(kind, message, to...)
}

// SendToCaller implements Transport.
func (k *sockets) SendToCaller(to netip.AddrPort, packet []byte) {
	if _, err := k.packets.WriteToUDPAddrPort(packet, to); err != nil {
		k.metrics.CountEvent(pollenmetric.EventSendFailed, 1)
	}
}

// SendToServer implements Transport.
func (k *sockets) SendToServer(packet []byte) { k.SendToCaller(k.server, packet) }
