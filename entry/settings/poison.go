package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Poison configures when a request suspected of crashing instances is refused.
type Poison struct {
	Losses         int     `toml:"losses" comment:"instances lost with a request before it is refused"`
	RefusalSeconds float64 `toml:"refusalSeconds" comment:"time that it is refused"`
}

func defaultPoison() Poison { return Poison{Losses: 2, RefusalSeconds: 600} }

func (p Poison) check(c *setting.Checker) {
	c.Positive("poison.losses", float64(p.Losses))
	c.Positive("poison.refusalSeconds", p.RefusalSeconds)
}
