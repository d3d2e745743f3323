package pollenstore

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollenwire"
)

// checkpointFile is the name of the file in a data folder that holds the checkpoints of
// gates. No other file refers to it.
const checkpointFile = "checkpoints"

// WriteCheckpoints replaces the checkpoints in a data folder, which it creates if
// needed. After an error the folder holds the earlier or the new ones.
func WriteCheckpoints(files FileSystem, folder string, all []pollencheckpoint.Checkpoint) error {
	if err := files.CreateFolder(folder); err != nil {
		return errors.Wrapf(err, "create data folder %s", folder)
	}
	payload := pollenwire.Marshal(&all, pollenwire.MapCheckpoints)
	return replaceFile(files, folder, checkpointFile, appendFrame(nil, payload))
}

// ReadCheckpoints returns the checkpoints in a data folder, and none if the file does not
// exist. The cause of the error about a damaged file is ErrCorrupt.
func ReadCheckpoints(files FileSystem, folder string) ([]pollencheckpoint.Checkpoint, error) {
	path := filepath.Join(folder, checkpointFile)
	data, err := files.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read checkpoints")
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return nil, errors.Wrapf(ErrCorrupt, "%s", path)
	}
	var all []pollencheckpoint.Checkpoint
	if err := pollenwire.Unmarshal(payload, &all, pollenwire.MapCheckpoints); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "%s: %s", path, err)
	}
	return all, nil
}
