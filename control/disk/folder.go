package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/pkg/errors"
)

// OSFolder is a data folder in the file system.
type OSFolder struct {
	path string
}

// NewOSFolder returns the folder at a path and creates it if it is missing.
func NewOSFolder(path string) (*OSFolder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	return &OSFolder{path: path}, nil
}

func (f *OSFolder) pathOf(name string) string { return filepath.Join(f.path, name) }

// Lock takes an advisory lock, which the kernel releases when the process ends.
func (f *OSFolder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.pathOf(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "data folder %s is used by another process", f.path)
	}
	return file, nil
}

// Open opens a file for reading from its start and for appending.
func (f *OSFolder) Open(name string) (File, error) {
	return os.OpenFile(f.pathOf(name), os.O_RDWR|os.O_APPEND, 0o600)
}

// Create creates an empty file.
func (f *OSFolder) Create(name string) (File, error) {
	return os.OpenFile(f.pathOf(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename renames a file and replaces an existing one.
func (f *OSFolder) Rename(from, to string) error { return os.Rename(f.pathOf(from), f.pathOf(to)) }

// Remove removes a file.
func (f *OSFolder) Remove(name string) error { return os.Remove(f.pathOf(name)) }

// Names lists the files in lexical order.
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

// Sync syncs the directory itself.
func (f *OSFolder) Sync() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
