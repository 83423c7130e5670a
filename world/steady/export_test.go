package steady

// Read returns the time at the given readings of the steady time and of the time of day.
func (c *Clock) Read(steady, wall int64) int64 { return c.read(steady, wall) }
