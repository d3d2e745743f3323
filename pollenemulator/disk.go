package pollenemulator

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"

	"pollenstep.example/pollenstep/pollenstore"
)

// A disk is an in-memory pollenstore.FileSystem that models power loss: data that
// was not synced is lost then.
type disk struct {
	random *rand.Rand
	// files holds the content that programs see, by path; synced holds the content
	// that survives a power loss.
	files, synced map[string][]byte
	// full makes writes fail with ENOSPC.
	full bool
}

func newDisk(seed uint64) *disk {
	return &disk{random: rand.New(rand.NewPCG(seed, 3)), files: map[string][]byte{}, synced: map[string][]byte{}}
}

// losePower drops what was not synced. Of data appended to a file since its last
// sync, a prefix of random length survives, as when a disk has written part of it.
func (d *disk) losePower() {
	files := map[string][]byte{}
	for name, content := range d.synced {
		if now := d.files[name]; len(now) > len(content) && slices.Equal(now[:len(content)], content) {
			content = now[:len(content)+d.random.IntN(len(now)-len(content)+1)]
		}
		files[name] = slices.Clone(content)
	}
	d.files, d.synced = files, maps.Clone(files)
}

// erase deletes all files.
func (d *disk) erase() { d.files, d.synced = map[string][]byte{}, map[string][]byte{} }

// writeError returns ENOSPC while the disk is full, and nil otherwise.
func (d *disk) writeError() error {
	if d.full {
		return syscall.ENOSPC
	}
	return nil
}

// CreateFolder implements pollenstore.FileSystem. A disk has no folders.
func (d *disk) CreateFolder(string) error { return nil }

// ReadFile implements pollenstore.FileSystem.
func (d *disk) ReadFile(path string) ([]byte, error) {
	data, ok := d.files[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(data), nil
}

// Create implements pollenstore.FileSystem.
func (d *disk) Create(path string) (pollenstore.File, error) {
	if err := d.writeError(); err != nil {
		return nil, err
	}
	d.files[path] = nil
	return &file{d: d, path: path}, nil
}

// Append implements pollenstore.FileSystem. It succeeds on a full disk, where the
// writes fail.
func (d *disk) Append(path string) (pollenstore.File, error) {
	if _, ok := d.files[path]; !ok {
		d.files[path] = nil
	}
	return &file{d: d, path: path}, nil
}

// Rename implements pollenstore.FileSystem.
func (d *disk) Rename(from, to string) error {
	if err := d.writeError(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Truncate implements pollenstore.FileSystem. The new content counts as synced.
func (d *disk) Truncate(path string, size int64) error {
	d.files[path] = d.files[path][:size]
	d.synced[path] = slices.Clone(d.files[path])
	return nil
}

// SyncFolder implements pollenstore.FileSystem. It makes removals durable, and also
// files that were created, renamed or overwritten, with their current content. Data that
// was only appended to a synced file stays unsynced.
func (d *disk) SyncFolder(string) error {
	for name, data := range d.files {
		if _, ok := d.synced[name]; !ok || len(d.synced[name]) > len(data) || !slices.Equal(data[:len(d.synced[name])], d.synced[name]) {
			d.synced[name] = slices.Clone(data)
		}
	}
	for name := range d.synced {
		if _, ok := d.files[name]; !ok {
			delete(d.synced, name)
		}
	}
	return nil
}

// A file is a pollenstore.File that appends to a file of a disk.
type file struct {
	d    *disk
	path string
}

// Write implements pollenstore.File. The write that meets the end of a full disk is
// carried out in part.
func (f *file) Write(data []byte) (int, error) {
	err := f.d.writeError()
	if err != nil {
		data = data[:f.d.random.IntN(len(data)+1)]
	}
	f.d.files[f.path] = append(f.d.files[f.path], data...)
	return len(data), err
}

// Sync implements pollenstore.File. It succeeds on a full disk, for what was written.
func (f *file) Sync() error {
	f.d.synced[f.path] = slices.Clone(f.d.files[f.path])
	return nil
}

// Close implements pollenstore.File.
func (f *file) Close() error { return nil }
