package peer

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

// entryOverheadBytes is the size in bytes of a log entry without its data.
const entryOverheadBytes = 48

// maxDelayedLogBytes is the size of the log up to which the next snapshot waits until a member has
// the last one.
const maxDelayedLogBytes = 2 * maxSnapshotLogBytes

// snapshotter decides when to take a snapshot. The log between two snapshots grows
// with the size of the state, so that the cost stays proportional.
type snapshotter struct {
	logBytes  int // bytes applied since the last snapshot
	lastBytes int // size of the last snapshot
	running   bool
}

// due reports whether to take a snapshot. While a member is being sent the last one it waits, as
// the log that the member needs after it would be gone, and the member would need the next one.
func (s *snapshotter) due(isSending bool) bool {
	if s.running || isSending && s.logBytes < maxDelayedLogBytes {
		return false
	}
	return s.logBytes >= min(max(minSnapshotLogBytes, s.lastBytes), maxSnapshotLogBytes)
}

// snapshotIfDue encodes and writes a snapshot in the background. The goroutine of
// Run only freezes the state.
func (n *Node) snapshotIfDue() {
	if !n.snapshots.due(n.replica.SendsSnapshot()) || n.failure() != nil {
		return
	}
	if n.replica.AppliedIndex() < n.applied {
		return // since the disk was full, the replica is behind the state
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
		err = n.store.Compact(meta.GetIndex())
	}
	n.do(n.runCtx, func() {
		n.snapshots.running = false
		if err != nil {
			n.fail(errors.Wrap(err, "save snapshot"))
			return
		}
		n.snapshots.lastBytes = len(data)
		n.replica.Compact(meta.GetIndex(), retainedLogBytes)
	})
}
