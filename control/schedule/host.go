package schedule

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/disk/memory"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// host is one data folder with the process that uses it.
type host struct {
	world   *Simulation
	name    string
	id      string
	folder  *memory.Folder
	store   *disk.Store
	replica *quorum.Replica
	machine *state.Machine
	up      bool
	gone    bool // the disk is lost, the identity never comes back
	pending map[uint64]*attempt
	reads   map[uint64]*attempt
}

var errPowerFailure = errors.New("power failure")

func (w *Simulation) newHost(name string) *host {
	h := &host{world: w, name: name, id: fmt.Sprintf("%s/%d", name, len(w.hosts)), folder: memory.New()}
	store, err := disk.Create(h.folder, &wire.ReplicaIdentity{Identity: h.id, Name: name, Group: "group"}, disk.WithSegmentBytes(segmentBytes))
	if err != nil {
		panic("schedule: " + err.Error())
	}
	_ = store.Close()
	w.hosts = append(w.hosts, h)
	h.start()
	return h
}

// found writes the first membership.
func (h *host) found(members []*wire.Member) {
	first := &wire.LogEntry{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_MEMBERS, Members: &wire.Members{Members: members}}
	if err := h.store.Write(&wire.SavedVote{Term: 1}, []*wire.LogEntry{first}); err != nil {
		panic("schedule: " + err.Error())
	}
	_ = h.store.Close()
	h.start()
}

// start reads the folder as a process does when it starts.
func (h *host) start() {
	store, saved, err := disk.Open(h.folder, disk.WithSegmentBytes(segmentBytes))
	if err != nil {
		h.world.violate(CrashConsistency, h.id+": "+err.Error())
		h.gone = true
		return
	}
	h.store, h.machine = store, state.New()
	if s := saved.Snapshot.GetState(); len(s) > 0 {
		if err := h.machine.Restore(s); err != nil {
			h.world.violate(CrashConsistency, h.id+": "+err.Error())
		}
	}
	h.replica = quorum.New(h.id, saved, quorum.WithElectionTicks(electionTicks), quorum.WithHeartbeatTicks(heartbeatTicks),
		quorum.WithSeed(xxhash.Sum64String(fmt.Sprint(h.id, h.world.now))), quorum.WithMaxBatchBytes(256), quorum.WithMaxInFlight(16))
	h.pending, h.reads = map[uint64]*attempt{}, map[uint64]*attempt{}
	h.up = true
}

// crash stops the process and forgets what was not synced.
func (h *host) crash() {
	h.up = false
	h.world.report.crashes++
	h.giveUp()
	h.folder.FailSyncs(nil)
	h.folder.Crash(func(unsynced int) int { return h.world.source.Int(unsynced + 1) })
}

func (h *host) giveUp() {
	h.dropPending()
	for id, a := range h.reads {
		delete(h.reads, id)
		a.abandoned = true
	}
}

// flush does what the driver of a real host does, with crashes between any two
// steps.
func (h *host) flush() {
	for h.up {
		out := h.replica.Take()
		if out.Empty() {
			return
		}
		h.world.send(out.EarlyMessages())
		if out.NeedsWrite() && !h.write(&out) {
			return
		}
		h.replica.Persisted()
		h.world.send(out.Messages())
		if out.Vote() != nil && h.world.fault(8) {
			// A vote that was told must be known after the restart.
			h.crash()
			return
		}
		h.apply(&out)
		for _, r := range out.Reads() {
			h.answerRead(r)
		}
		h.observe()
	}
}

func (h *host) write(out *quorum.Output) bool {
	if h.world.fault(120) {
		h.folder.FailSyncs(errPowerFailure)
	}
	err := h.save(out)
	if err == nil && !h.world.fault(300) {
		return true
	}
	h.crash()
	return false
}

func (h *host) save(out *quorum.Output) error {
	s := out.Snapshot()
	if s == nil {
		return h.store.Write(out.Vote(), out.Entries())
	}
	if err := h.store.Write(out.Vote(), nil); err != nil {
		return err
	}
	if err := h.store.InstallSnapshot(s); err != nil {
		return err
	}
	return h.store.Write(nil, out.Entries())
}

func (h *host) apply(out *quorum.Output) {
	if s := out.Snapshot(); s != nil {
		if err := h.machine.Restore(s.GetState()); err != nil {
			h.world.violate(CrashConsistency, err.Error())
		}
		h.giveUp()
	}
	for _, e := range out.Committed() {
		h.applyEntry(e)
	}
}

func (h *host) applyEntry(e *wire.LogEntry) {
	h.world.checkEntry(h, e)
	var result *wire.Result
	if e.GetKind() == wire.EntryKind_ENTRY_COMMAND {
		cmd := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			h.world.violate(SameEntries, err.Error())
		}
		result = h.machine.Apply(cmd)
	}
	a, ok := h.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(h.pending, e.GetIndex())
	if a.term != e.GetTerm() {
		a.notTaken(h.world)
		return
	}
	a.done(h.world, result)
}

func (h *host) answerRead(r quorum.ReadResult) {
	a, ok := h.reads[r.ID()]
	if !ok {
		return
	}
	delete(h.reads, r.ID())
	if !r.OK() || h.replica.AppliedIndex() < r.Index() {
		a.abandoned = true
		return
	}
	version, _ := h.machine.InForce()
	a.read(h.world, version.GetNumber())
}

// observe checks what must hold at any moment.
func (h *host) observe() {
	if h.replica.Role() != quorum.Leader {
		h.dropPending()
		return
	}
	w, term := h.world, h.replica.Term()
	if other, ok := w.leaders[term]; ok && other != h.id {
		w.violate(OneLeader, fmt.Sprintf("%s and %s in term %d", other, h.id, term))
	}
	w.leaders[term] = h.id
}

// dropPending gives up proposals of a leadership that ended, always in the same
// order.
func (h *host) dropPending() {
	for _, index := range slices.Sorted(maps.Keys(h.pending)) {
		a := h.pending[index]
		delete(h.pending, index)
		a.uncertain(h.world)
	}
}

// snapshot saves the state and shortens the log.
func (h *host) snapshot(keepBytes int) {
	if h.replica.AppliedIndex() == 0 {
		return
	}
	s := h.replica.SnapshotMeta()
	data, err := h.machine.Snapshot()
	if err != nil {
		h.world.violate(SameState, err.Error())
		return
	}
	s.State = data
	if h.world.fault(20) {
		h.folder.FailSyncs(errPowerFailure)
	}
	if err := h.store.SaveSnapshot(s); err != nil {
		h.crash()
		return
	}
	if err := h.store.Compact(s.GetIndex()); err != nil {
		h.crash()
		return
	}
	h.replica.Compact(s.GetIndex(), keepBytes)
}
