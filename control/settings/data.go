package settings

// Data says where durable state lives.
type Data struct {
	Folder string `toml:"folder" comment:"folder for the log and snapshots, used by this process alone"`
}

func defaultData() Data { return Data{Folder: "data"} }
