package memory

import (
	"io"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// errNoSpace is the error of a full disk.
var errNoSpace = errors.WithStack(syscall.ENOSPC)

// errStopped is the error of a change after the process was stopped.
var errStopped = errors.New("the process has stopped")

// errCrashed is the error of a file that was opened before a crash.
var errCrashed = errors.New("the file was open when the folder crashed")

type file struct {
	folder  *Folder
	content *fileContent
	read    int
	crashes int
}

// Read reads from the current read offset, at first the start.
func (f *file) Read(p []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.read >= len(f.content.data) {
		return 0, io.EOF
	}
	n := copy(p, f.content.data[f.read:])
	f.read += n
	return n, nil
}

// Write appends to the file, up to the free space of the folder.
func (f *file) Write(p []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.crashes != f.folder.crashes {
		return 0, errCrashed
	}
	if f.folder.writeErr != nil {
		return 0, f.folder.writeErr
	}
	if err := f.folder.change(); err != nil {
		return 0, err
	}
	n := len(p)
	if f.folder.freeBytes >= 0 && n > f.folder.freeBytes {
		n = f.folder.freeBytes
	}
	f.content.data = append(f.content.data, p[:n]...)
	if f.folder.freeBytes >= 0 {
		f.folder.freeBytes -= n
	}
	if n < len(p) {
		return n, errNoSpace
	}
	return n, nil
}

// Sync makes the content durable.
func (f *file) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.crashes != f.folder.crashes {
		return errCrashed
	}
	if f.folder.syncErr != nil {
		return f.folder.syncErr
	}
	if err := f.folder.change(); err != nil {
		return err
	}
	f.content.synced = f.content.data[:len(f.content.data):len(f.content.data)]
	return nil
}

// Truncate shortens the file to a size.
func (f *file) Truncate(size int64) error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.folder.change(); err != nil {
		return err
	}
	f.content.data = slices.Clone(f.content.data[:size])
	return nil
}

// Close closes the file.
func (f *file) Close() error { return nil }
