package pollenstore_test

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"pollenstep.example/pollenstep/pollenstore"
)

var errInjected = errors.New("injected fault")

// memory is a file system in memory that loses, at a crash, a random part of
// what was not synced, and fails the operation at a chosen position.
type memory struct {
	random *rand.Rand
	// files holds what the operating system shows; synced holds what a crash
	// leaves for sure.
	files  map[string][]byte
	synced map[string][]byte
	// operations counts down to the fault; negative means none.
	operations int
	// torn makes a failing write leave a part of itself.
	torn bool
}

func newMemory(seed uint64) *memory {
	return &memory{
		random: rand.New(rand.NewPCG(seed, 1)), files: map[string][]byte{}, synced: map[string][]byte{},
		operations: -1,
	}
}

func (m *memory) fault() bool {
	if m.operations < 0 {
		return false
	}
	m.operations--
	return m.operations < 0
}

// crash forgets what was not synced, except for a random prefix of what was
// appended to a file.
func (m *memory) crash() {
	for name, data := range m.files {
		kept, ok := m.synced[name]
		if !ok {
			delete(m.files, name)
			continue
		}
		if len(data) > len(kept) && slices.Equal(data[:len(kept)], kept) {
			kept = data[:len(kept)+m.random.IntN(len(data)-len(kept)+1)]
		}
		m.files[name] = slices.Clone(kept)
	}
	for name, data := range m.synced {
		if _, ok := m.files[name]; !ok {
			m.files[name] = slices.Clone(data)
		}
	}
	m.synced = map[string][]byte{}
	for name, data := range m.files {
		m.synced[name] = slices.Clone(data)
	}
	m.operations = -1
}

func (m *memory) MakeFolder(string) error { return nil }

func (m *memory) ReadFile(path string) ([]byte, error) {
	data, ok := m.files[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(data), nil
}

func (m *memory) Create(path string) (pollenstore.File, error) {
	if m.fault() {
		return nil, errInjected
	}
	m.files[path] = nil
	return &memoryFile{memory: m, path: path}, nil
}

func (m *memory) Append(path string) (pollenstore.File, error) {
	if m.fault() {
		return nil, errInjected
	}
	if _, ok := m.files[path]; !ok {
		m.files[path] = nil
	}
	return &memoryFile{memory: m, path: path}, nil
}

// Rename lasts only once the folder is synced; before that a crash shows the
// old file or the new one.
func (m *memory) Rename(from, to string) error {
	if m.fault() {
		return errInjected
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	if m.random.IntN(2) == 0 {
		m.synced[to] = slices.Clone(m.synced[from])
		delete(m.synced, from)
	}
	return nil
}

func (m *memory) Truncate(path string, size int64) error {
	if m.fault() {
		return errInjected
	}
	m.files[path] = slices.Clone(m.files[path][:size])
	m.synced[path] = slices.Clone(m.files[path])
	return nil
}

// SyncFolder makes the present names last with what was synced of each file.
func (m *memory) SyncFolder(path string) error {
	if m.fault() {
		return errInjected
	}
	for name, data := range m.files {
		if filepath.Dir(name) != path {
			continue
		}
		if _, ok := m.synced[name]; !ok || !hasPrefix(data, m.synced[name]) {
			m.synced[name] = slices.Clone(data)
		}
	}
	for name := range m.synced {
		if _, ok := m.files[name]; !ok {
			delete(m.synced, name)
		}
	}
	return nil
}

func hasPrefix(data, prefix []byte) bool {
	return len(data) >= len(prefix) && slices.Equal(data[:len(prefix)], prefix)
}

type memoryFile struct {
	memory *memory
	path   string
}

func (f *memoryFile) Write(data []byte) (int, error) {
	if f.memory.fault() {
		part := 0
		if f.memory.torn {
			part = f.memory.random.IntN(len(data) + 1)
		}
		f.memory.files[f.path] = append(f.memory.files[f.path], data[:part]...)
		return part, errInjected
	}
	f.memory.files[f.path] = append(f.memory.files[f.path], data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	if f.memory.fault() {
		return errInjected
	}
	f.memory.synced[f.path] = slices.Clone(f.memory.files[f.path])
	return nil
}

func (f *memoryFile) Close() error { return nil }

var _ io.WriteCloser = (*memoryFile)(nil)
