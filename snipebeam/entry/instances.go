package entry

import (
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Instance is one instance as the entry hosts see it together.
type Instance struct {
	ID              string   `json:"id"`
	Service         string   `json:"service"`
	Zone            string   `json:"zone"`
	Address         string   `json:"address"`
	State           string   `json:"state"` // the worst that any host sees
	Slots           uint32   `json:"slots"`
	InFlight        uint32   `json:"inFlight"` // of all hosts
	Reported        uint32   `json:"reported"` // by the instance itself, at the newest report
	ReportAgeMs     float64  `json:"reportAgeMs"`
	LatencyMs       float64  `json:"latencyMs"` // largest of any host
	ErrorsPerSecond float64  `json:"errorsPerSecond"`
	SeenBy          []string `json:"seenBy"`
	AtLeast         bool     `json:"atLeast"`
}

// badness orders the states of an instance.
var badness = map[string]int{"ready": 0, "cold": 1, "draining": 2, "ejected": 3, "silent": 4}

// MergeInstances puts together what several hosts see of each instance.
func MergeInstances(answers []Response[*wire.InstancesResponse], atLeast bool) []Instance {
	byID := map[string]*Instance{}
	for _, answer := range answers {
		for _, view := range answer.Value.GetInstances() {
			id := view.GetInstance().GetId()
			if byID[id] == nil {
				byID[id] = newInstance(view, atLeast)
			}
			byID[id].add(answer.Host, view)
		}
	}
	all := make([]Instance, 0, len(byID))
	for _, one := range byID {
		all = append(all, *one)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Service != all[j].Service {
			return all[i].Service < all[j].Service
		}
		return all[i].ID < all[j].ID
	})
	return all
}

func newInstance(view *wire.InstanceView, atLeast bool) *Instance {
	i := view.GetInstance()
	return &Instance{
		ID: i.GetId(), Service: i.GetService(), Zone: i.GetZone(), Address: i.GetAddress(),
		Slots: i.GetSlots(), State: view.GetState(), ReportAgeMs: -1, AtLeast: atLeast,
	}
}

func (i *Instance) add(host string, view *wire.InstanceView) {
	i.SeenBy = append(i.SeenBy, host)
	i.InFlight += view.GetInFlight()
	i.LatencyMs = max(i.LatencyMs, view.GetLatencyNs()/float64(time.Millisecond))
	i.ErrorsPerSecond += view.GetErrorsPerS()
	if badness[view.GetState()] > badness[i.State] {
		i.State = view.GetState()
	}
	age := float64(view.GetReportAgeNs()) / float64(time.Millisecond)
	if age > 0 && (i.ReportAgeMs < 0 || age < i.ReportAgeMs) {
		i.ReportAgeMs, i.Reported = age, view.GetReported()
	}
}
