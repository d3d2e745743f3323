package pollenwire

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpeer"
)

// MapPeerHeartbeat encodes or decodes the heartbeat between nodes. Names of failure
// domains and services are in a list at its start, to which peers refer by index.
func MapPeerHeartbeat(c *Codec, h *pollenpeer.Heartbeat) {
	n := names{}
	if !c.decoding() {
		n.collect(h)
	}
	list(c, &n.list, text[string])
	mapPeer(c, &h.Peer, &n)
	node(c, &h.Leader)
	unsigned(c, &h.Term)
	milliseconds(c, &h.LeaderAge)
	node(c, &h.BootstrapHost)
	list(c, &h.Balancers, node)
	list(c, &h.Gates, node)
	boolean(c, &h.Listed)
	signed(c, &h.KnownBalancers)
	boolean(c, &h.Relayed)
	boolean(c, &h.Report)
	boolean(c, &h.Incomplete)
	list(c, &h.Unheard, node)
	list(c, &h.Facts, func(c *Codec, f *pollenpeer.Fact) {
		mapPeer(c, &f.Peer, &n)
		milliseconds(c, &f.Age)
		milliseconds(c, &f.SeenAge)
	})
	list(c, &h.Vouches, func(c *Codec, v *pollenpeer.Vouch) {
		node(c, &v.Relay)
		name(c, &v.Domain, &n)
		milliseconds(c, &v.Age)
		list(c, &v.Unheard, node)
		list(c, &v.Gone, node)
		unsigned(c, &v.Gates)
		boolean(c, &v.Complete)
	})
}

// names are the names that the peers of a heartbeat refer to.
type names struct {
	list []string
}

func (n *names) add(name string) {
	if !slices.Contains(n.list, name) {
		n.list = append(n.list, name)
	}
}

func (n *names) collect(h *pollenpeer.Heartbeat) {
	n.addPeer(&h.Peer)
	for i := range h.Facts {
		n.addPeer(&h.Facts[i].Peer)
	}
	for i := range h.Vouches {
		n.add(string(h.Vouches[i].Domain))
	}
}

func (n *names) addPeer(p *pollenpeer.Peer) {
	n.add(string(p.Domain))
	if p.Role == pollenpeer.RoleGate {
		n.add(string(p.Server.Service))
	}
}

// name encodes or decodes a name by its index.
func name[T ~string](c *Codec, v *T, n *names) {
	index := slices.Index(n.list, string(*v))
	signed(c, &index)
	if !c.decoding() || c.err != nil {
		return
	}
	if index < 0 || index >= len(n.list) {
		c.fail(errors.Errorf("index %d of a name is not in the list of %d names", index, len(n.list)))
		return
	}
	*v = T(n.list[index])
}

// milliseconds encodes a duration rounded down to milliseconds.
func milliseconds(c *Codec, v *time.Duration) {
	n := v.Milliseconds()
	signed(c, &n)
	*v = time.Duration(n) * time.Millisecond
}

// Flags of a peer.
const (
	flagGate = 1 << iota
	flagDisk
	flagFirstStart
	flagLeaving
	flagCold
	flagStarting
	flagFailing
)

// serverStates lists the states of a backend server by their codes.
var serverStates = []pollenpeer.ServerState{
	pollenpeer.ServerUnknown, pollenpeer.ServerReady, pollenpeer.ServerDraining, pollenpeer.ServerSilent,
}

func mapPeer(c *Codec, p *pollenpeer.Peer, n *names) {
	node(c, &p.Address)
	flags := flagsOf(p)
	unsigned(c, &flags)
	name(c, &p.Domain, n)
	unsigned(c, &p.Incarnation)
	unsigned(c, &p.Sequence)
	unsigned(c, &p.Revision)
	signed(c, &p.LinkRate)
	milliseconds(c, &p.Uptime)
	if c.decoding() {
		setFlags(p, flags)
	}
	// Only gates have a backend server.
	if p.Role != pollenpeer.RoleGate {
		return
	}
	name(c, &p.Server.Service, n)
	state := slices.Index(serverStates, p.Server.State)
	signed(c, &state)
	if c.decoding() && c.err == nil {
		if state < 0 || state >= len(serverStates) {
			c.fail(errors.Errorf("unknown state %d of a backend server", state))
			return
		}
		p.Server.State = serverStates[state]
	}
	signed(c, &p.Server.Slots)
	signed(c, &p.Server.ColdCapacity)
	signed(c, &p.Server.Running)
	tenths(c, &p.Server.AverageRunning)
	signed(c, &p.Server.Flows)
	tenthsOfMillisecond(c, &p.Server.RequestTime)
	signed(c, &p.Server.AdmitBelow)
}

// tenthsOfMillisecond encodes a duration rounded down to tenths of a millisecond.
func tenthsOfMillisecond(c *Codec, v *time.Duration) {
	const unit = time.Millisecond / 10
	n := int64(*v / unit)
	signed(c, &n)
	*v = time.Duration(n) * unit
}

// node encodes the address of a node, which is an IPv4 address, as a number without
// allocating memory. An invalid address is encoded as 0.
func node(c *Codec, v *netip.AddrPort) {
	var n uint64
	if !c.decoding() && v.IsValid() {
		ip := v.Addr().Unmap().As4()
		n = uint64(binary.BigEndian.Uint32(ip[:]))<<portBits | uint64(v.Port())
	}
	unsigned(c, &n)
	if !c.decoding() {
		return
	}
	*v = netip.AddrPort{}
	if n != 0 {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], uint32(n>>portBits))
		*v = netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(n))
	}
}

// portBits is the size of a port in an encoded address.
const portBits = 16

// tenths encodes a number rounded to tenths.
func tenths(c *Codec, v *float64) {
	const perUnit = 10
	n := int64(math.Round(*v * perUnit))
	signed(c, &n)
	if c.decoding() {
		*v = float64(n) / perUnit
	}
}

func flagsOf(p *pollenpeer.Peer) uint8 {
	var flags uint8
	set := func(flag uint8, on bool) {
		if on {
			flags |= flag
		}
	}
	set(flagGate, p.Role == pollenpeer.RoleGate)
	set(flagDisk, p.Disk)
	set(flagFirstStart, p.FirstStart)
	set(flagLeaving, p.Leaving)
	set(flagCold, p.Server.Cold)
	set(flagStarting, p.Server.Starting)
	set(flagFailing, p.Server.Failing)
	return flags
}

func setFlags(p *pollenpeer.Peer, flags uint8) {
	p.Role = pollenpeer.RoleBalancer
	if flags&flagGate != 0 {
		p.Role = pollenpeer.RoleGate
	}
	p.Disk, p.FirstStart, p.Leaving = flags&flagDisk != 0, flags&flagFirstStart != 0, flags&flagLeaving != 0
	p.Server.Cold, p.Server.Starting, p.Server.Failing = flags&flagCold != 0, flags&flagStarting != 0, flags&flagFailing != 0
}

// MapCall encodes or decodes a call to another node.
func MapCall(c *Codec, m *pollenlink.Call) {
	unsigned(c, &m.ID)
	text(c, &m.Method)
	blob(c, &m.Body)
}

// MapCallAnswer encodes or decodes the answer to a call.
func MapCallAnswer(c *Codec, a *pollenlink.Answer) {
	unsigned(c, &a.ID)
	text(c, &a.Result)
	text(c, &a.Reason)
	address(c, &a.Leader)
	blob(c, &a.Body)
}
