package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/wire"
)

func limits(perSecond float64, ended bool, age time.Duration) []*wire.RateLimit {
	return []*wire.RateLimit{{Instance: "x", PerSecond: perSecond, Ended: ended, AgeNs: int64(age)}}
}

func TestLatestRateLimitIsKeptInWhateverOrderReportsArrive(t *testing.T) {
	f, now := fleet.New(), time.Unix(1000, 0)
	f.AddRateLimits(limits(0, true, 0), now)
	must.Nil(t, f.RateLimit("x", now)) // nothing that could end
	f.AddRateLimits(limits(3, false, time.Second), now)
	f.AddRateLimits(limits(5, false, 2*time.Second), now)
	must.Eq(t, 3, f.RateLimit("x", now).GetPerSecond())
	f.AddRateLimits(limits(0, true, 0), now)
	f.AddRateLimits(limits(3, false, time.Millisecond), now)
	must.True(t, f.RateLimit("x", now).GetEnded())
}

func TestRateLimitsAreSentOnceToEachHost(t *testing.T) {
	f, now := fleet.New(), time.Unix(1000, 0)
	changed := f.RateLimitsChanged()
	f.BeginPoll(&wire.HostReport{Name: "e", RateLimits: limits(3, false, time.Second)}, now)
	select {
	case <-changed:
	default:
		t.Fatal("channel is not closed when a rate limit is added")
	}
	news, revision := f.RateLimits(0, now)
	must.Len(t, 1, news)
	must.Eq(t, int64(time.Second), news[0].GetAgeNs())
	f.AddRateLimits(limits(3, false, 0), now)
	news, revision = f.RateLimits(revision, now)
	must.SliceEmpty(t, news)
	f.AddRateLimits(limits(4, false, 0), now.Add(time.Second))
	news, _ = f.RateLimits(revision, now.Add(time.Second))
	must.Len(t, 1, news)
	news, _ = f.RateLimits(1000, now) // of a control host that has started again
	must.Len(t, 1, news)
}
