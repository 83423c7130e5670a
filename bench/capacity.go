package main

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/slope"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

func init() { register("capacity", measureSlopes) }

// slopeCase measures one cost at several sizes.
type slopeCase struct {
	name  string
	unit  string
	sizes []int
	cost  func(size int) (float64, error)
}

func slopeCases() []slopeCase {
	return []slopeCase{
		{"rulesParseNsPerLine", "ns/line", []int{20, 200, 1000, 3000}, parseNs},
		{"rulesBytesPerLine", "bytes/line", []int{20, 200, 1000, 3000}, parsedBytes},
		{"chooseNsPerInstance", "ns/instance", []int{10, 100, 300, 1000}, chooseCost},
		{"publishNsPerServiceInstance", "ns/instance", []int{10, 30, 100, 300}, publishNs},
		{"registryBytesPerInstance", "bytes/instance", []int{100, 1000, 2000, 3900}, registryBytes},
		{"claimBytesPerClaim", "bytes/claim", []int{10_000, 50_000, 100_000, 200_000}, claimBytes},
		{"claimApplyNsPerClaim", "ns/claim", []int{10_000, 50_000, 100_000, 200_000}, claimNs},
		{"reportBytesPerService", "bytes/service", []int{1, 4, 20, 140}, reportBytes},
		{"scrapeBytesPerInstance", "bytes/instance", []int{30, 300, 1000, 3900}, scrapeBytes},
		{"decisionBytesPerCandidate", "bytes/candidate", []int{1, 6, 10, 16}, decisionBytes},
		{"decisionCoreNsPerCandidate", "ns/candidate", []int{1, 6, 10, 16}, decisionNs},
	}
}

func measureSlopes(emit func(figure.Figure)) error {
	for _, c := range slopeCases() {
		if err := c.measure(emit); err != nil {
			return err
		}
	}
	return nil
}

func (c slopeCase) measure(emit func(figure.Figure)) error {
	var points []slope.Point
	for _, size := range c.sizes {
		cost, err := c.cost(size)
		if err != nil {
			return err
		}
		points = append(points, slope.Point{X: float64(size), Y: cost})
	}
	return emitSlope(emit, c.name, c.unit, points)
}

// repeat returns the mean time of one call in nanoseconds.
func repeat(n int, call func()) float64 {
	start := time.Now()
	for range n {
		call()
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

// heapGrowth returns the heap bytes that the result of a call keeps alive.
func heapGrowth(call func() any) float64 {
	before := liveHeap()
	result := call()
	after := liveHeap()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

const linesPerService = 5

// rulesText returns a rules file of the given number of lines.
func rulesText(lines int) string {
	var b bytes.Buffer
	for n := range lines {
		service := serviceName(n / linesPerService)
		if n%linesPerService == 0 {
			fmt.Fprintf(&b, "service %s: owner \"Comptoir\", spread 3, probe 1%%, backlog 30 for 2s # Marie Tremblay: lookups\n", service)
			continue
		}
		fmt.Fprintf(&b, "route %s GET,HEAD /part%d/**: deadline 300ms, retries 2 # Marie Tremblay: a piercer waits\n", service, n)
	}
	return b.String()
}

func parseNs(lines int) (float64, error) {
	text := rulesText(lines)
	_, findings := rule.Parse("rules", text)
	return repeat(5, func() { rule.Parse("rules", text) }), findings.Err()
}

func parsedBytes(lines int) (float64, error) {
	text := rulesText(lines)
	return heapGrowth(func() any {
		set, _ := rule.Parse("rules", text)
		return set
	}), nil
}

func chooseCost(instances int) (float64, error) {
	return routeChooseNs(contract.PolicyAdaptive, instances), nil
}

func announcedInstance(n, services int) *wire.Instance {
	return &wire.Instance{
		Id: fmt.Sprintf("instance-%d", n), Service: serviceName(n % services), Address: fmt.Sprintf("127.0.0.1:%d", 10_000+n),
		Zone: "shawinigan", Slots: 3, Incarnation: 1,
	}
}

func filledRegistry(instances, services int) *registry.Registry {
	reg := registry.New(&route.Views{})
	changes := make([]registry.Change, 0, instances)
	for n := range instances {
		changes = append(changes, registry.Announced(announcedInstance(n, services)))
	}
	reg.Update(changes)
	return reg
}

// publishNs returns the time to publish one change of an instance, in a service
// of perService instances, among 3,900 instances of all services.
func publishNs(perService int) (float64, error) {
	const instances = 3900
	services := instances / perService
	reg := filledRegistry(instances, services)
	draining := false
	return repeat(200, func() {
		draining = !draining
		m := announcedInstance(0, services)
		m.Draining = draining
		reg.Update([]registry.Change{registry.Announced(m)})
	}), nil
}

func registryBytes(instances int) (float64, error) {
	return heapGrowth(func() any { return filledRegistry(instances, 140) }), nil
}

func claimCommand(n int) *wire.Command {
	return &wire.Command{At: int64(n + 1), Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Key:    &wire.ClaimKey{Service: "checkout", Caller: fmt.Sprintf("studio-%d", n%500), IdempotencyKey: fmt.Sprintf("0193a1c2-%012d", n)},
		Holder: "entry-1/0193a1c2-aaaa-bbbb-cccc-000000000001", ClaimId: fmt.Sprintf("0193ffff-%012d", n), Fingerprint: []byte("12345678"),
	}}}
}

func claimedMachine(n int) *state.Machine {
	m := state.New()
	for i := range n {
		m.Apply(claimCommand(i))
	}
	return m
}

func claimBytes(n int) (float64, error) {
	return heapGrowth(func() any { return claimedMachine(n) }), nil
}

func claimNs(n int) (float64, error) {
	commands := make([]*wire.Command, n)
	for i := range commands {
		commands[i] = claimCommand(i)
	}
	m := state.New()
	start := time.Now()
	for _, cmd := range commands {
		m.Apply(cmd)
	}
	return float64(time.Since(start).Nanoseconds()), nil
}

func reportBytes(services int) (float64, error) {
	report := &wire.HostReport{Name: "entry-117", Zone: "shawinigan", Role: "entry", CallersAddress: "10.1.2.3:7200", PeersAddress: "10.1.2.3:7202", PlatformAddress: "10.1.2.3:7201", Version: 40_000, State: "ready", ReportedAt: time.Now().UnixNano(), VersionConfirmedAt: time.Now().UnixNano(), InFlight: 40}
	for n := range services {
		report.Backlog = append(report.Backlog, &wire.ServiceBacklog{
			Service: serviceName(n), InFlight: 12, OldestNs: 5e6, ArrivalsPerS: 812.25, CompletionsPerS: 811.5, ErrorsPerS: 0.25,
			P50Ns: 4e6, P99Ns: 21e6, P999Ns: 48e6,
		})
	}
	return float64(proto.Size(report)), nil
}

func scrapeBytes(instances int) (float64, error) {
	var out bytes.Buffer
	exporterOf(fleetSize{services: 140, instances: instances}).Write(&out)
	return float64(out.Len()), nil
}

func decisionBytes(n int) (float64, error) {
	var out bytes.Buffer
	logging.New("bench", "info", &out).Info("route", "decision", decisionOf(n))
	return float64(out.Len()), nil
}

func decisionNs(n int) (float64, error) {
	logger := logging.New("bench", "info", io.Discard)
	d := decisionOf(n)
	return repeat(20_000, func() { logger.Info("route", "decision", d) }), nil
}
