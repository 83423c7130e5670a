package entry

import (
	"sort"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Instance is the merged view that the entry hosts have of one instance.
type Instance struct {
	ID              string   `json:"id"`
	Service         string   `json:"service"`
	Zone            string   `json:"zone"`
	Address         string   `json:"address"`
	State           string   `json:"state"` // most severe on any host
	Slots           uint32   `json:"slots"`
	InFlight        uint32   `json:"inFlight"` // sum over the hosts
	Reported        uint32   `json:"reported"` // load in the latest report of the instance itself
	ReportAgeMs     float64  `json:"reportAgeMs"`
	LatencyMs       float64  `json:"latencyMs"` // maximum over the hosts
	ErrorsPerSecond float64  `json:"errorsPerSecond"`
	SeenBy          []string `json:"seenBy"`
	AtLeast         bool     `json:"atLeast"`
}

// stateSeverity ranks the states of an instance.
var stateSeverity = map[string]int{"ready": 0, "cold": 1, "evacuated": 2, "draining": 3, "ejected": 4, "silent": 5}

// MergeInstances merges the views that several hosts have of each instance.
func MergeInstances(responses []Response[*wire.InstancesResponse], atLeast bool) []Instance {
	byID := map[string]*Instance{}
	for _, response := range responses {
		for _, view := range response.Value.GetInstances() {
			id := view.GetInstance().GetId()
			if byID[id] == nil {
				byID[id] = newInstance(view, atLeast)
			}
			byID[id].add(response.Host, view)
		}
	}
	all := make([]Instance, 0, len(byID))
	for _, instance := range byID {
		all = append(all, *instance)
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
	if stateSeverity[view.GetState()] > stateSeverity[i.State] {
		i.State = view.GetState()
	}
	age := float64(view.GetReportAgeNs()) / float64(time.Millisecond)
	if age > 0 && (i.ReportAgeMs < 0 || age < i.ReportAgeMs) {
		i.ReportAgeMs, i.Reported = age, view.GetReported()
	}
}
