// Package memory implements a data folder in memory for tests. A simulated
// crash discards data that was not synced, as a power failure does on a disk.
// Write errors, sync errors, a full disk and the end of the process before any
// change can be injected.
//
// Usage:
//
//	folder := memory.New()
//	folder.StopAfter(7)
//	store, saved, err := disk.Open(folder)
//	folder.Kill() // or Crash, or LosePower
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
	mu        sync.Mutex
	names     map[string]*fileContent // as the running process sees them
	durable   map[string]*fileContent // as a process sees them after a crash
	locked    bool
	crashes   int
	writeErr  error
	syncErr   error
	freeBytes int // until the disk is full; negative: unlimited
	changes   int // until the process has stopped; negative: unlimited
}

// fileContent is the content of one file.
type fileContent struct {
	data   []byte
	synced []byte
}

// New returns an empty folder.
func New() *Folder {
	return &Folder{names: map[string]*fileContent{}, durable: map[string]*fileContent{}, freeBytes: -1, changes: -1}
}

// Crash discards what was not synced. keep returns how many of the bytes that
// were appended to a file since its last sync survive.
func (f *Folder) Crash(keep func(unsynced int) int) {
	f.LosePower(keep, func(string) bool { return false })
}

// LosePower is Crash, except that the creation, renaming or removal of each file since the
// last sync of the folder survives if persists returns true for its name.
func (f *Folder) LosePower(keep func(unsynced int) int, persists func(name string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.durable)
	maps.Copy(all, f.names)
	after := maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		now, exists := f.names[name]
		switch {
		case f.durable[name] == now || !persists(name):
		case exists:
			after[name] = now
		default:
			delete(after, name)
		}
	}
	f.names = after
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		c := f.names[name]
		survived := slices.Clone(c.synced)
		if len(c.data) > len(c.synced) {
			tail := c.data[len(c.synced):]
			survived = append(survived, tail[:keep(len(tail))]...)
		}
		c.data, c.synced = survived, slices.Clone(survived)
	}
	f.durable = maps.Clone(f.names)
	f.restart()
}

// Kill ends the process that uses the folder. Nothing that it changed is lost.
func (f *Folder) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart()
}

func (f *Folder) restart() {
	f.locked = false
	f.crashes++
	f.changes = -1
}

// StopAfter makes all changes and syncs fail after the first n, as if the process had
// stopped there, until Kill, Crash or LosePower.
func (f *Folder) StopAfter(n int) { f.mu.Lock(); f.changes = n; f.mu.Unlock() }

// Stopped reports whether a change has failed because of StopAfter.
func (f *Folder) Stopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes == 0
}

// change returns an error if the process has stopped.
func (f *Folder) change() error {
	if f.changes == 0 {
		return errStopped
	}
	f.changes--
	return nil
}

// FailWrites makes writes fail with an error until it is set to nil.
func (f *Folder) FailWrites(err error) { f.mu.Lock(); f.writeErr = err; f.mu.Unlock() }

// FailSyncs makes syncs fail with an error until it is set to nil.
func (f *Folder) FailSyncs(err error) { f.mu.Lock(); f.syncErr = err; f.mu.Unlock() }

// SetFreeSpace sets how many bytes can still be written; a negative number
// sets no limit.
func (f *Folder) SetFreeSpace(bytes int) { f.mu.Lock(); f.freeBytes = bytes; f.mu.Unlock() }

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

// Close releases the lock unless a crash has already released it.
func (l *lock) Close() error {
	l.folder.mu.Lock()
	defer l.folder.mu.Unlock()
	if l.crashes == l.folder.crashes {
		l.folder.locked = false
	}
	return nil
}

// Lock locks the folder until the lock is closed or the folder crashes.
func (f *Folder) Lock() (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, errors.New("the folder is locked")
	}
	f.locked = true
	return &lock{folder: f, crashes: f.crashes}, nil
}

// Open opens a file for reading from its start and for appending.
func (f *Folder) Open(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[name]
	if !ok {
		return nil, errors.Errorf("file %s does not exist", name)
	}
	return &file{folder: f, content: c, crashes: f.crashes}, nil
}

// Create creates an empty file.
func (f *Folder) Create(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeErr != nil {
		return nil, f.writeErr
	}
	if f.freeBytes == 0 {
		return nil, errNoSpace
	}
	if err := f.change(); err != nil {
		return nil, err
	}
	c := &fileContent{}
	f.names[name] = c
	return &file{folder: f, content: c, crashes: f.crashes}, nil
}

// Rename renames a file and replaces an existing one.
func (f *Folder) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[from]
	if !ok {
		return errors.Errorf("file %s does not exist", from)
	}
	if err := f.change(); err != nil {
		return err
	}
	delete(f.names, from)
	f.names[to] = c
	return nil
}

// Remove removes a file.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.change(); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// Names lists the files in lexical order.
func (f *Folder) Names() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names)), nil
}

// Sync makes the creation, renaming and removal of files durable.
func (f *Folder) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncErr != nil {
		return f.syncErr
	}
	if err := f.change(); err != nil {
		return err
	}
	f.durable = maps.Clone(f.names)
	return nil
}

// Content returns a copy of the content of a file.
func (f *Folder) Content(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.names[name]
	if !ok {
		return nil, errors.Errorf("file %s does not exist", name)
	}
	return slices.Clone(c.data), nil
}

// Put replaces the content of a file durably.
func (f *Folder) Put(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[name] = &fileContent{data: slices.Clone(data), synced: slices.Clone(data)}
	f.durable[name] = f.names[name]
}
