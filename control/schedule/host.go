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

// host is a data folder and the simulated process that uses it.
type host struct {
	sim      *Simulation
	name     string
	id       string
	folder   *memory.Folder
	store    *disk.Store
	replica  *quorum.Replica
	machine  *state.Machine
	up       bool
	diskLost bool // the disk is lost, and the identity with it
	diskFull bool // the process runs and takes no part
	applied  uint64
	pending  map[uint64]*attempt
	reads    map[uint64]*attempt
}

var errPowerFailure = errors.New("power failure")

func (sim *Simulation) newHost(name string) *host {
	h := &host{sim: sim, name: name, id: fmt.Sprintf("%s/%d", name, len(sim.hosts)), folder: memory.New()}
	store, err := disk.Create(h.folder, &wire.ReplicaIdentity{Identity: h.id, Name: name, Group: "group"}, disk.WithSegmentBytes(segmentBytes))
	if err != nil {
		panic("schedule: " + err.Error())
	}
	_ = store.Close()
	sim.hosts = append(sim.hosts, h)
	h.start()
	return h
}

// bootstrap writes the initial membership as the first entry of the log.
func (h *host) bootstrap(members []*wire.Member) {
	first := &wire.LogEntry{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_MEMBERS, Members: &wire.Members{Members: members}}
	if err := h.store.Write(&wire.SavedVote{Term: 1}, []*wire.LogEntry{first}); err != nil {
		panic("schedule: " + err.Error())
	}
	_ = h.store.Close()
	h.start()
}

// start starts the process from the data folder, or makes room on its full disk.
func (h *host) start() {
	if h.diskFull {
		h.takePartAgain()
		return
	}
	store, saved, err := disk.Open(h.folder, disk.WithSegmentBytes(segmentBytes))
	if err != nil {
		h.sim.violate(CrashConsistency, h.id+": "+err.Error())
		h.diskLost = true
		return
	}
	h.store, h.machine = store, state.New()
	if s := saved.Snapshot.GetState(); len(s) > 0 {
		if err := h.machine.Restore(s); err != nil {
			h.sim.violate(CrashConsistency, h.id+": "+err.Error())
		}
	}
	h.pending, h.reads = map[uint64]*attempt{}, map[uint64]*attempt{}
	h.startReplica(saved)
	h.applied = h.replica.AppliedIndex()
}

func (h *host) startReplica(saved quorum.PersistentState) {
	h.replica = quorum.New(h.id, saved, quorum.WithElectionTicks(electionTicks), quorum.WithHeartbeatTicks(heartbeatTicks),
		quorum.WithSeed(xxhash.Sum64String(fmt.Sprint(h.id, h.sim.now))), quorum.WithMaxBatchBytes(256), quorum.WithMaxInFlight(16))
	h.up = true
}

// runOutOfSpace leaves the process running with a full disk.
func (h *host) runOutOfSpace() {
	h.up, h.diskFull = false, true
	h.sim.report.fullDisks++
	h.abandonRequests()
}

// takePartAgain recovers the store, keeps what was applied, and starts the replica anew.
func (h *host) takePartAgain() {
	h.folder.SetFreeSpace(-1)
	h.diskFull = false
	saved, err := h.store.Recover()
	if err != nil {
		h.crash()
		return
	}
	if s := saved.Snapshot; s.GetIndex() > h.applied {
		if err := h.machine.Restore(s.GetState()); err != nil {
			h.sim.violate(CrashConsistency, h.id+": "+err.Error())
		}
		h.applied = s.GetIndex()
	}
	h.startReplica(saved)
}

// crash stops the process and discards a random part of what was not synced.
func (h *host) crash() {
	h.up = false
	h.sim.report.crashes++
	h.abandonRequests()
	h.folder.FailSyncs(nil)
	h.folder.SetFreeSpace(-1)
	h.folder.Crash(func(unsynced int) int { return h.sim.source.Int(unsynced + 1) })
}

func (h *host) abandonRequests() {
	h.abandonProposals()
	for id, a := range h.reads {
		delete(h.reads, id)
		a.abandoned = true
	}
}

// flush processes the output of the replica as a real host does, with crashes
// between the steps.
func (h *host) flush() {
	for h.up {
		out := h.replica.Take()
		if out.Empty() {
			return
		}
		h.sim.send(out.EarlyMessages())
		if out.NeedsWrite() && !h.write(&out) {
			return
		}
		h.replica.Persisted()
		h.sim.send(out.Messages())
		if out.Vote() != nil && h.sim.faultOneIn(8) {
			// A vote that was sent must survive the restart.
			h.crash()
			return
		}
		h.apply(&out)
		for _, r := range out.Reads() {
			h.answerRead(r)
		}
		h.checkLeadership()
	}
}

func (h *host) write(out *quorum.Output) bool {
	if h.sim.faultOneIn(120) {
		h.folder.FailSyncs(errPowerFailure)
	}
	if h.sim.faultOneIn(120) {
		h.folder.SetFreeSpace(h.sim.source.Int(300))
	}
	err := h.save(out)
	if err == nil && !h.sim.faultOneIn(300) {
		return true
	}
	h.stopAfter(err)
	return false
}

// stopAfter stops the process after a failed write, unless the disk is only full.
func (h *host) stopAfter(err error) {
	if err != nil && h.store.OutOfSpace() {
		h.runOutOfSpace()
		return
	}
	h.crash()
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
			h.sim.violate(CrashConsistency, err.Error())
		}
		h.abandonRequests()
		h.applied = s.GetIndex()
	}
	for _, e := range out.Committed() {
		if e.GetIndex() > h.applied {
			h.applyEntry(e)
			h.applied = e.GetIndex()
		}
	}
}

func (h *host) applyEntry(e *wire.LogEntry) {
	h.sim.checkEntry(h, e)
	var result *wire.Result
	if e.GetKind() == wire.EntryKind_ENTRY_COMMAND {
		cmd := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			h.sim.violate(SameEntries, err.Error())
		}
		result = h.machine.Apply(cmd)
	}
	a, ok := h.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(h.pending, e.GetIndex())
	if a.term != e.GetTerm() {
		a.overwritten(h.sim)
		return
	}
	a.complete(h.sim, result)
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
	a.completeRead(h.sim, version.GetNumber())
}

// checkLeadership abandons the proposals of a replica that is not the leader,
// and checks that a term has at most one leader.
func (h *host) checkLeadership() {
	if h.replica.Role() != quorum.Leader {
		h.abandonProposals()
		return
	}
	sim, term := h.sim, h.replica.Term()
	if other, ok := sim.leaders[term]; ok && other != h.id {
		sim.violate(OneLeader, fmt.Sprintf("%s and %s in term %d", other, h.id, term))
	}
	sim.leaders[term] = h.id
}

// abandonProposals records that the outcome of the pending proposals is unknown.
// It sorts them by index because the order must not differ between runs.
func (h *host) abandonProposals() {
	for _, index := range slices.Sorted(maps.Keys(h.pending)) {
		a := h.pending[index]
		delete(h.pending, index)
		a.outcomeUnknown(h.sim)
	}
}

// snapshot saves a snapshot and compacts the log.
func (h *host) snapshot(keepBytes int) {
	if h.replica.AppliedIndex() == 0 || h.replica.AppliedIndex() < h.applied {
		return
	}
	s := h.replica.SnapshotMeta()
	data, err := h.machine.Snapshot()
	if err != nil {
		h.sim.violate(SameState, err.Error())
		return
	}
	s.State = data
	if h.sim.faultOneIn(20) {
		h.folder.FailSyncs(errPowerFailure)
	}
	if err := h.store.SaveSnapshot(s); err != nil {
		h.stopAfter(err)
		return
	}
	if err := h.store.Compact(s.GetIndex()); err != nil {
		h.stopAfter(err)
		return
	}
	h.replica.Compact(s.GetIndex(), keepBytes)
}
