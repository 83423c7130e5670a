// Package demand decides at the leader of the control hosts which part of the demand entry
// hosts admit. Every control host follows the demand, so that one that becomes the leader
// knows what each organisation usually sends; only the leader answers.
//
// Usage:
//
//	decider := demand.New("control-1", log, machine, hosts, logger)
//	go decider.Run(ctx)
//	response.Admissions = decider.Admissions()
package demand

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/control/admission"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Interval is the time between two decisions.
const Interval = 500 * time.Millisecond

var entriesInForce = metrics.GetOrCreateGauge("snipebeam_admission_entries", nil)

// Instances returns the records of instances.
type Instances interface {
	Instances(after uint64) ([]*wire.Instance, uint64)
	EvacuatedZones() ([]string, uint64)
}

// Decider follows the demand and decides which part is admitted.
type Decider struct {
	name       string
	log        agreement.Log
	instances  Instances
	fleet      *fleet.Fleet
	logger     hclog.Logger
	controller *admission.Controller
	decided    atomic.Pointer[[]*wire.Admission]
	limited    map[string]bool // services of which a part is refused
}

// New returns the decider of the named control host.
func New(name string, log agreement.Log, instances Instances, hosts *fleet.Fleet, logger hclog.Logger) *Decider {
	d := &Decider{
		name: name, log: log, instances: instances, fleet: hosts, logger: logger.Named("demand"),
		controller: admission.New(), limited: map[string]bool{},
	}
	d.decided.Store(&[]*wire.Admission{})
	return d
}

// Run decides at an interval until the context ends.
func (d *Decider) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step(time.Now())
		}
	}
}

// Leads reports whether this host answers. A leader that lost its quorum does not.
func (d *Decider) Leads() bool {
	status := d.log.Status()
	return status.Leader() == d.name && status.Quorum()
}

// Admissions returns the answer for entry hosts, empty if all of the demand is admitted or
// this host does not answer.
func (d *Decider) Admissions() []*wire.Admission {
	decided := *d.decided.Load()
	if len(decided) == 0 || !d.Leads() {
		return nil
	}
	return decided
}

func (d *Decider) step(now time.Time) {
	entries := d.controller.Step(Interval, d.figures(d.fleet.Demand(now)))
	decided := make([]*wire.Admission, 0, len(entries))
	limited := map[string]bool{}
	for _, e := range entries {
		limited[e.Service] = true
		decided = append(decided, &wire.Admission{
			Service: e.Service, OrganisationRank: uint32(e.Level.Organisation), Rank: uint32(e.Level.Route),
			Organisation: e.Organisation, Share: e.Share,
		})
	}
	d.decided.Store(&decided)
	entriesInForce.Set(float64(len(decided)))
	d.logChanges(limited)
}

// logChanges logs where limits begin and end. Control hosts that do not lead keep silent.
func (d *Decider) logChanges(limited map[string]bool) {
	if !d.Leads() {
		limited = map[string]bool{}
	}
	for service := range limited {
		if !d.limited[service] {
			d.logger.Warn("demand exceeds the capacity, a part is refused", "service", service)
		}
	}
	for service := range d.limited {
		if !limited[service] && d.Leads() {
			d.logger.Info("all of the demand is admitted", "service", service)
		}
	}
	d.limited = limited
}

// figures sums the demand of the hosts. Services without known instances are left out.
func (d *Decider) figures(demand *fleet.Demand) []admission.Service {
	if len(demand.Flows()) == 0 {
		return nil
	}
	slots := d.slots()
	type flow struct {
		service, organisation string
		level                 admission.Level
	}
	sums := map[flow]*admission.Demand{}
	for _, r := range demand.Flows() {
		if slots[r.GetService()] == 0 {
			continue
		}
		level := admission.Level{Organisation: int(r.GetOrganisationRank()), Route: int(r.GetRank())}
		key := flow{r.GetService(), r.GetOrganisation(), level}
		sum := sums[key]
		if sum == nil {
			sum = &admission.Demand{Level: level, Organisation: r.GetOrganisation()}
			sums[key] = sum
		}
		sum.Arrivals += r.GetArrivalsPerS()
		sum.Refused += r.GetRefusedPerS()
		sum.Served += r.GetServedPerS()
		sum.Slots += r.GetSlots()
	}
	services := map[string]*admission.Service{}
	for key, sum := range sums {
		s := services[key.service]
		if s == nil {
			s = &admission.Service{Name: key.service, Slots: slots[key.service], Queued: demand.Queued(key.service)}
			services[key.service] = s
		}
		s.Demand = append(s.Demand, *sum)
	}
	return sorted(services)
}

func sorted(services map[string]*admission.Service) []admission.Service {
	all := make([]admission.Service, 0, len(services))
	for _, s := range services {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b admission.Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// slots returns the slots of each service's instances that take requests. An instance
// without announcements may be lost and does not count, nor does one in an evacuated zone.
func (d *Decider) slots() map[string]float64 {
	records, _ := d.instances.Instances(0)
	evacuated, _ := d.instances.EvacuatedZones()
	slots := map[string]float64{}
	for _, i := range records {
		if !i.GetGone() && !i.GetDraining() && !i.GetSilent() && !slices.Contains(evacuated, i.GetZone()) {
			slots[i.GetService()] += float64(max(i.GetSlots(), 1))
		}
	}
	return slots
}
