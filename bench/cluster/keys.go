package cluster

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// keyFiles are the files of the keys that a cluster uses, empty without keys.
type keyFiles struct {
	peers     string
	operators string
	upstreams string
}

// UseKeys makes the programs started from now on use keys of their own.
func (c *Cluster) UseKeys() error {
	for name, path := range map[string]*string{"peers": &c.keys.peers, "operators": &c.keys.operators, "upstreams": &c.keys.upstreams} {
		*path = filepath.Join(c.dir, name+".key")
		if err := os.WriteFile(*path, []byte(uuid.NewString()+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write keys")
		}
	}
	return nil
}

// OperatorsKey returns the file with the operators' key, empty without keys.
func (c *Cluster) OperatorsKey() string { return c.keys.operators }

// controlSection returns the settings of a control host's keys.
func (k keyFiles) controlSection() string {
	if k.peers == "" {
		return ""
	}
	return fmt.Sprintf("[keys]\npeers = %q\noperators = %q\n", k.peers, k.operators)
}

// entrySection returns the settings of an entry host's keys.
func (k keyFiles) entrySection() string {
	if k.peers == "" {
		return ""
	}
	return k.controlSection() + fmt.Sprintf("upstreams = %q\n", k.upstreams)
}
