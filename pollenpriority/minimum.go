package pollenpriority

// maxSaved bounds the selections of a priority that are saved for callers below their share.
const maxSaved = 4

// A Minimum selects one in ten flows of each priority, the first of them included. Its
// zero value is ready for use.
type Minimum struct {
	states map[int]minimumState
}

// A minimumState is the state of one priority.
type minimumState struct {
	// passed counts the flows since the last one whose turn it was, that one included; zero
	// means that it is the next one's turn.
	passed int
	// saved is the number of turns that flows of callers above their share did not get; it
	// is at most maxSaved.
	saved int
}

// Take reports whether the next flow of the priority is selected.
func (m *Minimum) Take(priority int) bool {
	s, turn := m.next(priority)
	if !turn && s.saved > 0 {
		s.saved--
		turn = true
	}
	m.states[priority] = s
	return turn
}

// TakeAbove is Take for a flow of a caller above its share. Its turn is saved for the flows
// of others, unless they have left maxSaved turns unused: the minimum is always given.
func (m *Minimum) TakeAbove(priority int) bool {
	s, turn := m.next(priority)
	if turn && s.saved < maxSaved {
		s.saved++
		turn = false
	}
	m.states[priority] = s
	return turn
}

// next returns the state of the priority after its next flow, and whether it was that flow's
// turn.
func (m *Minimum) next(priority int) (s minimumState, turn bool) {
	if m.states == nil {
		m.states = map[int]minimumState{}
	}
	s = m.states[priority]
	turn = s.passed == 0
	s.passed = (s.passed + 1) % minimumInterval
	return s, turn
}
