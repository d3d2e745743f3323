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

// relay is the socket that connects one flow to the backend server.
type relay struct {
	conn *net.UDPConn
	key  pollenflow.Key
}

// handlePacket decides on a caller's packet and executes the decision.
func (a *Sidecar) handlePacket(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	now := time.Now()
	a.base.Metrics.CountEvent(pollenmetric.EventPacketIn, 1)
	a.membership.Lock()
	defer a.membership.Unlock()
	a.recordRevision(now, from, h.Revision)
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
		if a.frontend != nil && d.Refusal == pollenkernel.RefusalUnknownFlow {
			// The HTTP/3 server answers packets of unknown connections with a
			// stateless reset, so that the caller reconnects.
			a.frontend.conn.enqueue(buffer[pollenwire.HeaderSize:pollenwire.HeaderSize+size], h.Caller)
		}
	}
	if d.Notify.IsValid() {
		registration := []pollenflow.Registration{{Key: h.Caller, Holder: a.flows.MemberRef(), Withdrawn: d.Decline}}
		a.send(d.Notify, pollenwire.DatagramRegister, pollenwire.Marshal(&registration, pollenwire.MapRegistrations))
	}
}

// recordRevision fetches the view from a process whose revision is newer than the
// agent's own. The lock is held.
func (a *Sidecar) recordRevision(now time.Time, from netip.AddrPort, revision pollenview.Revision) {
	if revision > a.membership.View().Revision {
		a.membership.StepLocked(now, pollenmember.RevisionReceived{From: from, Revision: revision})
	}
}

// deliver passes a packet to the agent's HTTP/3 server, if there is one, and
// else to the backend server. The lock is held.
func (a *Sidecar) deliver(d pollenagent.Decision, payload []byte) {
	key := d.Record.Key
	if a.frontend != nil {
		if d.New {
			a.base.Metrics.CountEvent(pollenmetric.EventFlowOpened, 1)
		}
		a.frontend.conn.enqueue(payload, key)
		return
	}
	r, ok := a.relays[key]
	if !ok {
		var err error
		if r, err = a.openRelay(d.Record, d.Record.Port); err != nil {
			a.base.Log.WithError(err).Errorf("cannot open relay socket of flow %s; flow ended", key)
			a.execute(a.flows.EndFlow(time.Now(), key))
			return
		}
		a.base.Metrics.CountEvent(pollenmetric.EventFlowOpened, 1)
	}
	if _, err := r.conn.Write(payload); err != nil {
		a.handleRelayError(key, err)
		return
	}
	a.base.Metrics.CountEvent(pollenmetric.EventPacketOut, 1)
}

// openRelay opens the socket of a flow at the local port, or at any free port
// when port is zero, and stores the port in the record. The lock is held.
func (a *Sidecar) openRelay(record *pollenagent.Record, port uint16) (*relay, error) {
	if !a.backend.datagramAddress.IsValid() {
		return nil, errors.New("backend server has announced no datagram address")
	}
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.base.Settings.Address.Addr(), port))
	conn, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(a.backend.datagramAddress))
	if err != nil {
		return nil, errors.Wrap(err, "open relay socket")
	}
	record.Port = conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	r := &relay{conn: conn, key: record.Key}
	a.relays[record.Key] = r
	go a.readRelay(r)
	return r, nil
}

// readRelay sends the backend server's packets to the caller until the socket
// is closed.
func (a *Sidecar) readRelay(r *relay) {
	buffer := make([]byte, pollenprocess.BufferSize)
	space := buffer[pollenwire.HeaderSize : pollenwire.HeaderSize+pollenprocess.MaxPacketSize]
	for {
		n, err := r.conn.Read(space)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.membership.Lock()
			a.handleRelayError(r.key, err)
			a.membership.Unlock()
			continue
		}
		a.sendAnswer(r.key, buffer, n)
	}
}

// sendAnswer sends a packet to the caller through a balancer. The payload starts
// at buffer[pollenwire.HeaderSize] and is size bytes long.
func (a *Sidecar) sendAnswer(key pollenflow.Key, buffer []byte, size int) {
	a.base.Metrics.CountEvent(pollenmetric.EventAnswerIn, 1)
	a.membership.Lock()
	if a.flows == nil {
		a.membership.Unlock()
		return
	}
	balancer, ok := a.flows.RouteAnswer(time.Now(), key)
	if !ok && a.frontend != nil {
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

// handleRelayError reports a packet that the backend server refused to the flow
// state machine, which may close the flow. Other errors are ignored. The lock is
// held.
func (a *Sidecar) handleRelayError(key pollenflow.Key, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || a.flows == nil {
		return
	}
	if record, closed := a.flows.BackendRefused(time.Now(), key); closed {
		a.base.Metrics.CountRefusal(pollenkernel.RefusalBackendFailed)
		a.closeFlow(record)
	}
}

// closeFlow counts a closed flow and closes its relay socket, if it has one. The
// lock is held.
func (a *Sidecar) closeFlow(record *pollenagent.Record) {
	a.base.Metrics.CountEvent(pollenmetric.EventFlowClosed, 1)
	if r, ok := a.relays[record.Key]; ok {
		delete(a.relays, record.Key)
		_ = r.conn.Close()
	}
}

// closeRelays closes the relay sockets of all flows. The lock is held.
func (a *Sidecar) closeRelays() {
	for key, r := range a.relays {
		delete(a.relays, key)
		_ = r.conn.Close()
	}
}

func (a *Sidecar) handleRegistrations(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	registrations, ok := pollenprocess.Decode(a.base, buffer, size, pollenwire.MapRegistrations)
	if !ok {
		return
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	now := time.Now()
	a.recordRevision(now, from, h.Revision)
	if a.flows != nil {
		a.flows.HandleRegistrations(now, registrations)
	}
}

func (a *Sidecar) handleLoad(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	load, ok := pollenprocess.Decode(a.base, buffer, size, pollenwire.MapLoad)
	if !ok {
		return
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	now := time.Now()
	a.recordRevision(now, from, h.Revision)
	if a.flows != nil {
		a.flows.HandleLoad(now, load)
	}
}

// restore reopens the flows of an earlier incarnation of the agent from the
// records that its backup peers hold, then announces the agent. It does nothing
// when the service has changed meanwhile.
func (a *Sidecar) restore(service pollendocument.ServiceName) {
	viewCtx, cancelViewCtx := context.WithTimeout(context.Background(), viewTimeout)
	defer cancelViewCtx()
	a.membership.WaitFor(viewCtx, func(view *pollenview.View) bool {
		_, _, known := view.Document.Service(service)
		return known && a.membership.Started()
	})
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
	defer cancel()
	backup := a.fetchLatestBackup(ctx, service)
	now := time.Now()
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.self.Service != service {
		return
	}
	a.limiter.Resume(backup.StartStamp, backup.Limit)
	restored := int64(0)
	for _, record := range backup.Records {
		if a.restoreFlow(now, record) {
			restored++
		}
	}
	if restored > 0 {
		a.base.Metrics.CountEvent(pollenmetric.EventFlowRestored, restored)
		a.base.Log.WithField("flows", restored).Info("restored flows of an earlier incarnation")
	}
	a.restored = true
	a.flows.EnableBackups()
	a.announce(now)
}

const (
	// viewTimeout limits how long a starting agent waits for a view that
	// contains its service.
	viewTimeout = 10 * time.Second
	// restoreTimeout limits how long it then asks its peers for its records.
	restoreTimeout = 3 * time.Second
	// restoreRetryInterval is the pause after a failed call to a peer.
	restoreRetryInterval = 100 * time.Millisecond
)

// restoreFlow reopens one flow at its former local port and reports whether that
// succeeded. It ends the flow when the port cannot be bound. The lock is held.
func (a *Sidecar) restoreFlow(now time.Time, backup pollenagent.BackupRecord) bool {
	if backup.Port == 0 {
		return false
	}
	record := a.flows.Restore(now, backup)
	if record == nil {
		return false
	}
	if _, err := a.openRelay(record, backup.Port); err != nil {
		a.base.Log.WithError(err).Warnf("cannot restore flow %s", backup.Key)
		a.execute(a.flows.EndFlow(now, backup.Key))
		return false
	}
	return true
}

// fetchLatestBackup asks every other agent of the service and returns the newest
// backup, or an empty one when there is none.
func (a *Sidecar) fetchLatestBackup(ctx context.Context, service pollendocument.ServiceName) pollenagent.Backup {
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
			backup, ok := a.fetchBackup(ctx, m, query)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if backup.IsNewerThan(latest) {
				latest = backup
			}
		})
	}
	group.Wait()
	return latest
}

// fetchBackup asks one agent until it answers or the context ends; ok is false
// when the context ends or the answer contains no valid backup of this agent.
func (a *Sidecar) fetchBackup(ctx context.Context, m pollenview.Member, query []byte) (backup pollenagent.Backup, ok bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := a.base.Client.Call(callCtx, m.Address, pollencall.MethodGetBackup, query)
		cancel()
		if err == nil {
			return backup, len(answer) > 0 && pollenwire.Unmarshal(answer, &backup, pollenwire.MapBackup) == nil
		}
		a.base.Metrics.CountRetry(pollenkernel.RetryReplicaUnreachable)
		select {
		case <-ctx.Done():
		case <-time.After(restoreRetryInterval):
		}
	}
	return backup, false
}

// sendFullBackups sends all flow records to the backup peers before the process
// ends, one peer after the other until the context ends.
func (a *Sidecar) sendFullBackups(ctx context.Context) {
	a.membership.Lock()
	backup := a.flows.FullBackup()
	peers := a.flows.BackupPeers()
	a.membership.Unlock()
	request := pollenwire.Marshal(&backup, pollenwire.MapBackup)
	for _, to := range peers {
		if _, err := a.base.Client.Call(ctx, to, pollencall.MethodStoreBackup, request); err != nil {
			a.base.Log.WithError(err).Warn("cannot send backup to backup peer")
		}
	}
}
