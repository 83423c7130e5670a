package entry

import (
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Backlog is what waits and runs of one service, over all hosts that were
// heard; with unheard hosts each count is a least one.
type Backlog struct {
	Service              string    `json:"service"`
	Instance             string    `json:"instance,omitempty"`
	Owner                string    `json:"owner"`
	Reason               string    `json:"reason,omitempty"`
	InFlight             uint32    `json:"inFlight"`
	Queued               uint32    `json:"queued"`
	OldestMs             float64   `json:"oldestMs"`
	ArrivalsPerSecond    float64   `json:"arrivalsPerSecond"`
	CompletionsPerSecond float64   `json:"completionsPerSecond"`
	ErrorsPerSecond      float64   `json:"errorsPerSecond"`
	Growing              bool      `json:"growing"`
	GrowingSince         time.Time `json:"growingSince,omitzero"`
	AtLeast              bool      `json:"atLeast"`
}

type backlogKey struct{ service, instance string }

// MergeBacklogs adds up the lines of several hosts.
func MergeBacklogs(lines []*wire.ServiceBacklog, atLeast bool) []Backlog {
	sums := map[backlogKey]*Backlog{}
	for _, line := range lines {
		k := backlogKey{line.GetService(), line.GetInstance()}
		if sums[k] == nil {
			sums[k] = &Backlog{Service: k.service, Instance: k.instance, AtLeast: atLeast}
		}
		sums[k].add(line)
	}
	all := make([]Backlog, 0, len(sums))
	for _, sum := range sums {
		all = append(all, *sum)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Service != all[j].Service {
			return all[i].Service < all[j].Service
		}
		return all[i].Instance < all[j].Instance
	})
	return all
}

func (b *Backlog) add(line *wire.ServiceBacklog) {
	b.InFlight += line.GetInFlight()
	b.Queued += line.GetQueued()
	b.OldestMs = max(b.OldestMs, float64(line.GetOldestNs())/float64(time.Millisecond))
	b.ArrivalsPerSecond += line.GetArrivalsPerS()
	b.CompletionsPerSecond += line.GetCompletionsPerS()
	b.ErrorsPerSecond += line.GetErrorsPerS()
	if line.GetOwner() != "" {
		b.Owner, b.Reason = line.GetOwner(), line.GetReason()
	}
	if !line.GetGrowing() {
		return
	}
	since := time.Unix(0, line.GetSince())
	if !b.Growing || since.Before(b.GrowingSince) {
		b.GrowingSince = since
	}
	b.Growing = true
}
