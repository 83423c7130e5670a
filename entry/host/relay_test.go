package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/intake"
)

// isolatedRelay returns the relay of a host that reaches no instance.
func isolatedRelay(t *testing.T) *relay {
	t.Helper()
	views := &route.Views{}
	views.Store(map[string]*route.View{"shop": route.NewView("shop", []route.Member{route.NewMember(instance.New("i", "shop", "i:1"), &route.Load{})})})
	detector := isolation.New(func(context.Context, string) bool { return false }, views)
	go detector.Run(t.Context(), func(bool) {})
	detector.SuspectConnect()
	time.Sleep(100 * time.Millisecond)
	must.True(t, detector.Isolated())
	return newRelay(settings.Default(), detector, intake.NewBudget(0, 0))
}

// An isolated host went on relaying to hosts that were isolated themselves, or had stopped.
func TestIsolatedHostAvoidsHostsThatCannotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := isolatedRelay(t)
		asked := 0
		r.refresh = func() { asked++ }
		r.store([]string{"a", "b", "c"})
		r.Began("a")(false)
		for range 20 {
			must.Eq(t, "a", r.Hosts()[2])
		}
		synctest.Wait()
		must.Zero(t, asked)
		for range 5 {
			r.Began("b")(false)
		}
		synctest.Wait()
		must.One(t, asked) // one is left
		must.Eq(t, "c", r.Hosts()[0])
		time.Sleep(avoidFor)
		first := map[string]bool{}
		for range 100 {
			first[r.Hosts()[0]] = true
		}
		must.MapLen(t, 3, first)
	})
}

func TestRelayedRequestsAreSpreadOverHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := isolatedRelay(t)
		r.store([]string{"a", "b", "c"})
		sent := map[string]int{}
		for range 30 {
			address := r.Hosts()[0]
			sent[address]++
			r.Began(address)
		}
		must.Eq(t, map[string]int{"a": 10, "b": 10, "c": 10}, sent)
	})
}
