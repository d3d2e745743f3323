package pollencontrol_test

import (
	"fmt"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

const (
	election = 500 * time.Millisecond
	tick     = 20 * time.Millisecond
	lease    = 2 * time.Second
	// compactBytes is in bytes.
	compactBytes = 1 << 20
	// joinDelay is the time without a leader after which a host asks to join.
	joinDelay = 1500 * time.Millisecond
)

// host is a control host with the contents of its disk.
type host struct {
	id                        pollenlog.ReplicaID
	address                   netip.AddrPort
	node                      *pollencontrol.Node
	disk                      pollenlog.StoredState
	down, frozen, partitioned bool
	// revision is the highest revision of the host's view since its last start.
	revision pollenview.Revision
}

// member is a process that sends heartbeats and receives notices.
type member struct {
	node    *pollenmember.Node
	address netip.AddrPort
	silent  bool
	// controlBlocked drops the messages to and from control hosts, not those
	// between members.
	controlBlocked bool
}

// cluster runs control hosts and members in virtual time.
type cluster struct {
	t           *rapid.T
	size        int
	now         time.Time
	hosts       []*host
	members     []*member
	inFlight    []message
	answers     map[pollencontrol.Token]pollencontrol.Answer
	token       pollencontrol.Token
	lossPercent int
	// autoRepair sets Config.AutoRepair of hosts that start from now on.
	autoRepair bool
	// maxReplicas is Config.Replicas of hosts that start from now on.
	maxReplicas int
	notices     int
}

// message is one message between two addresses.
type message struct {
	from, to  netip.AddrPort
	log       *pollenlog.Message
	notice    *pollenmember.Notice
	heartbeat *pollenmember.Heartbeat
	fetch     *pollenmember.Fetch
	update    *pollenview.Update
}

func controlAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000)
}

func memberAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i)}), 7000)
}

func newCluster(t *rapid.T, size int) *cluster {
	c := &cluster{
		t: t, size: size, maxReplicas: size, now: time.Unix(1_000_000, 0), answers: map[pollencontrol.Token]pollencontrol.Answer{},
	}
	for i := 1; i <= size; i++ {
		h := &host{id: pollenlog.ReplicaID(10 * i), address: controlAddress(i)}
		if i == 1 {
			h.disk.Hard.Term = 1
			h.disk.Snapshot = pollenlog.Snapshot{Index: 1, Term: 1, Membership: pollenlog.Membership{
				Replicas: []pollenlog.Replica{{ID: h.id, Address: h.address, Voter: true}},
			}}
		}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	return c
}

func (c *cluster) start(h *host) {
	stored := h.disk
	stored.Entries = append([]pollenlog.Entry(nil), stored.Entries...)
	node, err := pollencontrol.NewNode(c.now, pollencontrol.Config{
		Log: pollenlog.Config{
			ID: h.id, Address: h.address, ElectionTimeout: election, HeartbeatInterval: election / 5,
			Seed: uint64(h.id) ^ uint64(c.now.UnixNano()), MaxAppendEntries: 64, MaxAppendBytes: 1 << 20,
		},
		Codec: pollenwire.ControlCodec{}, Lease: lease, CheckInterval: 100 * time.Millisecond, CompactEvery: 200, CompactBytes: compactBytes,
		Guard: pollencontrol.HalfGuard{MaxUnguarded: 2}, MaxInlineBytes: 1100, PendingTimeout: 5 * time.Second, Replicas: c.maxReplicas, AutoRepair: c.autoRepair,
	}, stored)
	if err != nil {
		c.t.Fatalf("start host: %v", err)
	}
	h.node = node
	h.down, h.frozen = false, false
	h.revision = 0
}

func (c *cluster) addMembers(n int) {
	var control []netip.AddrPort
	for _, h := range c.hosts {
		control = append(control, h.address)
	}
	for i := range n {
		at := len(c.members) + 1
		m := &member{address: memberAddress(at)}
		self := pollenview.Member{
			Name: pollendocument.ServerName(fmt.Sprintf("agent-%d", at)), Role: pollenview.RoleAgent,
			Incarnation: pollenview.Incarnation(c.now.UnixNano()), Service: "rings",
			Domain: domainNames[i%len(domainNames)], Address: m.address, State: pollendocument.ServerActive,
		}
		m.node = pollenmember.NewNode(pollenmember.Config{
			Self: self, Control: control, HeartbeatInterval: 500 * time.Millisecond, StartTimeout: 3 * time.Second,
			FetchTimeout: time.Second, Seed: uint64(at),
		})
		c.members = append(c.members, m)
	}
}

var domainNames = []pollendocument.DomainName{"celje-a", "celje-b", "velenje"}

func (c *cluster) step(h *host, e pollencontrol.Event) {
	for _, a := range h.node.Step(c.now, e) {
		switch a := a.(type) {
		case pollencontrol.Persist:
			persist(&h.disk, a.Unit)
		case pollencontrol.SendLog:
			m := a.Message
			c.inFlight = append(c.inFlight, message{from: h.address, to: a.To, log: &m})
		case pollencontrol.SendNotice:
			n := a.Notice
			c.notices++
			c.inFlight = append(c.inFlight, message{from: h.address, to: a.To, notice: &n})
		case pollencontrol.Reply:
			c.answers[a.Token] = a.Answer
		}
	}
	if r := h.node.View().Revision; r < h.revision {
		c.t.Fatalf("host %s: revision decreased from %d to %d", h.address, h.revision, r)
	} else {
		h.revision = r
	}
}

// persist applies a write to the contents of a disk.
func persist(disk *pollenlog.StoredState, p pollenlog.Persist) {
	if p.Snapshot != nil {
		if drop := int(p.Snapshot.Index - disk.Snapshot.Index); p.KeepEntries && drop <= len(disk.Entries) {
			disk.Entries = append([]pollenlog.Entry(nil), disk.Entries[drop:]...)
		} else {
			disk.Entries = nil
		}
		disk.Snapshot = *p.Snapshot
	}
	if p.Hard != nil {
		disk.Hard = *p.Hard
	}
	if len(p.Entries) > 0 {
		at := int(p.Entries[0].Index - disk.Snapshot.Index - 1)
		disk.Entries = append(append([]pollenlog.Entry(nil), disk.Entries[:at]...), p.Entries...)
	}
}

func (c *cluster) stepMember(m *member, e pollenmember.Event) {
	before := m.node.View().Revision
	for _, a := range m.node.Step(c.now, e) {
		switch a := a.(type) {
		case pollenmember.SendHeartbeat:
			h := a.Heartbeat
			c.inFlight = append(c.inFlight, message{from: m.address, to: a.To, heartbeat: &h})
		case pollenmember.SendNotice:
			n := a.Notice
			c.inFlight = append(c.inFlight, message{from: m.address, to: a.To, notice: &n})
		case pollenmember.Fetch:
			f := a
			c.inFlight = append(c.inFlight, message{from: m.address, to: a.From, fetch: &f})
		}
	}
	if after := m.node.View().Revision; after < before {
		c.t.Fatalf("member %s: revision decreased from %d to %d", m.address, before, after)
	}
}

func (c *cluster) hostAt(a netip.AddrPort) *host {
	for _, h := range c.hosts {
		if h.address == a {
			return h
		}
	}
	return nil
}

func (c *cluster) memberAt(a netip.AddrPort) *member {
	for _, m := range c.members {
		if m.address == a {
			return m
		}
	}
	return nil
}

func (c *cluster) deliver(p message) {
	if from := c.hostAt(p.from); from != nil && from.partitioned {
		return
	}
	if h := c.hostAt(p.to); h != nil {
		c.deliverHost(h, p)
		return
	}
	m := c.memberAt(p.to)
	fromControl := c.hostAt(p.from) != nil
	if m == nil || m.silent || (m.controlBlocked && fromControl) {
		return
	}
	switch {
	case p.notice != nil:
		c.stepMember(m, pollenmember.NoticeReceived{From: p.from, Notice: *p.notice})
	case p.fetch != nil:
		u := m.node.UpdateSince(p.fetch.Have)
		c.inFlight = append(c.inFlight, message{from: p.to, to: p.from, update: &u})
	case p.update != nil:
		c.stepMember(m, pollenmember.Fetched{Update: roundTrip(p.update)})
	}
}

// roundTrip encodes and decodes an update, as between two processes.
func roundTrip(u *pollenview.Update) pollenview.Update {
	var c pollenview.Update
	if err := pollenwire.Unmarshal(pollenwire.Marshal(u, pollenwire.MapUpdate), &c, pollenwire.MapUpdate); err != nil {
		panic(err)
	}
	return c
}

func (c *cluster) deliverHost(h *host, p message) {
	if h.down || h.frozen || h.partitioned {
		return
	}
	from := c.memberAt(p.from)
	if from != nil && (from.silent || from.controlBlocked) {
		return
	}
	switch {
	case p.log != nil && p.log.To == h.id:
		c.step(h, pollencontrol.LogMessage{Message: *p.log})
	case p.heartbeat != nil:
		c.step(h, pollencontrol.HeartbeatReceived{From: p.from, Heartbeat: *p.heartbeat})
	case p.fetch != nil:
		u := h.node.UpdateSince(p.fetch.Have)
		c.inFlight = append(c.inFlight, message{from: p.to, to: p.from, update: &u})
	}
}

// run advances the time by d and delivers the messages, of which lossPercent
// percent are lost.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tick)
		for _, h := range c.hosts {
			if h.down || h.frozen {
				continue
			}
			c.step(h, pollencontrol.Tick{})
			if s := h.node.LogStatus(); len(s.Membership.Replicas) == 0 || c.now.Sub(s.LeaderSeen) >= joinDelay {
				c.join(h)
			}
		}
		for _, m := range c.members {
			if !m.silent {
				c.stepMember(m, pollenmember.Tick{})
			}
		}
		c.deliverAll()
	}
}

func (c *cluster) deliverAll() {
	for len(c.inFlight) > 0 {
		p := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		if c.lossPercent > 0 && rapid.IntRange(0, 99).Draw(c.t, "loss") < c.lossPercent {
			continue
		}
		c.deliver(p)
	}
}

func (c *cluster) join(h *host) {
	if h.partitioned {
		return
	}
	for _, other := range c.hosts {
		if other != h && !other.down && !other.frozen && !other.partitioned {
			c.step(other, pollencontrol.Join{ID: h.id, Address: h.address})
		}
	}
}

func (c *cluster) leader() *host {
	for _, h := range c.hosts {
		if !h.down && !h.frozen && !h.partitioned && h.node.LogStatus().Role == pollenlog.RoleLeader && h.node.LogStatus().HasLease {
			return h
		}
	}
	return nil
}

// waitForLeader runs the cluster until every host is a voter and there is a
// leader, and returns the leader.
func (c *cluster) waitForLeader() *host {
	for range 100 {
		c.run(200 * time.Millisecond)
		if l := c.leader(); l != nil && l.node.LogStatus().Membership.VoterCount() == len(c.hosts) {
			return l
		}
	}
	for _, h := range c.hosts {
		c.t.Logf("host %s: down %t frozen %t partitioned %t: %+v", h.address, h.down, h.frozen, h.partitioned, h.node.LogStatus())
	}
	c.t.Fatalf("no leader with %d voters within 20 s", len(c.hosts))
	return nil
}

// submit sends a submission to a host and returns its token.
func (c *cluster) submit(h *host, id, by string, d *pollendocument.Document) pollencontrol.Token {
	c.token++
	c.step(h, pollencontrol.Submit{Token: c.token, ID: id, Submitter: by, Document: *d})
	return c.token
}

// mustSubmit submits a document at the leader and fails the test unless it is
// accepted within four ticks.
func (c *cluster) mustSubmit(id string, d *pollendocument.Document) pollencontrol.Answer {
	token := c.submit(c.leader(), id, "test", d)
	c.run(4 * tick)
	a, ok := c.answers[token]
	if !ok || a.Verdict != pollencontrol.VerdictDone {
		c.t.Fatalf("submission %s: %+v", id, a)
	}
	return a
}

// document returns a document with one service. The number of slots identifies
// the version of its section.
func document(base uint64, slots int, states ...pollendocument.DomainState) *pollendocument.Document {
	d := &pollendocument.Document{}
	domains := pollendocument.Section{Team: pollendocument.DomainsTeam}
	for i, name := range domainNames {
		state := pollendocument.DomainIn
		if i < len(states) {
			state = states[i]
		}
		domains.Domains = append(domains.Domains, pollendocument.Domain{Name: name, State: state})
	}
	d.Put(domains)
	d.Put(pollendocument.Section{Team: "registry", Version: base, Services: []pollendocument.Service{{
		Name: "rings", Address: netip.MustParseAddrPort("127.0.9.1:4430"), Delivery: pollendocument.DeliveryHTTP,
		Slots: slots, ConnectionLimit: 2000, ColdLimit: 1, QueueLimit: 16, RequestTimeout: time.Second, Retention: time.Minute, IdleTimeout: time.Minute,
	}}})
	return d
}

func slotsOf(v *pollenview.View) int {
	service, _, _ := v.Document.Service("rings")
	return service.Slots
}
