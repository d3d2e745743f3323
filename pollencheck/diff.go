package pollencheck

import (
	"errors"
	"fmt"
)

// A ChangeKind specifies what happens to an entry.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// An Effect describes what a change does to open flows.
type Effect string

// Effects of changes on open flows.
const (
	// EffectNone is for changes that only concern new flows or requests.
	EffectNone Effect = "open flows stay as they are"
	// EffectMove is for changes of where new flows are placed.
	EffectMove Effect = "open flows stay at their gate, only new flows move"
	// EffectEnd is for changes after which the flows of the entry have no address,
	// service or failure domain.
	EffectEnd Effect = "open flows end"
	// EffectNew is for entries that had no flows.
	EffectNew Effect = "only new flows are concerned"
)

// A FieldChange is a field whose value differs. Old is empty for an entry that is
// added, and New for one that is removed.
type FieldChange struct{ Field, Old, New string }

// A Change is an entry that differs between two versions of a document.
type Change struct {
	// Section and Entry are those of a Finding.
	Section, Entry string
	Kind           ChangeKind
	// Fields are in the order of the document's form.
	Fields []FieldChange
	Effect Effect
}

// String returns the change on one line.
func (c *Change) String() string {
	text := fmt.Sprintf("%s %s %s:", c.Kind, c.Section, c.Entry)
	for _, f := range c.Fields {
		switch c.Kind {
		case ChangeAdded:
			text += fmt.Sprintf(" %s %s,", f.Field, f.New)
		case ChangeRemoved:
			text += fmt.Sprintf(" %s %s,", f.Field, f.Old)
		default:
			text += fmt.Sprintf(" %s %s -> %s,", f.Field, f.Old, f.New)
		}
	}
	return text[:len(text)-1] + "; " + string(c.Effect)
}

// ErrForms is returned for two documents of different forms.
var ErrForms = errors.New("one document holds teams' sections and the other is a declaration, so that they cannot be compared")

// Diff returns the changes that lead from the old version to the new one. Both have to
// be valid.
func Diff(old, changed *Input) ([]Change, error) {
	switch {
	case old.Document != nil && changed.Document != nil:
		return diffDocuments(old.Document, changed.Document), nil
	case old.Declaration != nil && changed.Declaration != nil:
		return diffDeclarations(old.Declaration, changed.Declaration), nil
	default:
		return nil, ErrForms
	}
}

// A field is the name and the text of one value of an entry.
type field struct{ name, value string }

// A kindOfEntry describes how the entries of a list are compared.
type kindOfEntry[K comparable, T any] struct {
	section string
	// key identifies an entry in both versions, and name is that of a Finding.
	key    func(*T) K
	name   func(*T) string
	fields func(*T) []field
	// added, removed and changed return the effect on open flows.
	added   Effect
	removed Effect
	changed func(old, changed *T) Effect
}

// appendChanges appends the changes between two lists: first the added and changed
// entries in the order of the new list, then the removed ones in the order of the old.
func appendChanges[K comparable, T any](changes []Change, kind kindOfEntry[K, T], old, changed []T) []Change {
	oldEntries := make(map[K]*T, len(old))
	for i := range old {
		oldEntries[kind.key(&old[i])] = &old[i]
	}
	for i := range changed {
		entry := &changed[i]
		c := Change{Section: kind.section, Entry: kind.name(entry), Kind: ChangeAdded, Effect: kind.added}
		previous := oldEntries[kind.key(entry)]
		delete(oldEntries, kind.key(entry))
		if previous == nil {
			c.Fields = compareFields(nil, kind.fields(entry))
		} else {
			c.Kind = ChangeChanged
			if c.Fields = compareFields(kind.fields(previous), kind.fields(entry)); len(c.Fields) == 0 {
				continue
			}
			c.Effect = kind.changed(previous, entry)
		}
		changes = append(changes, c)
	}
	for i := range old {
		entry := &old[i]
		if _, removed := oldEntries[kind.key(entry)]; removed {
			changes = append(changes, Change{
				Section: kind.section, Entry: kind.name(entry), Kind: ChangeRemoved, Effect: kind.removed,
				Fields: compareFields(kind.fields(entry), nil),
			})
		}
	}
	return changes
}

// compareFields returns the fields that differ. Both lists have the same names in the
// same order, or one is empty.
func compareFields(old, changed []field) []FieldChange {
	var fields []FieldChange
	for i := range max(len(old), len(changed)) {
		var c FieldChange
		if i < len(old) {
			c.Field, c.Old = old[i].name, old[i].value
		}
		if i < len(changed) {
			c.Field, c.New = changed[i].name, changed[i].value
		}
		if c.Old != c.New || len(old) == 0 || len(changed) == 0 {
			fields = append(fields, c)
		}
	}
	return fields
}
