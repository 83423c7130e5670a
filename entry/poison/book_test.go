package poison_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/wire"
)

func lose(book *poison.Tracker, fp poison.Fingerprint, instance string, others ...poison.Fingerprint) {
	var flights []*poison.Attempt
	for _, other := range others {
		flights = append(flights, book.Begin(context.Background(), other, instance))
	}
	flight := book.Begin(context.Background(), fp, instance)
	flight.InstanceLost(context.Background())
	flight.End()
	for _, one := range flights {
		one.InstanceLost(context.Background())
		one.End()
	}
}

func refused(book *poison.Tracker, fp poison.Fingerprint) bool {
	_, yes := book.Refused(fp, time.Now())
	return yes
}

func TestSecondLossRefusesForASetTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := poison.NewTracker(poison.WithRefusalPeriod(time.Minute))
		lose(book, 1, "a")
		must.False(t, refused(book, 1))
		lose(book, 1, "a") // the same instance, noticed by another request
		must.False(t, refused(book, 1))
		lose(book, 1, "b")
		must.True(t, refused(book, 1))
		must.False(t, refused(book, 2))
		time.Sleep(time.Minute)
		must.False(t, refused(book, 1))
	})
}

func TestInnocentCompanionIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := poison.NewTracker()
		lose(book, 1, "a", 2)
		ran := book.Begin(t.Context(), 2, "b")
		ran.Answered()
		ran.End()
		lose(book, 1, "b", 2)
		must.True(t, refused(book, 1))
		must.False(t, refused(book, 2))
	})
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := poison.NewTracker()
		lose(book, 1, "a", 2)
		first := book.Begin(t.Context(), 1, "b")
		entered := make(chan *poison.Attempt, 1)
		go func() { entered <- book.Begin(context.Background(), 2, "b") }()
		synctest.Wait()
		must.Eq(t, 0, len(entered))
		first.InstanceLost(t.Context())
		first.End()
		synctest.Wait()
		second := <-entered
		second.Answered()
		second.End()
		must.True(t, refused(book, 1))
		must.False(t, refused(book, 2))
	})
}

func TestLostRackCondemnsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := poison.NewTracker()
		for n := range 6 {
			lose(book, 7, fmt.Sprint("rack-", n), poison.Fingerprint(100+n))
		}
		must.False(t, refused(book, 7))
		for n := range 6 {
			must.False(t, refused(book, poison.Fingerprint(100+n)))
		}
	})
}

func TestOtherHostsKnowBeforeTheCallerIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := make([]*poison.Tracker, 29)
		for n := range hosts {
			hosts[n] = poison.NewTracker(poison.WithBroadcast(func(_ context.Context, suspects []*wire.Suspect) {
				for other := range hosts {
					if other != n {
						hosts[other].Merge(suspects, time.Now())
					}
				}
			}))
		}
		lost := 0
		for n := range 100 {
			if host := hosts[n%len(hosts)]; !refused(host, 1) {
				lose(host, 1, fmt.Sprint("instance-", lost))
				lost++
			}
		}
		must.Eq(t, 2, lost)
	})
}

func TestRefusalOfAnotherHostIsNoLongerThanOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := poison.NewTracker(poison.WithRefusalPeriod(time.Minute))
		book.Merge([]*wire.Suspect{{Fingerprint: 1, Instances: []string{"a", "b"}, RefusedUntil: time.Now().Add(24 * time.Hour).UnixNano()}}, time.Now())
		until, yes := book.Refused(1, time.Now())
		must.True(t, yes)
		must.True(t, !until.After(time.Now().Add(time.Minute)))
	})
}

func TestFingerprintTellsBodiesAndPartsApart(t *testing.T) {
	base := poison.NewFingerprint(1, []byte("a"), "x", "y")
	must.Eq(t, base, poison.NewFingerprint(1, []byte("a"), "x", "y"))
	for _, other := range []poison.Fingerprint{poison.NewFingerprint(1, []byte("b"), "x", "y"), poison.NewFingerprint(2, []byte("a"), "x", "y"), poison.NewFingerprint(1, []byte("a"), "xy", "")} {
		must.NotEq(t, base, other)
	}
}
