package pollenpriority

// A Minimum selects one in ten flows of each priority, the first of them included. Its
// zero value is ready for use.
type Minimum struct {
	// passed counts the flows of each priority since the last selected one, that one
	// included; zero selects the next.
	passed map[int]int
}

// Take reports whether the next flow of the priority is selected.
func (m *Minimum) Take(priority int) bool {
	if m.passed == nil {
		m.passed = map[int]int{}
	}
	n := m.passed[priority]
	m.passed[priority] = (n + 1) % minimumInterval
	return n == 0
}
