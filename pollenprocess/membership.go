package pollenprocess

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing of the membership protocol.
const (
	// HeartbeatInterval is the time between two heartbeats to a control host.
	HeartbeatInterval = 500 * time.Millisecond
	// StartTimeout is how long a starting process waits for a majority of
	// control hosts.
	StartTimeout = 3 * time.Second
	// fetchTimeout limits each call that fetches a newer view.
	fetchTimeout = 2 * time.Second
	tickInterval = 50 * time.Millisecond
)

// A Membership runs a pollenmember.Node. Its lock also guards the data that the
// callbacks use.
type Membership struct {
	base *Base
	// OnView is called with the lock held after each change to a newer view.
	OnView func(now time.Time, view *pollenview.View)

	mu   sync.Mutex
	node *pollenmember.Node
	// changed is closed and replaced when the view or Started changes.
	changed chan struct{}
	started atomic.Bool
}

// NewMembership returns a new Membership that announces self and calls onView for
// each newer view.
func NewMembership(b *Base, self pollenview.Member, onView func(now time.Time, view *pollenview.View)) *Membership {
	m := &Membership{
		base: b, OnView: onView, changed: make(chan struct{}),
		node: pollenmember.NewNode(pollenmember.Config{
			Self: self, Control: b.Settings.ControlHosts, HeartbeatInterval: HeartbeatInterval,
			StartTimeout: StartTimeout, FetchTimeout: fetchTimeout, Seed: uint64(self.Incarnation),
		}),
	}
	b.Socket.Handle(pollenwire.DatagramNotice, m.handleNotice)
	b.AddTicker("membership", tickInterval, func(now time.Time) { m.Step(now, pollenmember.Tick{}) })
	return m
}

// Lock locks the view and the data that the callbacks use.
func (m *Membership) Lock() { m.mu.Lock() }

// Unlock releases the lock.
func (m *Membership) Unlock() { m.mu.Unlock() }

// Started reports whether the view has been current enough to serve from at least
// once. It stays true during a planned stop.
func (m *Membership) Started() bool { return m.started.Load() }

// View returns the view. The lock must be held while the view is used.
func (m *Membership) View() *pollenview.View { return m.node.View() }

// Step passes an event to the node and executes the node's actions.
func (m *Membership) Step(now time.Time, e pollenmember.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.StepLocked(now, e)
}

// StepLocked is Step with the lock held.
func (m *Membership) StepLocked(now time.Time, e pollenmember.Event) {
	for _, a := range m.node.Step(now, e) {
		switch a := a.(type) {
		case pollenmember.SendHeartbeat:
			m.send(a.To, pollenwire.DatagramHeartbeat, pollenwire.Marshal(&a.Heartbeat, pollenwire.MapHeartbeat))
		case pollenmember.SendNotice:
			m.send(a.To, pollenwire.DatagramNotice, pollenwire.Marshal(&a.Notice, pollenwire.MapNotice))
		case pollenmember.Fetch:
			go m.fetch(a)
		case pollenmember.ViewChanged:
			m.base.Metrics.CountEvent(pollenmetric.EventViewChanged, 1)
			m.OnView(now, m.node.View())
			m.notifyWaiters()
		case pollenmember.Ready:
			if a.WithoutMajority {
				m.base.Metrics.CountEvent(pollenmetric.EventStartedWithoutMajority, 1)
				m.base.Log.Warn("no majority of control hosts answered; serving the newest view received")
			}
			m.started.Store(true)
			m.base.SetReady(true)
			m.notifyWaiters()
		}
	}
}

// notifyWaiters makes WaitFor check its conditions again. The lock is held.
func (m *Membership) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Membership) send(to netip.AddrPort, kind pollenwire.DatagramKind, payload []byte) {
	m.base.Socket.Send(to, &pollenwire.Header{Kind: kind, Revision: m.node.View().Revision}, payload)
}

func (m *Membership) handleNotice(_ *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	notice, ok := Decode(m.base, buffer, size, pollenwire.MapNotice)
	if !ok {
		return
	}
	m.Step(time.Now(), pollenmember.NoticeReceived{From: from, Notice: notice})
}

func (m *Membership) fetch(a pollenmember.Fetch) {
	m.base.Metrics.CountRetry(pollenkernel.RetryViewFetch)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	answer, err := m.base.Client.Call(ctx, a.From, pollencall.MethodFetch, pollenwire.Marshal(&a.Have, pollenwire.MapRevision))
	var update pollenview.Update
	if err == nil {
		err = pollenwire.Unmarshal(answer, &update, pollenwire.MapUpdate)
	}
	if err != nil {
		m.Step(time.Now(), pollenmember.FetchFailed{})
		return
	}
	m.Step(time.Now(), pollenmember.Fetched{Update: update})
}

// HandleFetch answers a process whose view is outdated with the changes since its
// revision. It fails on a malformed request.
func (m *Membership) HandleFetch(_ context.Context, request []byte) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return AnswerFetch(request, m.node.UpdateSince)
}

// WaitFor returns when the condition holds or the context ends. The condition is
// checked with the lock held, first immediately and then after each change of the
// view or of Started.
func (m *Membership) WaitFor(ctx context.Context, condition func(view *pollenview.View) bool) {
	for {
		m.mu.Lock()
		done := condition(m.node.View())
		changed := m.changed
		m.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
