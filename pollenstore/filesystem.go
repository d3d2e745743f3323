// Package pollenstore stores a replica's identity, log and snapshot in one data
// folder. A write is acknowledged only after it is synced to disk.
package pollenstore

import (
	"io"
	"os"
)

// A FileSystem holds the file operations that a Folder uses. It is an interface
// so that tests can make any single operation fail.
type FileSystem interface {
	// CreateFolder creates a folder and its parents. It succeeds when the folder
	// exists.
	CreateFolder(path string) error
	// ReadFile returns the content of a file, or an error that matches
	// os.ErrNotExist when there is no such file.
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one, and opens it
	// for writing.
	Create(path string) (File, error)
	// Append opens a file for writing at its end, and creates it when it does
	// not exist.
	Append(path string) (File, error)
	// Rename atomically moves a file and replaces the file at the new path.
	Rename(from, to string) error
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(path string, size int64) error
	// SyncFolder makes the renames and creations in a folder durable.
	SyncFolder(path string) error
}

// A File is open for writing.
type File interface {
	io.WriteCloser
	// Sync returns when everything written is durable.
	Sync() error
}

// Disk is the FileSystem of the operating system.
type Disk struct{}

// Permissions of the files and folders that hold the state.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// CreateFolder implements FileSystem.
func (Disk) CreateFolder(path string) error { return os.MkdirAll(path, folderMode) }

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
