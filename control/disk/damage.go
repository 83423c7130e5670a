package disk

import (
	"strings"

	"github.com/pkg/errors"
)

// CorruptionError reports a corrupt record or a missing segment. A torn write at
// the end of the log is not an error.
type CorruptionError struct {
	file   string
	offset int
	reason string
}

// Error describes the corruption with file and offset.
func (e *CorruptionError) Error() string {
	return errors.Errorf("file %s is damaged at offset %d: %s", e.file, e.offset, e.reason).Error()
}

// File returns the corrupt file's name.
func (e *CorruptionError) File() string { return e.file }

// Offset returns the offset of the corruption.
func (e *CorruptionError) Offset() int { return e.offset }

// MissingError reports that the files of a folder do not complement each other.
type MissingError struct{ reason string }

// Error describes what is left.
func (e *MissingError) Error() string { return e.reason + ": files are missing" }

// IsDamaged reports whether Open failed because of what the folder contains, which no later
// attempt changes.
func IsDamaged(err error) bool {
	var corruption *CorruptionError
	var missing *MissingError
	return errors.As(err, &corruption) || errors.As(err, &missing)
}

// AsidePrefix begins the names of the files of a damaged replica that was set aside.
const AsidePrefix = "damaged-"

// SetAside renames the files of a damaged replica, so that the folder contains none. What was set
// aside before is removed. After an interruption it can be repeated.
func SetAside(folder Folder) error {
	lock, err := folder.Lock()
	if err != nil {
		return errors.Wrap(err, "lock data folder")
	}
	defer func() { _ = lock.Close() }()
	names, err := folder.Names()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	var current, aside []string
	interrupted := true // the identity is set aside last, and removed last
	for _, name := range names {
		switch {
		case name == AsidePrefix+identityName:
			interrupted = false
		case strings.HasPrefix(name, AsidePrefix):
			aside = append(aside, name)
		case name != lockName && name != identityName:
			current = append(current, name)
		}
	}
	if !interrupted {
		if err := each(folder, append(aside, AsidePrefix+identityName), folder.Remove); err != nil {
			return errors.Wrap(err, "remove older damaged files")
		}
	}
	rename := func(name string) error { return folder.Rename(name, AsidePrefix+name) }
	if err := each(folder, current, rename); err != nil {
		return errors.Wrap(err, "set damaged files aside")
	}
	return errors.Wrap(each(folder, []string{identityName}, rename), "set damaged identity aside")
}

// each makes a change for each file and then makes the changes durable.
func each(folder Folder, names []string, change func(name string) error) error {
	for _, name := range names {
		if err := change(name); err != nil {
			return err
		}
	}
	return folder.Sync()
}
