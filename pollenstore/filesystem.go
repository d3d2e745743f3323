// Package pollenstore keeps a replica's identity, log and snapshot in one data
// folder. Nothing is acknowledged before it is synced.
package pollenstore

import (
	"io"
	"os"
)

// A FileSystem is the part of the operating system that a Folder uses, so that
// tests can fail any single operation.
type FileSystem interface {
	// MakeFolder makes a folder and its parents; an existing one is kept.
	MakeFolder(path string) error
	// ReadFile returns the content of a file, or an error that matches
	// os.ErrNotExist.
	ReadFile(path string) ([]byte, error)
	// Create makes an empty file open for writing, replacing an older one.
	Create(path string) (File, error)
	// Append opens a file for writing at its end.
	Append(path string) (File, error)
	// Rename replaces the new path by the old one in one step.
	Rename(from, to string) error
	// Truncate cuts a file to the size and syncs it.
	Truncate(path string, size int64) error
	// SyncFolder makes the renames and creations in a folder last.
	SyncFolder(path string) error
}

// A File is open for writing.
type File interface {
	io.WriteCloser
	// Sync returns when everything written lasts.
	Sync() error
}

// A Disk is the FileSystem of the operating system.
type Disk struct{}

// Modes of the files and folders that hold the state.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// MakeFolder implements FileSystem.
func (Disk) MakeFolder(path string) error { return os.MkdirAll(path, folderMode) }

// ReadFile implements FileSystem.
func (Disk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FileSystem.
func (Disk) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename implements FileSystem.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Truncate implements FileSystem.
func (Disk) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// SyncFolder implements FileSystem.
func (Disk) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
