package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/pkg/errors"
)

// OSFolder is a data folder of the operating system.
type OSFolder struct {
	path string
}

// NewOSFolder returns the folder at a path, which is made if it is missing.
func NewOSFolder(path string) (*OSFolder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	return &OSFolder{path: path}, nil
}

func (f *OSFolder) at(name string) string { return filepath.Join(f.path, name) }

// Lock takes an advisory lock that ends with the process.
func (f *OSFolder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.at(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "data folder %s is used by another process", f.path)
	}
	return file, nil
}

// Open opens a file to read it from its start and to write at its end.
func (f *OSFolder) Open(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_RDWR|os.O_APPEND, 0o600)
}

// Create makes an empty file.
func (f *OSFolder) Create(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename renames a file over another.
func (f *OSFolder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

// Remove removes a file.
func (f *OSFolder) Remove(name string) error { return os.Remove(f.at(name)) }

// Names lists the files in order.
func (f *OSFolder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, nil
}

// Sync syncs the folder itself.
func (f *OSFolder) Sync() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
