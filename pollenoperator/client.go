// Package pollenoperator implements the client side of operators' calls. It finds
// the leading control host, resends calls safely and reports whether the outcome is
// known.
package pollenoperator

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkey"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing of operators' calls.
const (
	// attemptTimeout bounds one call to one control host.
	attemptTimeout = 6 * time.Second
	// retryInterval is the pause before the next control host is tried.
	retryInterval = 150 * time.Millisecond
	// pollInterval is the pause between queries of WaitInForce.
	pollInterval = 50 * time.Millisecond
)

// ErrNoAnswer is the cause of the error that State returns if no control host
// returned the state before the context ended.
var ErrNoAnswer = errors.New("no control host answered")

// A Client sends operators' calls to the control hosts. It is safe for concurrent
// use.
type Client struct {
	controlHosts []netip.AddrPort
	calls        *pollencall.Client
}

// NewClient returns a new Client of the control hosts; there must be at least one.
func NewClient(controlHosts []netip.AddrPort, keyring *pollenkey.Keyring) *Client {
	return &Client{controlHosts: controlHosts, calls: pollencall.NewClient(keyring.ClientTLS)}
}

// Close closes the client's connections.
func (c *Client) Close() error { return c.calls.Close() }

// Submit submits a document and resends it until its outcome is known or the
// context ends. The verdict is VerdictNotRun only if no attempt was proposed to the
// replicated log, and VerdictUnknown if the context ended after an attempt that may
// take effect. Failed calls are reported by the verdict; the error is always nil.
func (c *Client) Submit(ctx context.Context, call pollenwire.SubmitCall) (pollencontrol.Answer, error) {
	return c.call(ctx, pollencall.MethodSubmit, pollenwire.Marshal(&call, pollenwire.MapSubmitCall))
}

// State returns the system's state as confirmed by a quorum, or an error whose cause
// is ErrNoAnswer.
func (c *Client) State(ctx context.Context) (*pollencontrol.State, error) {
	answer, err := c.call(ctx, pollencall.MethodState, nil)
	if err != nil {
		return nil, err
	}
	if answer.State == nil {
		return nil, errors.Wrap(ErrNoAnswer, answer.Reason)
	}
	return answer.State, nil
}

// Repair replaces the replica that lost its data by the one that now runs at the
// same address. It resends the call until its outcome is known or the context ends;
// verdict and error are as for Submit.
func (c *Client) Repair(ctx context.Context, address netip.AddrPort) (pollencontrol.Answer, error) {
	return c.call(ctx, pollencall.MethodRepair, pollenwire.Marshal(&address, pollenwire.MapAddress))
}

// call tries the control hosts in turn until one of them returns an outcome. If an
// answer contains the address of the leader, and it is one of controlHosts, the
// leader is tried next. Once an attempt may have taken effect, a later VerdictNotRun
// of another host does not make the outcome known, so that the result is
// VerdictUnknown.
func (c *Client) call(ctx context.Context, method pollencall.Method, request []byte) (pollencontrol.Answer, error) {
	last := pollencontrol.Answer{Verdict: pollencontrol.VerdictNotRun, Reason: ErrNoAnswer.Error()}
	unknown := false
	var leader netip.AddrPort
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := c.controlHosts[attempt%len(c.controlHosts)]
		if leader.IsValid() && slices.Contains(c.controlHosts, leader) {
			address, leader = leader, netip.AddrPort{}
		}
		answer, err := c.callOnce(ctx, address, method, request)
		switch {
		case errors.Is(err, pollencall.ErrNotSent):
			// The host has not received the call, so the attempt has no effect.
		case err != nil:
			unknown = true
		case answer.Verdict == pollencontrol.VerdictDone || answer.Verdict == pollencontrol.VerdictRefused:
			return answer, nil
		default:
			unknown = unknown || answer.Verdict == pollencontrol.VerdictUnknown
			last = answer
			leader = answer.Leader
			if leader.IsValid() && leader != address {
				continue
			}
		}
		sleep(ctx, retryInterval)
	}
	if unknown {
		last.Verdict = pollencontrol.VerdictUnknown
	}
	return last, nil
}

func (c *Client) callOnce(
	ctx context.Context, address netip.AddrPort, method pollencall.Method, request []byte,
) (answer pollencontrol.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	raw, err := c.calls.Call(ctx, address, method, request)
	if err != nil {
		return answer, err
	}
	err = pollenwire.Unmarshal(raw, &answer, pollenwire.MapOperatorAnswer)
	return answer, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// WaitInForce returns nil once every live member reports the revision. When the
// context ends first, it returns the slow members of the last known state, which
// are none if no state was received: callers have to check the context.
func (c *Client) WaitInForce(ctx context.Context, revision pollenview.Revision) []pollendocument.ServerName {
	var slow []pollendocument.ServerName
	for {
		state, err := c.State(ctx)
		if err == nil {
			slow = SlowMembers(state, revision)
			if len(slow) == 0 {
				return nil
			}
		}
		if ctx.Err() != nil {
			return slow
		}
		sleep(ctx, pollInterval)
	}
}

// SlowMembers returns the names of the live members that do not report the
// revision yet.
func SlowMembers(state *pollencontrol.State, revision pollenview.Revision) []pollendocument.ServerName {
	var names []pollendocument.ServerName
	for _, m := range state.Members {
		if !m.Silent && m.Revision < revision {
			names = append(names, m.Member.Name)
		}
	}
	return names
}
