package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
)

// logTime is the form of the times in the hosts' logs.
const logTime = "2006-01-02T15:04:05.000000Z07:00"

// maxLogLine bounds a line of a host's log.
const maxLogLine = 1 << 20

// logLine is what is read of a line.
type logLine struct {
	At      string `json:"@timestamp"`
	Message string `json:"@message"`
	Version uint64 `json:"version"`
}

// InForce returns when each version came in force on the last of the entry
// hosts, by the hosts' logs. A host that went over a version by a later one
// counts from the later one. A version that fell back on any host is an error.
func (f *Fleet) InForce(versions []uint64) (map[uint64]time.Time, error) {
	last := map[uint64]time.Time{}
	for _, host := range f.Entries {
		times, order, err := versionTimes(host)
		if err != nil {
			return nil, err
		}
		for _, version := range versions {
			at, ok := reached(version, times, order)
			if !ok {
				return nil, errors.Errorf("%s never had version %d or a later one", host.Name(), version)
			}
			if at.After(last[version]) {
				last[version] = at
			}
		}
	}
	return last, nil
}

func reached(version uint64, times map[uint64]time.Time, order []uint64) (time.Time, bool) {
	for _, v := range order {
		if v >= version {
			return times[v], true
		}
	}
	return time.Time{}, false
}

func versionTimes(host *cluster.Host) (map[uint64]time.Time, []uint64, error) {
	file, err := os.Open(host.LogPath())
	if err != nil {
		return nil, nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = file.Close() }()
	times, order := map[uint64]time.Time{}, []uint64(nil)
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Message != "version in force" {
			continue
		}
		at, err := time.Parse(logTime, line.At)
		if err != nil {
			return nil, nil, errors.Wrap(err, "read time")
		}
		if len(order) > 0 && line.Version <= order[len(order)-1] {
			return nil, nil, errors.Errorf("%s went from version %d to %d", host.Name(), order[len(order)-1], line.Version)
		}
		times[line.Version] = at
		order = append(order, line.Version)
	}
	return times, order, errors.Wrap(scanner.Err(), "read log")
}
