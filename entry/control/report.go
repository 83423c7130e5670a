package control

import (
	"context"
	"sync"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Report sends this host's state to every control host immediately, without
// waiting for the next poll.
func (w *Watch) Report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range w.Hosts() {
		group.Go(func() {
			response, err := w.newHost(address).rules.Watch(ctx, &wire.WatchRequest{Report: w.report(), KnownVersion: w.table.Current().Number()})
			if err != nil {
				w.repoll(address)
				return
			}
			w.applyRelays(response)
		})
	}
	group.Wait()
}

// repoll polls a control host that missed a report again, because the next poll
// brings it. The primary is polled often anyway.
func (w *Watch) repoll(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if host := w.polled[address]; host != nil && host != w.primary {
		host.pollAgain()
	}
}
