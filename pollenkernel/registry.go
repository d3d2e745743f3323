package pollenkernel

import (
	"fmt"
	"slices"
	"sync"
)

// A Registry holds the named implementations of one policy. It is safe for
// concurrent use.
type Registry[T any] struct {
	// kind names the policy in errors.
	kind string

	mu sync.RWMutex
	// entries are sorted by ascending priority, then by name; names are unique.
	entries []registration[T]
}

type registration[T any] struct {
	name     string
	priority int
	value    T
}

// NewRegistry returns an empty Registry for the policy that kind names in
// errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind}
}

// Register adds an implementation. Names lists lower priorities first. Register
// panics if the name is already registered, which is a programming error.
func (r *Registry[T]) Register(name string, priority int, value T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.name == name {
			panic(fmt.Sprintf("%s %q is registered twice", r.kind, name))
		}
	}
	r.entries = append(r.entries, registration[T]{name: name, priority: priority, value: value})
	slices.SortFunc(r.entries, func(a, b registration[T]) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
}

// Lookup returns the implementation called name, or an error that lists the
// registered names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, e := range r.entries {
		if e.name == name {
			return e.value, nil
		}
	}
	var zero T
	return zero, fmt.Errorf("%s %q is not registered; registered are %q", r.kind, name, r.names())
}

// Names returns the registered names by ascending priority, then by name.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.entries))
	for _, e := range r.entries {
		names = append(names, e.name)
	}
	return names
}
