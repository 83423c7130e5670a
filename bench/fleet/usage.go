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

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// Usage is what each entry host and each control host spent until now.
type Usage struct {
	At                time.Time
	Bytes             []float64 // of the protocols, sent and received, each entry host
	AnnouncementBytes float64   // bytes of all announcements
	Ticks             []float64 // processor time of each entry host
	ResidentMB        []float64
	Control           ControlUsage
}

// ControlUsage sums up the control hosts.
type ControlUsage struct {
	Ticks      []float64
	ResidentMB []float64
}

// Rate is spending per second; of several hosts the largest.
type Rate struct {
	BytesPerSecond     float64 // largest of a host, with its share of the announcements
	MeanBytesPerSecond float64
	CorePercent        float64 // largest of a host
	MeanCorePercent    float64
	ResidentMB         float64
	ControlCorePercent float64
	ControlResidentMB  float64
}

// protocolBytes are the counters of the protocols between hosts.
var protocolBytes = []string{
	"snipebeam_gossip_sent_bytes_total", "snipebeam_gossip_received_bytes_total",
	"snipebeam_watch_sent_bytes_total", "snipebeam_watch_received_bytes_total",
}

// Usage reads the hosts' own counters and /proc.
func (f *Fleet) Usage() Usage {
	u := Usage{
		At: time.Now(), Bytes: make([]float64, len(f.Entries)), Ticks: make([]float64, len(f.Entries)),
		ResidentMB: make([]float64, len(f.Entries)), AnnouncementBytes: float64(f.instances.bytes.Load()),
	}
	f.each(func(n int, host *cluster.Host) {
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

// Since returns the rates between two readings.
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

// scrape returns the samples of a host's metrics by their names.
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

// processTicks returns the processor time of a process, user and system.
func processTicks(pid int) float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	const user, system = 11, 12 // after the name in brackets
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return u + s
}

// residentMB returns the resident memory of a process.
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
