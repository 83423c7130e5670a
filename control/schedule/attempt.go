package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Operation is one request of a client and its result, as an entry of the
// history whose linearizability is checked. A request without a response has no
// end, and its outcome is unknown.
type Operation struct {
	start     int
	end       int
	completed bool
	cmd       *wire.Command
	result    *wire.Result
	version   uint64
}

// Start returns the time at which the request was sent.
func (o Operation) Start() int { return o.start }

// End returns the time at which the response was received.
func (o Operation) End() int { return o.end }

// Completed reports whether a response was received.
func (o Operation) Completed() bool { return o.completed }

// Command returns the request, nil for a confirmed read.
func (o Operation) Command() *wire.Command { return o.cmd }

// Result returns the response, nil for a confirmed read.
func (o Operation) Result() *wire.Result { return o.result }

// Version returns the version that a confirmed read returned.
func (o Operation) Version() uint64 { return o.version }

// attempt is one transmission of a request.
type attempt struct {
	cmd        *wire.Command
	term       uint64
	started    int
	running    bool
	finished   bool
	abandoned  bool
	minVersion uint64 // of a read: newest version that any client had seen before it
	onResult   func(result *wire.Result)
	onUnknown  func()
	result     *wire.Result
}

// start proposes the command at a host. It does nothing if the host does not
// consider itself the leader.
func (a *attempt) start(sim *Simulation, h *host) {
	data, err := proto.Marshal(a.cmd)
	if err != nil {
		panic("schedule: " + err.Error())
	}
	a.started = sim.now
	index, term, err := h.replica.Propose(data)
	if err != nil {
		return
	}
	a.term, a.running = term, true
	h.pending[index] = a
	h.flush()
}

func (a *attempt) outcomeUnknown(sim *Simulation) {
	a.running = false
	sim.record(Operation{start: a.started, cmd: a.cmd})
	if a.onUnknown != nil {
		a.onUnknown()
	}
}

func (a *attempt) overwritten(*Simulation) {
	a.running = false
	if a.onUnknown != nil {
		a.onUnknown()
	}
}

func (a *attempt) complete(sim *Simulation, result *wire.Result) {
	a.running, a.finished, a.result = false, true, result
	sim.record(Operation{start: a.started, end: sim.now, completed: true, cmd: a.cmd, result: result})
	if a.onResult != nil {
		a.onResult(result)
	}
}

func (a *attempt) completeRead(sim *Simulation, version uint64) {
	sim.record(Operation{start: a.started, end: sim.now, completed: true, version: version})
	if version < a.minVersion {
		sim.violate(MonotonicReads, fmt.Sprintf("a confirmed read returned version %d after version %d was observed", version, a.minVersion))
	}
	sim.clients.observeVersion(version)
}

func (sim *Simulation) record(op Operation) {
	sim.report.operations = append(sim.report.operations, op)
	sim.now++
}
