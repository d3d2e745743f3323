package pollenlog

import "github.com/pkg/errors"

// Reasons for which a Node rejects a proposal, a membership change or a read.
// Nothing was appended.
var (
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrNoQuorum is also the error of a read at a leader that has not yet
	// committed an entry of its own term.
	ErrNoQuorum       = errors.New("leader has lost contact with the quorum")
	ErrChangePending  = errors.New("a membership change is still being committed")
	ErrTransferring   = errors.New("leadership is being transferred")
	ErrUnknownReplica = errors.New("replica is not in the membership")
	ErrLastVoter      = errors.New("the last voter cannot be removed")
	ErrAlreadyMember  = errors.New("replica is already in the membership")
)
