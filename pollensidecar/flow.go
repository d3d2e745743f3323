package pollensidecar

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenprocess"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// relay is the socket of one flow towards the backend server.
type relay struct {
	conn *net.UDPConn
	key  pollenflow.Key
}

// takePacket decides about a caller's packet and carries the decision out.
func (a *Sidecar) takePacket(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	now := time.Now()
	a.base.Metrics.CountEvent(pollenmetric.EventPacketIn, 1)
	a.membership.Lock()
	defer a.membership.Unlock()
	a.hear(now, from, h.Revision)
	if a.flows == nil || !a.restored {
		a.base.Metrics.CountRefusal(pollenkernel.RefusalNotReady)
		return
	}
	p := pollenagent.Packet{
		Key: h.Caller, Service: h.Service, Target: h.Target, From: from, Balancer: h.Balancer,
		Revision: h.Revision, MayOpenFlow: h.MayOpenFlow, Assigned: h.Assigned,
		Search: h.Search, SearchIndex: h.SearchIndex, Hops: h.Hops,
	}
	d := a.flows.Decide(now, &p)
	switch d.Kind {
	case pollenagent.DecisionDeliver:
		a.deliver(d, buffer[pollenwire.HeaderSize:pollenwire.HeaderSize+size])
	case pollenagent.DecisionForward:
		if d.Search {
			a.base.Metrics.CountRetry(pollenkernel.RetryFlowSearch)
		}
		next := *h
		next.Target, next.Assigned, next.Search = d.Target, d.Assigned, d.Search
		next.SearchIndex, next.Hops = d.SearchIndex, d.Hops
		next.Revision = a.membership.View().Revision
		a.base.Socket.SendInPlace(d.To, &next, buffer, size)
	case pollenagent.DecisionDrop:
		a.base.Metrics.CountRefusal(d.Refusal)
		if a.front != nil && d.Refusal == pollenkernel.RefusalUnknownFlow {
			// The front answers a packet of a connection that it does not know
			// with a stateless reset, so that the caller connects anew.
			a.front.conn.push(buffer[pollenwire.HeaderSize:pollenwire.HeaderSize+size], h.Caller)
		}
	}
	if d.Notify.IsValid() {
		registration := []pollenflow.Registration{{Key: h.Caller, Holder: a.flows.Reference(), Withdrawn: d.Decline}}
		a.send(d.Notify, pollenwire.DatagramRegister, pollenwire.Marshal(&registration, pollenwire.MapRegistrations))
	}
}

// hear fetches a newer view from a process that holds one. The lock is held.
func (a *Sidecar) hear(now time.Time, from netip.AddrPort, revision pollenview.Revision) {
	if revision > a.membership.View().Revision {
		a.membership.StepLocked(now, pollenmember.RevisionReceived{From: from, Revision: revision})
	}
}

// deliver passes a packet to the backend server or to the agent's own front.
// The lock is held.
func (a *Sidecar) deliver(d pollenagent.Decision, payload []byte) {
	key := d.Record.Key
	if a.front != nil {
		if d.New {
			a.base.Metrics.CountEvent(pollenmetric.EventFlowOpened, 1)
		}
		a.front.conn.push(payload, key)
		return
	}
	r, ok := a.relays[key]
	if !ok {
		var err error
		if r, err = a.openRelay(d.Record, d.Record.Port); err != nil {
			a.base.Log.WithError(err).Error("relay socket cannot be opened")
			a.act(a.flows.EndFlow(time.Now(), key))
			return
		}
		a.base.Metrics.CountEvent(pollenmetric.EventFlowOpened, 1)
	}
	if _, err := r.conn.Write(payload); err != nil {
		a.relayFailed(key, err)
		return
	}
	a.base.Metrics.CountEvent(pollenmetric.EventPacketOut, 1)
}

// openRelay opens the socket of a flow at the port, or at any when it is zero.
// The lock is held.
func (a *Sidecar) openRelay(record *pollenagent.Record, port uint16) (*relay, error) {
	if !a.backend.datagrams.IsValid() {
		return nil, errors.New("backend server has announced no datagram address")
	}
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.base.Settings.Address.Addr(), port))
	conn, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(a.backend.datagrams))
	if err != nil {
		return nil, errors.Wrap(err, "open relay socket")
	}
	record.Port = conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	r := &relay{conn: conn, key: record.Key}
	a.relays[record.Key] = r
	go a.readRelay(r)
	return r, nil
}

// readRelay passes the backend server's packets to the caller until the socket
// is closed.
func (a *Sidecar) readRelay(r *relay) {
	buffer := make([]byte, pollenprocess.BufferSize)
	room := buffer[pollenwire.HeaderSize : pollenwire.HeaderSize+pollenprocess.MaxPacket]
	for {
		n, err := r.conn.Read(room)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.membership.Lock()
			a.relayFailed(r.key, err)
			a.membership.Unlock()
			continue
		}
		a.answer(r.key, buffer, n)
	}
}

// answer passes a packet to the caller through a balancer. The payload lies in
// the buffer from pollenwire.HeaderSize on.
func (a *Sidecar) answer(key pollenflow.Key, buffer []byte, size int) {
	a.base.Metrics.CountEvent(pollenmetric.EventAnswerIn, 1)
	a.membership.Lock()
	if a.flows == nil {
		a.membership.Unlock()
		return
	}
	balancer, ok := a.flows.RouteAnswer(time.Now(), key)
	if !ok && a.front != nil {
		balancer, ok = a.flows.AnyBalancer()
	}
	h := pollenwire.Header{
		Kind: pollenwire.DatagramAnswer, Service: pollenflow.DigestOf(a.self.Service),
		Revision: a.membership.View().Revision, Caller: key,
	}
	a.membership.Unlock()
	if !ok {
		a.base.Metrics.CountRefusal(pollenkernel.RefusalUnknownFlow)
		return
	}
	a.base.Socket.SendInPlace(balancer, &h, buffer, size)
	a.base.Metrics.CountEvent(pollenmetric.EventAnswerOut, 1)
}

// relayFailed follows a refused packet. The lock is held.
func (a *Sidecar) relayFailed(key pollenflow.Key, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || a.flows == nil {
		return
	}
	if record, closed := a.flows.BackendRefused(time.Now(), key); closed {
		a.base.Metrics.CountRefusal(pollenkernel.RefusalBackendFailed)
		a.closeFlow(record)
	}
}

// closeFlow ends the delivery of a flow. The lock is held.
func (a *Sidecar) closeFlow(record *pollenagent.Record) {
	a.base.Metrics.CountEvent(pollenmetric.EventFlowClosed, 1)
	if r, ok := a.relays[record.Key]; ok {
		delete(a.relays, record.Key)
		_ = r.conn.Close()
	}
}

func (a *Sidecar) dropRelays() {
	for key, r := range a.relays {
		delete(a.relays, key)
		_ = r.conn.Close()
	}
}

func (a *Sidecar) takeRegistrations(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	registrations, ok := pollenprocess.Decode(a.base, buffer, size, pollenwire.MapRegistrations)
	if !ok {
		return
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	now := time.Now()
	a.hear(now, from, h.Revision)
	if a.flows != nil {
		a.flows.HandleRegistrations(now, registrations)
	}
}

func (a *Sidecar) takeLoad(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	load, ok := pollenprocess.Decode(a.base, buffer, size, pollenwire.MapLoad)
	if !ok {
		return
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	now := time.Now()
	a.hear(now, from, h.Revision)
	if a.flows != nil {
		a.flows.HandleLoad(now, load)
	}
}

// restore takes back the flows of an earlier incarnation from the agents that
// kept their records, and then announces the agent.
func (a *Sidecar) restore(service pollendocument.ServiceName) {
	wait, cancelWait := context.WithTimeout(context.Background(), viewBound)
	defer cancelWait()
	a.membership.WaitFor(wait, func(view *pollenview.View) bool {
		_, _, known := view.Document.Service(service)
		return known && a.membership.Current()
	})
	ctx, cancel := context.WithTimeout(context.Background(), restoreBound)
	defer cancel()
	kept := a.collectKept(ctx, service)
	now := time.Now()
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.self.Service != service {
		return
	}
	a.limiter.Resume(kept.StartStamp, kept.Limit)
	restored := int64(0)
	for _, k := range kept.Records {
		if a.restoreFlow(now, k) {
			restored++
		}
	}
	if restored > 0 {
		a.base.Metrics.CountEvent(pollenmetric.EventFlowRestored, restored)
		a.base.Log.WithField("flows", restored).Info("flows of an earlier start taken back")
	}
	a.restored = true
	a.flows.EnableBackups()
	a.announce(now)
}

// viewBound bounds the time that a start waits for a view with its service, and
// restoreBound the time that it then spends on asking peers for its records.
const (
	viewBound    = 10 * time.Second
	restoreBound = 3 * time.Second
	restorePause = 100 * time.Millisecond
)

func (a *Sidecar) restoreFlow(now time.Time, k pollenagent.BackupRecord) bool {
	if k.Port == 0 {
		return false
	}
	record := a.flows.Restore(now, k)
	if record == nil {
		return false
	}
	if _, err := a.openRelay(record, k.Port); err != nil {
		a.base.Log.WithError(err).Warn("flow not taken back")
		a.act(a.flows.EndFlow(now, k.Key))
		return false
	}
	return true
}

// collectKept asks every agent of the service and returns the records of the
// latest incarnation.
func (a *Sidecar) collectKept(ctx context.Context, service pollendocument.ServiceName) pollenagent.Backup {
	a.membership.Lock()
	peers := a.membership.View().Agents(service)
	a.membership.Unlock()
	query := pollenwire.Marshal(&pollenwire.BackupQuery{Name: a.self.Name, Service: service}, pollenwire.MapBackupQuery)
	var mu sync.Mutex
	var latest pollenagent.Backup
	var group sync.WaitGroup
	for _, m := range peers {
		if m.Name == a.self.Name {
			continue
		}
		group.Go(func() {
			k, ok := a.askKept(ctx, m, query)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if k.IsNewerThan(latest) {
				latest = k
			}
		})
	}
	group.Wait()
	return latest
}

// askKept asks one agent until it answers or the context ends; ok is false when
// it keeps nothing.
func (a *Sidecar) askKept(ctx context.Context, m pollenview.Member, query []byte) (k pollenagent.Backup, ok bool) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := a.base.Client.Call(try, m.Address, pollencall.MethodKept, query)
		cancel()
		if err == nil {
			return k, len(answer) > 0 && pollenwire.Unmarshal(answer, &k, pollenwire.MapBackup) == nil
		}
		a.base.Metrics.CountRetry(pollenkernel.RetryReplicaUnreachable)
		select {
		case <-ctx.Done():
		case <-time.After(restorePause):
		}
	}
	return k, false
}

// handOver gives every record to the keepers before the process ends.
func (a *Sidecar) handOver(ctx context.Context) {
	a.membership.Lock()
	kept := a.flows.FullBackup()
	keepers := a.flows.BackupPeers()
	a.membership.Unlock()
	request := pollenwire.Marshal(&kept, pollenwire.MapBackup)
	for _, to := range keepers {
		if _, err := a.base.Client.Call(ctx, to, pollencall.MethodKeep, request); err != nil {
			a.base.Log.WithError(err).Warn("records not handed over")
		}
	}
}
