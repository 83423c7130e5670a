package poison_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/knownred"
	"github.com/snipebeam/snipebeam/world/wire"
)

// A request that goes on ending instances was sent again at each host that was told of the
// third loss.
func TestRefusalOutlivesFurtherLossesToldByAnotherHost(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		told := poison.NewTracker()
		teller := poison.NewTracker(poison.WithBroadcast(func(_ context.Context, suspects []*wire.Suspect) {
			told.Merge(suspects, time.Now())
		}))
		for n, instance := range []string{"a", "b", "c", "d", "e", "f"} {
			lose(teller, 1, instance)
			must.Eq(t, n >= 1, refused(told, 1))
			time.Sleep(5 * time.Second)
		}
	})
}

func TestHostThatStartsRefusesWhatOthersRefuse(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		teller := poison.NewTracker()
		for _, fp := range []poison.Fingerprint{1, 2} {
			for _, instance := range []string{"a", "b"} {
				lose(teller, fp, instance+string(rune('0'+fp)))
				time.Sleep(5 * time.Second)
			}
		}
		started := poison.NewTracker()
		started.Merge(teller.Suspects(), time.Now())
		must.True(t, refused(started, 1))
		must.True(t, refused(started, 2))
	})
}
