package setting

import (
	"io"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Print writes settings as a TOML file in which a comment above each key explains
// it.
func Print(w io.Writer, settings any) error {
	encoder := toml.NewEncoder(w)
	encoder.SetIndentTables(false)
	return errors.Wrap(encoder.Encode(settings), "print settings")
}
