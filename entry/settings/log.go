package settings

import (
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Log configures logging.
type Log struct {
	Level string `toml:"level" comment:"trace, debug, info, warn or error"`
}

func defaultLog() Log { return Log{Level: "info"} }

func (l Log) check(c *setting.Checker) { c.OneOf("log.level", l.Level, logging.Levels()...) }
