package settings

import (
	"os"

	"github.com/snipebeam/snipebeam/world/setting"
)

// Data is the location of durable state.
type Data struct {
	Folder string `toml:"folder" comment:"folder for the log and snapshots, used by this process alone"`
}

func defaultData() Data { return Data{Folder: "data"} }

// check reports a folder that cannot be used. A missing folder is not reported
// because it is created at startup.
func (d Data) check(c *setting.Checker) {
	if d.Folder == "" {
		c.Fail("data.folder", "is empty", "name a folder on a disk of this host")
		return
	}
	_, err := os.ReadDir(d.Folder)
	if err != nil && !os.IsNotExist(err) {
		c.Fail("data.folder", "cannot be read: "+err.Error(), "name a folder that this process may read and write")
	}
}
