package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Operation is one request of a client with what the client saw. A request
// whose outcome is not known has no end.
type Operation struct {
	start   int
	end     int
	certain bool
	cmd     *wire.Command
	result  *wire.Result
	version uint64
}

// Start returns when the request was sent.
func (o Operation) Start() int { return o.start }

// End returns when the answer came.
func (o Operation) End() int { return o.end }

// Completed reports whether an answer came.
func (o Operation) Completed() bool { return o.certain }

// Command returns the request, nil for a confirmed read.
func (o Operation) Command() *wire.Command { return o.cmd }

// Result returns the answer, nil for a confirmed read.
func (o Operation) Result() *wire.Result { return o.result }

// Version returns what a confirmed read gave.
func (o Operation) Version() uint64 { return o.version }

// attempt is one sending of a request.
type attempt struct {
	cmd       *wire.Command
	term      uint64
	started   int
	running   bool
	finished  bool
	abandoned bool
	floor     uint64 // newest version that was accepted before a read
	then      func(result *wire.Result)
	lost      func()
	result    *wire.Result
}

// start proposes at a host that believes it leads.
func (a *attempt) start(w *Simulation, h *host) {
	data, err := proto.Marshal(a.cmd)
	if err != nil {
		panic("schedule: " + err.Error())
	}
	a.started = w.now
	index, term, err := h.replica.Propose(data)
	if err != nil {
		return
	}
	a.term, a.running = term, true
	h.pending[index] = a
	h.flush()
}

func (a *attempt) uncertain(w *Simulation) {
	a.running = false
	w.record(Operation{start: a.started, cmd: a.cmd})
	if a.lost != nil {
		a.lost()
	}
}

func (a *attempt) notTaken(*Simulation) {
	a.running = false
	if a.lost != nil {
		a.lost()
	}
}

func (a *attempt) done(w *Simulation, result *wire.Result) {
	a.running, a.finished, a.result = false, true, result
	w.record(Operation{start: a.started, end: w.now, certain: true, cmd: a.cmd, result: result})
	if a.then != nil {
		a.then(result)
	}
}

func (a *attempt) read(w *Simulation, version uint64) {
	w.record(Operation{start: a.started, end: w.now, certain: true, version: version})
	if version < a.floor {
		w.violate(MonotonicReads, fmt.Sprintf("a confirmed read gave version %d, version %d was accepted before", version, a.floor))
	}
	w.clients.noteVersion(version)
}

func (w *Simulation) record(op Operation) {
	w.report.operations = append(w.report.operations, op)
	w.now++
}
