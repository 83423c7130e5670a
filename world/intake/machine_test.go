package intake

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

func TestMemoryOfTheMachine(t *testing.T) {
	must.Eq(t, 139_264<<10, parseMeminfo([]byte("MemTotal:         139264 kB\nMemFree:          1 kB\n")))
	must.Eq(t, 0, parseMeminfo([]byte("MemFree: 1 kB\n")))
	must.Eq(t, "/a/b", groupOf([]byte("1:cpu:/x\n0::/a/b\n")))
	limits := map[string]string{"/a/b": "max\n", "/a": "1000\n", "/": "2000\n"}
	read := func(group string) ([]byte, error) {
		text, found := limits[group]
		if !found {
			return nil, os.ErrNotExist
		}
		return []byte(text), nil
	}
	must.Eq(t, 1000, groupLimit("/a/b", read))
	must.Eq(t, 0, groupLimit("", read))
	must.Eq(t, 5, Memory(5))
	must.Positive(t, Memory(0))
	must.Eq(t, 7, Connections(7))
	must.Positive(t, Connections(0))
}
