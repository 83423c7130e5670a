package peer

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

// entryOverhead is what an entry costs in the log beside its data, in bytes.
const entryOverhead = 48

// snapshotter decides when a snapshot is taken. It grows the time between two
// with the size of the state, so that the work stays in proportion.
type snapshotter struct {
	logBytes  int // applied since the last snapshot
	lastBytes int // size of the last snapshot
	running   bool
}

func (s *snapshotter) due() bool {
	return !s.running && s.logBytes >= min(max(minSnapshot, s.lastBytes), maxSnapshot)
}

// snapshotIfDue encodes and writes a snapshot beside the node's goroutine,
// which only freezes the state.
func (n *Node) snapshotIfDue() {
	if !n.snapshots.due() || n.failure() != nil {
		return
	}
	n.snapshots.running = true
	n.snapshots.logBytes = 0
	meta := n.replica.SnapshotMeta()
	frozen := n.machine.Freeze()
	go n.saveSnapshot(meta, frozen)
}

func (n *Node) saveSnapshot(meta *wire.LogSnapshot, frozen *state.Frozen) {
	data, err := frozen.Encode()
	if err == nil {
		err = n.store.SaveSnapshot(&wire.LogSnapshot{Index: meta.GetIndex(), Term: meta.GetTerm(), Members: meta.GetMembers(), State: data})
	}
	if err == nil {
		err = n.store.Truncate(meta.GetIndex())
	}
	n.do(n.linkCtx, func() {
		n.snapshots.running = false
		if err != nil {
			n.halt(errors.Wrap(err, "save snapshot"))
			return
		}
		n.snapshots.lastBytes = len(data)
		n.replica.Compact(meta.GetIndex(), keptBytes)
	})
}
