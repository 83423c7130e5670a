package command

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
)

// Backup writes the state of a data folder to a file.
type Backup struct {
	Data string `arg:"" help:"Data folder." type:"existingdir"`
	File string `arg:"" help:"File to write; it must not exist."`
}

// Run writes the backup file and syncs it.
func (c *Backup) Run(w io.Writer) error {
	contents, err := openFolder(c.Data)
	if err != nil {
		return err
	}
	machine, last, err := replay(contents)
	if err != nil {
		return err
	}
	if last.State, err = machine.Snapshot(); err != nil {
		return err
	}
	data, err := disk.EncodeSnapshot(last)
	if err != nil {
		return err
	}
	if err := createFile(c.File, data); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s holds the state up to entry %d of term %d\n", c.File, last.GetIndex(), last.GetTerm())
	return nil
}

func createFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "create backup")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write backup")
}
