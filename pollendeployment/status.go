package pollendeployment

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// A Status is the part of the status command's JSON output that is used here.
type Status struct {
	Revision uint64          `json:"revision"`
	Leader   string          `json:"leader"`
	Control  []StatusReplica `json:"control"`
	Members  []StatusMember  `json:"members"`
}

// A StatusReplica is one control host of a Status.
type StatusReplica struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// Voters returns the number of control hosts that vote.
func (s *Status) Voters() int {
	n := 0
	for _, r := range s.Control {
		if r.State == "voter" || r.State == "leader" {
			n++
		}
	}
	return n
}

// A StatusMember is one member of a Status.
type StatusMember struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Lag      uint64 `json:"lag"`
}

// Active returns the number of members that are active.
func (s *Status) Active() int {
	n := 0
	for _, m := range s.Members {
		if m.State == "active" {
			n++
		}
	}
	return n
}

// Status runs the status command with a maximum wait of 2 s.
func (s *System) Status(ctx context.Context) (*Status, error) {
	text, code, err := s.RunCommand(ctx, "status", "--output", "json", "--wait", "2s")
	if err != nil || code != 0 {
		return nil, errors.Errorf("status: exit %d: %v: %s", code, err, text)
	}
	var status Status
	return &status, json.Unmarshal([]byte(text), &status)
}
