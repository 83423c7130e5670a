package cluster

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// keyFiles holds the paths of a cluster's key files, empty without keys.
type keyFiles struct {
	peers     string
	operators string
	upstreams string
}

// UseKeys generates keys that all programs started afterwards use.
func (c *Cluster) UseKeys() error {
	for name, path := range map[string]*string{"peers": &c.keys.peers, "operators": &c.keys.operators, "upstreams": &c.keys.upstreams} {
		*path = filepath.Join(c.dir, name+".key")
		if err := os.WriteFile(*path, []byte(uuid.NewString()+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write keys")
		}
	}
	return nil
}

// OperatorsKey returns the path of the operators' key file, empty without keys.
func (c *Cluster) OperatorsKey() string { return c.keys.operators }

// controlSection returns the [keys] section of a control host's settings.
func (k keyFiles) controlSection() string {
	if k.peers == "" {
		return ""
	}
	return fmt.Sprintf("[keys]\npeers = %q\noperators = %q\n", k.peers, k.operators)
}

// entrySection returns the [keys] section of an entry host's settings.
func (k keyFiles) entrySection() string {
	if k.peers == "" {
		return ""
	}
	return k.controlSection() + fmt.Sprintf("upstreams = %q\n", k.upstreams)
}
