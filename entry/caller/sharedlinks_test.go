package caller_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/knownred"
)

// Guards against connections that an instance resets, because each entry host opens as
// many as it likes and the number that the instance accepts is for all hosts together.
func TestHostsTogetherOpenNoMoreLinksThanAnInstanceAccepts(t *testing.T) {
	knownred.Skip(t)
	const accepted, hosts, perHost = 20, 5, 16
	var mu sync.Mutex
	inUse, most := 0, 0
	release := make(chan struct{})
	address := httpInstance(t, func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		inUse++
		most = max(most, inUse)
		mu.Unlock()
		<-release
		mu.Lock()
		inUse--
		mu.Unlock()
	})
	views := &route.Views{}
	i := instance.New("shop-1", "shop", address, instance.WithMaxLinks(accepted))
	views.Store(map[string]*route.View{"shop": route.NewView("shop", []route.Member{route.NewMember(i, &route.Load{})})})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var group sync.WaitGroup
	for range hosts {
		host := serveEntry(t, newEntry(t, views, newClaims()))
		for range perHost {
			group.Go(func() { _, _ = do(newRequest(t, http.MethodGet, host, "/plain/x", "").WithContext(ctx)) })
		}
	}
	<-ctx.Done()
	close(release)
	group.Wait()
	must.LessEq(t, accepted, most)
}
