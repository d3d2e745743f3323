package pollennode

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
)

// A Transport sends what a program has decided. What it sends may be lost. The
// data belongs to the caller again when a method returns.
type Transport interface {
	// SendToNode sends a datagram that begins with a pollenlink.Header.
	SendToNode(to netip.AddrPort, datagram []byte)
	// SendMessage sends a message to other nodes.
	SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort)
	// SendToCaller sends a packet to the caller at the address.
	SendToCaller(to netip.AddrPort, packet []byte)
	// SendToServer gives a packet to the backend server beside a gate.
	SendToServer(packet []byte)
}

// sockets is the Outlet of a process.
type sockets struct {
	metrics *pollenmetric.Set
	link    *pollenlink.Link
	// outer is the socket towards callers, and at a gate also towards the
	// backend server.
	outer  *net.UDPConn
	server netip.AddrPort
}

// openSockets opens the socket for nodes and the one at the outer address.
func openSockets(s *Settings, outer netip.AddrPort, metrics *pollenmetric.Set) (*sockets, error) {
	k := &sockets{metrics: metrics, server: s.Server}
	var err error
	if k.link, err = pollenlink.Open(s.Node); err != nil {
		return nil, err
	}
	k.link.OnSendError = func(netip.AddrPort, error) { metrics.CountEvent(pollenmetric.EventSendFailed, 1) }
	if k.outer, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(outer)); err != nil {
		return nil, errors.Wrapf(err, "open socket for packets of flows at %s", outer)
	}
	if err := k.outer.SetReadBuffer(pollenlink.ReadBufferSize); err != nil {
		return nil, errors.Wrapf(err, "set read buffer of %s", outer)
	}
	return k, nil
}

// SendToNode implements Outlet.
func (k *sockets) SendToNode(to netip.AddrPort, datagram []byte) { k.link.SendPacket(to, datagram) }

// SendMessage implements Outlet.
func (k *sockets) SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort) {
	k.link.SendMessage(kind, message, to...)
}

// SendToCaller implements Outlet.
func (k *sockets) SendToCaller(to netip.AddrPort, packet []byte) {
	if _, err := k.outer.WriteToUDPAddrPort(packet, to); err != nil {
		k.metrics.CountEvent(pollenmetric.EventSendFailed, 1)
	}
}

// SendToServer implements Outlet.
func (k *sockets) SendToServer(packet []byte) { k.SendToCaller(k.server, packet) }
