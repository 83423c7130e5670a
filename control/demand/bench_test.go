package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

type benchLog struct{ agreement.Log }

func (benchLog) Status() agreement.Status {
	return agreement.NewStatus("control-1", "", 1, 0, true, nil)
}

type benchRecords []*wire.Instance

func (r benchRecords) Instances(uint64) ([]*wire.Instance, uint64) { return r, 1 }

func (benchRecords) EvacuatedZones() ([]string, uint64) { return nil, 0 }

// BenchmarkDecision decides for the first of the target sizes, at 2.4 times the capacity.
func BenchmarkDecision(b *testing.B) { decide(b, 85, 14) }

// BenchmarkManyOrganisations decides for hosts whose reports are at their limit.
func BenchmarkManyOrganisations(b *testing.B) { decide(b, 5000, 32) }

// decide reports the given number of flows from each host.
func decide(b *testing.B, organisations, flows int) {
	b.Helper()
	var instances benchRecords
	for n := range 381 {
		instances = append(instances, &wire.Instance{Service: fmt.Sprintf("service-%d", n%2), Slots: 2})
	}
	hosts, size := fleet.New(), 0
	for n := range 203 {
		report := &wire.HostReport{Name: fmt.Sprint(n)}
		for k := range flows {
			o := (n*flows + k) % organisations
			report.Demand = append(report.Demand, &wire.Demand{
				Service: fmt.Sprintf("service-%d", k%2), OrganisationRank: uint32(o % 3), Rank: uint32(k % 3),
				Organisation: fmt.Sprintf("organisation-%02d", o), ArrivalsPerS: 1, ServedPerS: 1, Slots: 0.5,
			})
		}
		size = proto.Size(&wire.HostReport{Demand: report.Demand})
		hosts.Report(report, time.Now())
	}
	d := New("control-1", benchLog{}, instances, hosts, hclog.NewNullLogger())
	for b.Loop() {
		d.step(time.Now())
	}
	b.ReportMetric(float64(size), "B/report")
	b.ReportMetric(float64(proto.Size(&wire.WatchResponse{Admissions: d.Admissions()})), "B/answer")
}
