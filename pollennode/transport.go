package pollennode

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

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

// sockets is the Transport of a process, over UDP.
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
