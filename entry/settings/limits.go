package settings

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes          int     `toml:"header_bytes" comment:"largest request line and headers, bytes"`
	BodyBytes            int64   `toml:"body_bytes" comment:"largest request body, bytes"`
	HeaderTimeoutSeconds float64 `toml:"header_timeout_seconds" comment:"time to receive a request's headers"`
	IdleTimeoutSeconds   float64 `toml:"idle_timeout_seconds" comment:"time that a caller's idle link is kept"`
}

func defaultLimits() Limits {
	return Limits{HeaderBytes: 32 << 10, BodyBytes: 4 << 30, HeaderTimeoutSeconds: 10, IdleTimeoutSeconds: 60}
}
