package fleet

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/snipebeam/snipebeam/bench/cluster"
)

// ticksPerSecond is the number of clock ticks in a second of processor time in
// /proc (USER_HZ).
const ticksPerSecond = 100

// Usage holds the cumulative resource use of each entry and control host.
type Usage struct {
	At                time.Time
	Bytes             []float64 // bytes that each entry host sent and received for gossip and watch
	AnnouncementBytes float64   // bytes of all announcements, sent and received
	Ticks             []float64 // processor time of each entry host, in clock ticks
	ResidentMB        []float64
	Control           ControlUsage
}

// ControlUsage holds the resource use of each control host.
type ControlUsage struct {
	Ticks      []float64
	ResidentMB []float64
}

// Rate is resource use per second. A value is that of the host with the largest
// use, unless it is a mean.
type Rate struct {
	BytesPerSecond     float64 // includes the host's share of the announcements
	MeanBytesPerSecond float64
	CorePercent        float64
	MeanCorePercent    float64
	ResidentMB         float64
	ControlCorePercent float64
	ControlResidentMB  float64
}

// protocolBytes names the counters of the bytes that hosts exchange.
var protocolBytes = []string{
	"snipebeam_gossip_sent_bytes_total", "snipebeam_gossip_received_bytes_total",
	"snipebeam_watch_sent_bytes_total", "snipebeam_watch_received_bytes_total",
}

// Usage reads the hosts' metrics and /proc.
func (f *Fleet) Usage() Usage {
	u := Usage{
		At: time.Now(), Bytes: make([]float64, len(f.Entries)), Ticks: make([]float64, len(f.Entries)),
		ResidentMB: make([]float64, len(f.Entries)), AnnouncementBytes: float64(f.instances.httpBytes.Load()),
	}
	f.forEachEntry(func(n int, host *cluster.Host) {
		for _, name := range protocolBytes {
			u.Bytes[n] += f.scrape(host)[name]
		}
		u.Ticks[n], u.ResidentMB[n] = processTicks(host.PID()), residentMB(host.PID())
	})
	for _, host := range f.Controls {
		u.Control.Ticks = append(u.Control.Ticks, processTicks(host.PID()))
		u.Control.ResidentMB = append(u.Control.ResidentMB, residentMB(host.PID()))
	}
	return u
}

// Since returns the rates between an earlier reading and this one.
func (u Usage) Since(before Usage) Rate {
	seconds := u.At.Sub(before.At).Seconds()
	announcing := (u.AnnouncementBytes - before.AnnouncementBytes) / seconds / float64(len(u.Bytes))
	r := Rate{}
	for n := range u.Bytes {
		bytes := (u.Bytes[n]-before.Bytes[n])/seconds + announcing
		core := (u.Ticks[n] - before.Ticks[n]) / ticksPerSecond / seconds * 100
		r.BytesPerSecond, r.CorePercent = max(r.BytesPerSecond, bytes), max(r.CorePercent, core)
		r.MeanBytesPerSecond += bytes / float64(len(u.Bytes))
		r.MeanCorePercent += core / float64(len(u.Bytes))
		r.ResidentMB = max(r.ResidentMB, u.ResidentMB[n])
	}
	for n := range u.Control.Ticks {
		core := (u.Control.Ticks[n] - before.Control.Ticks[n]) / ticksPerSecond / seconds * 100
		r.ControlCorePercent = max(r.ControlCorePercent, core)
		r.ControlResidentMB = max(r.ControlResidentMB, u.Control.ResidentMB[n])
	}
	return r
}

// scrape returns the samples of a host's metrics by name, none if it cannot be
// reached.
func (f *Fleet) scrape(host *cluster.Host) map[string]float64 {
	samples := map[string]float64{}
	response, err := f.client.Get("http://" + host.Platform + "/metrics")
	if err != nil {
		return samples
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			samples[name] = n
		}
	}
	return samples
}

// processTicks returns the user and system time of a process, in clock ticks.
func processTicks(pid int) float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	const user, system = 11, 12 // fields of /proc/PID/stat after the process name in brackets
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return u + s
}

// residentMB returns the resident set size of a process in MiB.
func residentMB(pid int) float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kB / 1024
		}
	}
	return 0
}
