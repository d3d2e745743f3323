package pollennode

import (
	"net/netip"
	"slices"

	"pollenstep.example/pollenstep/pollenlink"
)

// callTargets chooses the control host for each try of an operator's call.
type callTargets struct {
	// hint is the leader that the last answer named; invalid if it named none.
	hint netip.AddrPort
	// silent is the host that did not answer the last try; invalid if it answered.
	silent netip.AddrPort
	// tried is the number of replicas that were asked because no leader was known.
	tried int
}

// next returns the host for the next try: the leader that the last answer named,
// else the leader that this process knows, else the next replica in turn, which
// answers who leads. A host that did not answer is not tried twice in a row while
// another replica is known. The result is invalid if there is no host to try.
func (t *callTargets) next(leader netip.AddrPort, replicas []netip.AddrPort) netip.AddrPort {
	hint := t.hint
	t.hint = netip.AddrPort{}
	switch {
	case hint.IsValid():
		return hint
	case leader.IsValid() && leader != t.silent:
		return leader
	}
	others := slices.DeleteFunc(slices.Clone(replicas), func(a netip.AddrPort) bool { return a == t.silent })
	if len(others) == 0 {
		return leader
	}
	t.tried++
	return others[(t.tried-1)%len(others)]
}

// timedOut records that the target did not answer.
func (t *callTargets) timedOut(target netip.AddrPort) { t.silent = target }

// answered records the answer of the target to a call that it did not decide, and
// reports whether the target is not the leader.
func (t *callTargets) answered(target netip.AddrPort, a *pollenlink.Answer) (notLeader bool) {
	t.silent = netip.AddrPort{}
	if a.Leader == target {
		return false
	}
	t.hint = a.Leader
	return true
}
