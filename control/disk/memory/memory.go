// Package memory is a data folder in memory that forgets, like a disk after a
// power failure, what was not synced. It fails on demand.
//
// Usage:
//
//	folder := memory.New()
//	store, saved, err := disk.Open(folder)
//	folder.Crash(func(unsynced int) int { return 0 })
package memory

import (
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
)

// Folder is a data folder in memory.
type Folder struct {
	mu       sync.Mutex
	names    map[string]*content // as the process sees them
	durable  map[string]*content // as they are after a crash
	locked   bool
	crashes  int
	writeErr error
	syncErr  error
	room     int // bytes until the disk is full, negative without limit
}

// content is one file.
type content struct {
	data   []byte
	synced []byte
}

// New returns an empty folder.
func New() *Folder {
	return &Folder{names: map[string]*content{}, durable: map[string]*content{}, room: -1}
}

// Crash forgets what was not synced. Of the bytes appended to a file since its
// last sync, keep decides how many survive.
func (f *Folder) Crash(keep func(unsynced int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		c := f.names[name]
		survived := slices.Clone(c.synced)
		if len(c.data) > len(c.synced) {
			tail := c.data[len(c.synced):]
			survived = append(survived, tail[:keep(len(tail))]...)
		}
		c.data, c.synced = survived, slices.Clone(survived)
	}
	f.locked = false
	f.crashes++
}

// FailWrites makes each further write fail.
func (f *Folder) FailWrites(err error) { f.mu.Lock(); f.writeErr = err; f.mu.Unlock() }

// FailSyncs makes each further sync fail.
func (f *Folder) FailSyncs(err error) { f.mu.Lock(); f.syncErr = err; f.mu.Unlock() }

// SetFreeSpace sets how many bytes can still be written.
func (f *Folder) SetFreeSpace(bytes int) { f.mu.Lock(); f.room = bytes; f.mu.Unlock() }

// Corrupt flips the bits of one byte of a file.
func (f *Folder) Corrupt(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.names[name]
	c.data[offset] ^= 0xff
	c.synced = slices.Clone(c.data)
}

// Size returns a file's size.
func (f *Folder) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.names[name].data)
}

type lock struct {
	folder  *Folder
	crashes int
}

// Close gives the folder free.
func (l *lock) Close() error {
	l.folder.mu.Lock()
	defer l.folder.mu.Unlock()
	if l.crashes == l.folder.crashes {
		l.folder.locked = false
	}
	return nil
}

// Lock takes the folder until the lock is closed or the folder crashes.
func (f *Folder) Lock() (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, errors.New("the folder is locked")
	}
	f.locked = true
	return &lock{folder: f, crashes: f.crashes}, nil
}

// Open opens a file to read it from its start and to write at its end.
func (f *Folder) Open(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[name]
	if !ok {
		return nil, errors.Errorf("there is no file %s", name)
	}
	return &file{folder: f, content: c, crashes: f.crashes}, nil
}

// Create makes an empty file.
func (f *Folder) Create(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeErr != nil {
		return nil, f.writeErr
	}
	c := &content{}
	f.names[name] = c
	return &file{folder: f, content: c, crashes: f.crashes}, nil
}

// Rename renames a file over another.
func (f *Folder) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[from]
	if !ok {
		return errors.Errorf("there is no file %s", from)
	}
	delete(f.names, from)
	f.names[to] = c
	return nil
}

// Remove removes a file.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, name)
	return nil
}

// Names lists the files in order.
func (f *Folder) Names() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names)), nil
}

// Sync makes the names durable.
func (f *Folder) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncErr != nil {
		return f.syncErr
	}
	f.durable = maps.Clone(f.names)
	return nil
}

// Content returns a copy of a file.
func (f *Folder) Content(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[name]
	if !ok {
		return nil, errors.Errorf("there is no file %s", name)
	}
	return slices.Clone(c.data), nil
}

// Put replaces a file, durably.
func (f *Folder) Put(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[name] = &content{data: slices.Clone(data), synced: slices.Clone(data)}
	f.durable[name] = f.names[name]
}
