package settings

// Log configures logging.
type Log struct {
	Level string `toml:"level" comment:"trace, debug, info, warn or error"`
}

func defaultLog() Log { return Log{Level: "info"} }
