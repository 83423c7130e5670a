package settings

// Route says how instances are chosen.
type Route struct {
	Policy string `toml:"policy" comment:"policy for services whose rules name none"`
}

func defaultRoute() Route { return Route{Policy: "least"} }
