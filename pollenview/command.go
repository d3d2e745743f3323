package pollenview

import (
	"fmt"
	"slices"

	"pollenstep.example/pollenstep/pollendocument"
)

// A CommandKind says what a committed command changes.
type CommandKind string

// Kinds of commands.
const (
	// CommandNone changes nothing; leaders commit one when they take over.
	CommandNone    CommandKind = "none"
	CommandSubmit  CommandKind = "submit"
	CommandMembers CommandKind = "members"
	CommandLedgers CommandKind = "ledgers"
	// CommandDeclare puts a declaration in force if its version is the highest.
	CommandDeclare CommandKind = "declare"
	// CommandEvacuate says whether a failure domain gets new flows.
	CommandEvacuate CommandKind = "empty"
)

// A Command is one entry of the replicated log. Only the field of its kind is
// set.
type Command struct {
	Kind       CommandKind
	Submission Submission
	Joins      []Member
	// Leaves names the incarnations that are no longer members.
	Leaves  []ReplicaRef
	Ledgers []LedgerChange
	// Declaration is nil except for CommandDeclare.
	Declaration *pollendocument.Declaration
	Evacuation  Evacuation
}

// An Evacuation takes a failure domain out or back by its name alone, without a
// document.
type Evacuation struct {
	Domain pollendocument.DomainName
	// Evacuated is false when the domain is taken back.
	Evacuated bool
}

// A LedgerChange replaces the ledger group of a service.
type LedgerChange struct {
	Service pollendocument.ServiceName
	// Epoch is the epoch of the new group; the change is void unless it is one
	// more than the current one.
	Epoch    uint64
	Replicas []ReplicaRef
}

// A Submission is an operator's change of one or more sections.
type Submission struct {
	// ID is drawn by the operator's client; a submission with a known ID
	// changes nothing and gets the first outcome again.
	ID string
	// By names who submitted.
	Submitter string
	Changes   []SectionChange
}

// A SectionChange is the difference to one section.
type SectionChange struct {
	Team pollendocument.Team
	// Base is the version that the operator edited.
	BaseVersion uint64
	// Upserts holds the domains, services and servers that are new or changed.
	Upserts pollendocument.Section
	// Removals names the fields that are gone, in the form of
	// pollendocument.Diff.
	Removals []string
}

// An OutcomeState says how a submission ended.
type OutcomeState string

// States of an outcome.
const (
	OutcomeAccepted OutcomeState = "accepted"
	// OutcomeConflict means that a section had another version than the one
	// that was edited.
	OutcomeConflict OutcomeState = "conflict"
	// OutcomeInvalid means that the document would contradict itself.
	OutcomeInvalid OutcomeState = "invalid"
)

// An Outcome is the final answer to a submission.
type Outcome struct {
	ID        string
	Submitter string
	State     OutcomeState
	Revision  Revision
	// Sections names, for a conflict, what each contested section holds now.
	Sections []SectionVersion
	// ValidationErrors lists, for an invalid document, its contradictions.
	ValidationErrors string
}

// A SectionVersion describes the section that a submission lost against.
type SectionVersion struct {
	Team      pollendocument.Team
	Version   uint64
	Hash      string
	Submitter string
	// Fields names what differs between the winner and the loser.
	Fields []string
}

// Apply folds the command committed at the revision into the view. Revisions
// are applied in order, each one more than the last; Apply panics otherwise,
// since going on would break that views agree.
func (v *View) Apply(at Revision, c *Command) (outcome Outcome, submitted bool) {
	if at != v.Revision+1 {
		panic(fmt.Sprintf("command %d applied to view %d", at, v.Revision))
	}
	v.Revision = at
	switch c.Kind {
	case CommandSubmit:
		return v.applySubmission(at, &c.Submission), true
	case CommandMembers:
		v.applyMembers(c)
	case CommandLedgers:
		v.applyLedgers(c.Ledgers)
	case CommandDeclare:
		if c.Declaration.Version > v.Declared.Version {
			v.Declared = *c.Declaration
		}
	case CommandEvacuate:
		v.applyEmptying(c.Evacuation)
	case CommandNone:
	}
	return Outcome{}, false
}

func (v *View) applyMembers(c *Command) {
	for _, r := range c.Leaves {
		if v.Live(r) {
			delete(v.Members, r.Name)
		}
	}
	for _, m := range c.Joins {
		v.Members[m.Name] = m
	}
}

func (v *View) applyEmptying(e Evacuation) {
	at, found := slices.BinarySearch(v.Evacuated, e.Domain)
	switch {
	case e.Evacuated && !found:
		v.Evacuated = slices.Insert(slices.Clone(v.Evacuated), at, e.Domain)
	case !e.Evacuated && found:
		v.Evacuated = slices.Delete(slices.Clone(v.Evacuated), at, at+1)
	}
}

func (v *View) applyLedgers(changes []LedgerChange) {
	for _, l := range changes {
		group := v.Ledgers[l.Service]
		if l.Epoch != group.Epoch+1 {
			continue
		}
		previous := group.Replicas
		if len(previous) == 0 {
			previous = group.Previous
		}
		v.Ledgers[l.Service] = LedgerGroup{Epoch: l.Epoch, Replicas: l.Replicas, Previous: previous}
	}
}

func (v *View) applySubmission(at Revision, s *Submission) Outcome {
	if known, ok := v.Outcome(s.ID); ok {
		return known
	}
	outcome := Outcome{ID: s.ID, Submitter: s.Submitter, State: OutcomeAccepted, Revision: at}
	var changes []SectionVersion
	next := pollendocument.Document{Sections: slices.Clone(v.Document.Sections)}
	for i := range s.Changes {
		change := &s.Changes[i]
		current := sectionOrEmpty(&next, change.Team)
		changed := change.merge(&current)
		fields := pollendocument.DiffSections(&current, &changed)
		if len(fields) == 0 {
			continue
		}
		if current.Version != change.BaseVersion {
			outcome.State = OutcomeConflict
			outcome.Sections = append(outcome.Sections, SectionVersion{
				Team: change.Team, Version: current.Version, Hash: current.Hash(),
				Submitter: v.lastSubmitter(change.Team), Fields: fields,
			})
			continue
		}
		changed.Version = change.BaseVersion + 1
		next.Put(changed)
		changes = append(changes, SectionVersion{Team: change.Team, Version: changed.Version, Submitter: s.Submitter})
	}
	if outcome.State == OutcomeAccepted {
		if conflicts := next.Check(); len(conflicts) > 0 {
			outcome.State = OutcomeInvalid
			outcome.ValidationErrors = pollendocument.FormatConflicts(conflicts)
		}
	}
	if outcome.State == OutcomeAccepted {
		v.Document = next
		outcome.Sections = changes
	}
	v.remember(outcome)
	return outcome
}

// lastSubmitter returns who last changed a section, as far as remembered.
func (v *View) lastSubmitter(team pollendocument.Team) string {
	for i := len(v.Outcomes) - 1; i >= 0; i-- {
		if v.Outcomes[i].State != OutcomeAccepted {
			continue
		}
		for _, w := range v.Outcomes[i].Sections {
			if w.Team == team {
				return v.Outcomes[i].Submitter
			}
		}
	}
	return ""
}

func (v *View) remember(o Outcome) {
	if len(v.Outcomes) >= maxOutcomes {
		v.Outcomes = slices.Delete(v.Outcomes, 0, len(v.Outcomes)-maxOutcomes+1)
	}
	v.Outcomes = append(v.Outcomes, o)
}

func sectionOrEmpty(d *pollendocument.Document, team pollendocument.Team) pollendocument.Section {
	if s := d.Section(team); s != nil {
		return *s
	}
	return pollendocument.Section{Team: team}
}
