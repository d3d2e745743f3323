package pollenview

// maxRecentCommands is the number of commands that a Replica retains at least,
// once it has applied that many, so that others can catch up without a full
// view. It retains at most twice as many.
const maxRecentCommands = 1024

// An Update brings a view to a newer revision, either by the commands that
// follow the view or by a full newer view.
type Update struct {
	// FirstRevision is the revision of the first command.
	FirstRevision Revision
	Commands      []Command
	// Full is nil unless the commands are no longer retained.
	Full *View
}

// Empty reports whether the update contains neither commands nor a view.
func (u *Update) Empty() bool { return u.Full == nil && len(u.Commands) == 0 }

// A Replica is a view together with the commands last applied to it. It is not
// safe for concurrent use.
type Replica struct {
	view *View
	// recentCommands holds the last commands; the last one produced the view's
	// revision.
	recentCommands []Command
}

// NewReplica returns a new Replica of the view, which it takes over: the caller
// must not change the view afterwards.
func NewReplica(view *View) *Replica { return &Replica{view: view} }

// View returns the current view, which the caller must not change.
func (r *Replica) View() *View { return r.view }

// Revision returns the revision of the current view.
func (r *Replica) Revision() Revision { return r.view.Revision }

// Apply applies the next command to the view and returns what View.Apply
// returns. It panics when the revision is not the next one.
func (r *Replica) Apply(revision Revision, c Command) (outcome Outcome, submitted bool) {
	before := r.view.Declared.Version
	outcome, submitted = r.view.Apply(revision, &c)
	if c.Kind == CommandDeclare {
		r.dropSuperseded(&c, r.view.Declared.Version > before)
	}
	if len(r.recentCommands) >= 2*maxRecentCommands {
		r.recentCommands = append([]Command(nil), r.recentCommands[len(r.recentCommands)-maxRecentCommands:]...)
	}
	r.recentCommands = append(r.recentCommands, c)
	return outcome, submitted
}

// dropSuperseded removes superseded declarations from the retained commands, and
// the source from the one in force: a whole declaration is large, and a view
// that catches up needs only the one in force.
func (r *Replica) dropSuperseded(c *Command, inForce bool) {
	if !inForce {
		*c = Command{Kind: CommandNone}
		return
	}
	stripped := *c.Declaration
	stripped.Source = nil
	c.Declaration = &stripped
	for i := range r.recentCommands {
		if r.recentCommands[i].Kind == CommandDeclare {
			r.recentCommands[i] = Command{Kind: CommandNone}
		}
	}
}

// UpdateSince returns the update that brings a view at the revision to the
// current one. It is empty for a view that is not older, and contains a full
// view when the missing commands are no longer retained. The source of the
// declaration in force is not included.
func (r *Replica) UpdateSince(from Revision) Update {
	if from >= r.view.Revision {
		return Update{}
	}
	missing := int(r.view.Revision - from)
	if missing > len(r.recentCommands) {
		full := r.view.Clone()
		full.Declared.Source = nil
		return Update{Full: full}
	}
	commands := r.recentCommands[len(r.recentCommands)-missing:]
	return Update{FirstRevision: from + 1, Commands: commands[:len(commands):len(commands)]}
}

// ApplyUpdate applies an update to the view and reports whether the view
// changed. It skips commands that the view already includes. An update that
// starts after the next revision or is older than the view changes nothing. The
// Replica takes over a full view.
func (r *Replica) ApplyUpdate(u Update) (changed bool) {
	if u.Full != nil {
		if u.Full.Revision <= r.view.Revision {
			return false
		}
		r.view = u.Full
		r.recentCommands = nil
		return true
	}
	for i := range u.Commands {
		revision := u.FirstRevision + Revision(i)
		if revision != r.view.Revision+1 {
			continue
		}
		r.Apply(revision, u.Commands[i])
		changed = true
	}
	return changed
}
