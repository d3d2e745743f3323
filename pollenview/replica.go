package pollenview

// maxRecent bounds the commands that a Replica keeps for others to catch up
// with.
const maxRecent = 1024

// An Update brings a view forward: either by the commands that follow it, or
// by a whole newer view.
type Update struct {
	// First is the revision of the first command.
	FirstRevision Revision
	Commands      []Command
	// Full is nil unless the commands are no longer held.
	Full *View
}

// Empty reports whether the update brings nothing.
func (u *Update) Empty() bool { return u.Full == nil && len(u.Commands) == 0 }

// A Replica is a view together with the commands that last changed it. It is
// not safe for concurrent use.
type Replica struct {
	view *View
	// recent holds the last commands; the last one made the view's revision.
	recent []Command
}

// NewReplica returns a new Replica of the view, which it owns from then on.
func NewReplica(view *View) *Replica { return &Replica{view: view} }

// View returns the present view, which the caller must not change.
func (r *Replica) View() *View { return r.view }

// Revision returns the revision of the present view.
func (r *Replica) Revision() Revision { return r.view.Revision }

// Apply folds the next command into the view.
func (r *Replica) Apply(at Revision, c Command) (outcome Outcome, submitted bool) {
	before := r.view.Declared.Version
	outcome, submitted = r.view.Apply(at, &c)
	if c.Kind == CommandDeclare {
		r.dropOvertaken(&c, r.view.Declared.Version > before)
	}
	if len(r.recent) >= 2*maxRecent {
		r.recent = append([]Command(nil), r.recent[len(r.recent)-maxRecent:]...)
	}
	r.recent = append(r.recent, c)
	return outcome, submitted
}

// dropOvertaken frees the declarations that no view will show again: a whole
// declaration is large, and only the one in force matters to a view that
// catches up.
func (r *Replica) dropOvertaken(c *Command, inForce bool) {
	if !inForce {
		*c = Command{Kind: CommandNone}
		return
	}
	stripped := *c.Declaration
	stripped.Source = nil
	c.Declaration = &stripped
	for i := range r.recent {
		if r.recent[i].Kind == CommandDeclare {
			r.recent[i] = Command{Kind: CommandNone}
		}
	}
}

// UpdateSince returns what a view at the revision lacks.
func (r *Replica) UpdateSince(from Revision) Update {
	if from >= r.view.Revision {
		return Update{}
	}
	missing := int(r.view.Revision - from)
	if missing > len(r.recent) {
		full := r.view.Clone()
		full.Declared.Source = nil
		return Update{Full: full}
	}
	commands := r.recent[len(r.recent)-missing:]
	return Update{FirstRevision: from + 1, Commands: commands[:len(commands):len(commands)]}
}

// ApplyUpdate folds an update into the view and reports whether the view changed.
// What the view holds already is skipped; an update that leaves a gap or is
// older changes nothing.
func (r *Replica) ApplyUpdate(u Update) (changed bool) {
	if u.Full != nil {
		if u.Full.Revision <= r.view.Revision {
			return false
		}
		r.view = u.Full
		r.recent = nil
		return true
	}
	for i := range u.Commands {
		at := u.FirstRevision + Revision(i)
		if at != r.view.Revision+1 {
			continue
		}
		r.Apply(at, u.Commands[i])
		changed = true
	}
	return changed
}
