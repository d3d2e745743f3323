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

// A memoryFileSystem is a FileSystem in memory. A crash drops a random part of
// what was not synced, and one chosen operation can be made to fail.
type memoryFileSystem struct {
	random *rand.Rand
	// files holds what a reader sees; synced holds what is sure to survive a
	// crash.
	files  map[string][]byte
	synced map[string][]byte
	// untilFault is the number of operations that succeed before one fails;
	// negative means that none fails.
	untilFault int
	// tornWrites makes a failing write leave a random prefix of its data.
	tornWrites bool
}

func newMemoryFileSystem(seed uint64) *memoryFileSystem {
	return &memoryFileSystem{
		random: rand.New(rand.NewPCG(seed, 1)), files: map[string][]byte{}, synced: map[string][]byte{},
		untilFault: -1,
	}
}

// injectFault counts an operation and reports whether it must fail.
func (m *memoryFileSystem) injectFault() bool {
	if m.untilFault < 0 {
		return false
	}
	m.untilFault--
	return m.untilFault < 0
}

// crash drops what was not synced, except for a random prefix of the bytes that
// were appended to a file.
func (m *memoryFileSystem) crash() {
	for name, data := range m.files {
		surviving, ok := m.synced[name]
		if !ok {
			delete(m.files, name)
			continue
		}
		if len(data) > len(surviving) && slices.Equal(data[:len(surviving)], surviving) {
			surviving = data[:len(surviving)+m.random.IntN(len(data)-len(surviving)+1)]
		}
		m.files[name] = slices.Clone(surviving)
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
	m.untilFault = -1
}

func (m *memoryFileSystem) CreateFolder(string) error { return nil }

func (m *memoryFileSystem) ReadFile(path string) ([]byte, error) {
	data, ok := m.files[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(data), nil
}

func (m *memoryFileSystem) Create(path string) (pollenstore.File, error) {
	if m.injectFault() {
		return nil, errInjected
	}
	m.files[path] = nil
	return &memoryFile{memory: m, path: path}, nil
}

func (m *memoryFileSystem) Append(path string) (pollenstore.File, error) {
	if m.injectFault() {
		return nil, errInjected
	}
	if _, ok := m.files[path]; !ok {
		m.files[path] = nil
	}
	return &memoryFile{memory: m, path: path}, nil
}

// Rename is durable only after the folder is synced; until then a crash leaves
// the old file or the new one, at random.
func (m *memoryFileSystem) Rename(from, to string) error {
	if m.injectFault() {
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

func (m *memoryFileSystem) Truncate(path string, size int64) error {
	if m.injectFault() {
		return errInjected
	}
	m.files[path] = slices.Clone(m.files[path][:size])
	m.synced[path] = slices.Clone(m.files[path])
	return nil
}

// SyncFolder makes the present file names durable. A file keeps the content
// that was synced; one that was not synced under its present name becomes
// durable whole.
func (m *memoryFileSystem) SyncFolder(path string) error {
	if m.injectFault() {
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
	memory *memoryFileSystem
	path   string
}

func (f *memoryFile) Write(data []byte) (int, error) {
	if f.memory.injectFault() {
		part := 0
		if f.memory.tornWrites {
			part = f.memory.random.IntN(len(data) + 1)
		}
		f.memory.files[f.path] = append(f.memory.files[f.path], data[:part]...)
		return part, errInjected
	}
	f.memory.files[f.path] = append(f.memory.files[f.path], data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	if f.memory.injectFault() {
		return errInjected
	}
	f.memory.synced[f.path] = slices.Clone(f.memory.files[f.path])
	return nil
}

func (f *memoryFile) Close() error { return nil }

var _ io.WriteCloser = (*memoryFile)(nil)
