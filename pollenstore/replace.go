package pollenstore

import (
	"path/filepath"

	"github.com/pkg/errors"
)

// replaceFile atomically replaces a file of a folder: it writes and syncs a temporary
// file, renames it and syncs the folder.
func replaceFile(files FileSystem, folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	file, err := files.Create(path + temporarySuffix)
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "write %s", name)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "sync %s", name)
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "close %s", name)
	}
	if err := files.Rename(path+temporarySuffix, path); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	return errors.Wrap(files.SyncFolder(folder), "sync data folder")
}
