package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
)

// logTimeFormat is the layout of the timestamps in the hosts' logs.
const logTimeFormat = "2006-01-02T15:04:05.000000Z07:00"

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// logLine holds the fields of a log line that are evaluated.
type logLine struct {
	At      string `json:"@timestamp"`
	Message string `json:"@message"`
	Version uint64 `json:"version"`
}

// InForce returns the time at which each version was in force on all entry hosts,
// according to their logs. On a host that skipped a version, the next later one
// counts. It returns an error if a host went back to an earlier version.
func (f *Fleet) InForce(versions []uint64) (map[uint64]time.Time, error) {
	last := map[uint64]time.Time{}
	for _, host := range f.Entries {
		times, order, err := versionTimes(host)
		if err != nil {
			return nil, err
		}
		for _, version := range versions {
			at, ok := timeOfVersion(version, times, order)
			if !ok {
				return nil, errors.Errorf("%s did not reach version %d or a later one", host.Name(), version)
			}
			if at.After(last[version]) {
				last[version] = at
			}
		}
	}
	return last, nil
}

// timeOfVersion returns the time of the first version that is not below the
// given one.
func timeOfVersion(version uint64, times map[uint64]time.Time, order []uint64) (time.Time, bool) {
	for _, v := range order {
		if v >= version {
			return times[v], true
		}
	}
	return time.Time{}, false
}

// versionTimes returns the time at which each version came into force on a host,
// and the versions in log order.
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
		at, err := time.Parse(logTimeFormat, line.At)
		if err != nil {
			return nil, nil, errors.Wrap(err, "parse timestamp")
		}
		if len(order) > 0 && line.Version <= order[len(order)-1] {
			return nil, nil, errors.Errorf("%s rolled back from version %d to %d", host.Name(), order[len(order)-1], line.Version)
		}
		times[line.Version] = at
		order = append(order, line.Version)
	}
	return times, order, errors.Wrap(scanner.Err(), "read log")
}
