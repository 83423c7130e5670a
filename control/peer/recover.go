package peer

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/control/quorum"
)

// recoverInterval is the interval at which a node whose disk was full tries to write again.
const recoverInterval = 500 * time.Millisecond

var diskFullTotal = metrics.GetOrCreateCounter("snipebeam_control_disk_full_total")

// takePartAgain waits until there is room on a disk that was full, and continues from what
// the disk holds, as after a restart. The applied state is kept: what was committed stays
// committed. It returns false if the storage failed otherwise, or at the end of the context.
func (n *Node) takePartAgain(ctx context.Context) bool {
	if !n.store.OutOfSpace() {
		return false
	}
	diskFullTotal.Inc()
	since := time.Now()
	ticker := time.NewTicker(recoverInterval)
	defer ticker.Stop()
	for {
		n.abortWaiting()
		n.publish()
		select {
		case <-ctx.Done():
			return false
		case task := <-n.work:
			task()
			n.runQueued()
			n.replica.Take() // what it asks for is neither written nor sent
			continue
		case <-ticker.C:
		}
		if n.snapshots.running {
			continue // it still uses the folder
		}
		saved, err := n.store.Recover()
		switch {
		case err != nil && n.store.OutOfSpace():
			n.logger.Debug("disk is still full", "error", err)
			continue
		case err != nil:
			n.logger.Error("storage failed for good", "error", err)
			return false
		}
		n.fault.Store(nil)
		n.restart(saved)
		n.logger.Info("disk has room again, this control host takes part in the control group", "outSeconds", time.Since(since).Seconds(), "index", n.replica.LastIndex())
		return true
	}
}

// restart starts the replica from what the disk holds. Committed entries come again, from the
// snapshot on; those that the machine has applied are skipped.
func (n *Node) restart(saved quorum.PersistentState) {
	applied := n.applied
	if s := saved.Snapshot; s.GetIndex() > applied { // written, but not applied, before the disk was full
		n.restoreSnapshot(s)
	}
	saved.Snapshot = withoutState(saved.Snapshot)
	n.start(saved)
	n.applied = max(applied, n.applied)
	n.syncLinks()
	n.publish()
}
