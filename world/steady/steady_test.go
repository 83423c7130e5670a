package steady_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/steady"
)

// Guards against retries that outlive their window on a machine that was suspended, or
// whose time of day was set back.
func TestClockCountsSuspensionsAndNeverGoesBack(t *testing.T) {
	c := steady.New()
	const second = int64(time.Second)
	must.Eq(t, second, c.Read(second, second))
	must.Eq(t, 2*second, c.Read(2*second, 0)) // set back by two seconds
	must.Eq(t, 3*second, c.Read(3*second, 3*second))
	must.Eq(t, 9*second, c.Read(4*second, 9*second)) // suspended for five
	must.Eq(t, 10*second, c.Read(5*second, 10*second))
}
