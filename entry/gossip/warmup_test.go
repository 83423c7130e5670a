package gossip_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A renewal that only counts the cold time down would otherwise be news for all hosts.
func TestRenewalThatCountsTheColdTimeDownIsNoNews(t *testing.T) {
	w := newNetwork(1, 13)
	core := w.nodes[0].core
	announcer := w.announce("i", w.nodes[0].name)
	message := announcer.message
	message.Cold, message.WarmupLeftNs = true, int64(3*time.Second)
	_, err := core.Announce(w.now, message)
	must.NoError(t, err)
	before := core.Instances()[0].GetRevision()
	message.WarmupLeftNs = int64(time.Second)
	_, err = core.Announce(w.now, message)
	must.NoError(t, err)
	must.Eq(t, before, core.Instances()[0].GetRevision())
	message.Cold, message.WarmupLeftNs = false, 0
	_, err = core.Announce(w.now, message)
	must.NoError(t, err)
	must.Greater(t, before, core.Instances()[0].GetRevision())
}
