package control_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

const controlHosts = 3

// probesTime is when the probes of TCP end a link that lost its path.
const probesTime = 2 * time.Second

// slowTime is how late a slow control host answers.
const slowTime = 700 * time.Millisecond

// state says how a control host behaves.
type state int

const (
	current state = iota
	cutOff        // has no quorum and gets no new versions
	down          // refuses links
	silent        // its links lose their path; the probes of TCP end them
	hung          // answers nothing until it goes on
	broken        // sends another text, unless asked for the whole
	slow          // answers late with what it knew before
	states
)

// controlHost is one fake control host.
type controlHost struct {
	wire.Rules
	group   *group
	state   state
	version int
}

// group is the control hosts and the version that they agreed on.
type group struct {
	mu      sync.Mutex
	hosts   []*controlHost
	newest  int
	changed chan struct{}
}

func newGroup() *group {
	g := &group{changed: make(chan struct{})}
	for range controlHosts {
		g.hosts = append(g.hosts, &controlHost{group: g})
	}
	return g
}

func textOf(n int) string { return fmt.Sprintf("route a # w: same\nroute b%d # w: y\n", n) }

func versionOf(n int) *wire.Version {
	return &wire.Version{Number: uint64(n), Digest: delta.Digest(textOf(n))}
}

// set changes the group and wakes long polls.
func (g *group) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	for _, h := range g.hosts {
		if h.state != cutOff {
			h.version = g.newest
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// RoundTrip calls a fake control host by its address, without a network.
func (g *group) RoundTrip(r *http.Request) (*http.Response, error) {
	var n int
	_, _ = fmt.Sscanf(r.URL.Host, "c%d", &n)
	w := httptest.NewRecorder()
	wire.NewRulesServer(g.hosts[n]).ServeHTTP(w, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return w.Result(), nil
}

func (h *controlHost) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		h.group.mu.Lock()
		state, version, changed := h.state, h.version, h.group.changed
		h.group.mu.Unlock()
		switch {
		case state == down:
			return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "down"), errors.New("down"))
		case state == silent:
			<-time.After(probesTime)
			return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "lost"), errors.New("lost"))
		case state == hung:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			continue
		case version > int(req.GetKnownVersion()) || waited:
			if state == slow {
				time.Sleep(slowTime)
			}
			return h.answer(req, state, version), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (h *controlHost) answer(req *wire.WatchRequest, state state, version int) *wire.WatchResponse {
	known := int(req.GetKnownVersion())
	response := &wire.WatchResponse{Stale: state == cutOff || (version > known && known > 0)}
	if version > 0 {
		response.Version = versionOf(version)
	}
	switch {
	case version <= known:
	case state == broken && !req.GetWhole():
		response.Text = textOf(version + 1)
	case known > 0 && !req.GetWhole():
		response.Delta, _ = delta.Diff(textOf(known), textOf(version))
	default:
		response.Text = textOf(version)
	}
	return response
}

// watching is one entry host's watch over a group.
type watching struct {
	group  *group
	table  *rules.Table
	cancel context.CancelFunc
	done   chan struct{}
}

func watch(ctx context.Context, g *group) *watching {
	ctx, cancel := context.WithCancel(ctx)
	w := &watching{group: g, table: rules.NewTable(), cancel: cancel, done: make(chan struct{})}
	one := control.NewWatch(func() []string { return []string{"c0", "c1", "c2"} }, &http.Client{Transport: g}, w.table,
		func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger())
	go func() {
		defer close(w.done)
		one.Run(ctx)
	}()
	return w
}

func (w *watching) stop() {
	w.cancel()
	<-w.done
}

func TestNoTrafficBeforeAQuorumConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		g.set(func() { g.newest = 3 })
		g.set(func() { g.newest = 4; g.hosts[0].state, g.hosts[1].state, g.hosts[2].state = cutOff, down, silent })
		w := watch(t.Context(), g)
		defer w.stop()
		time.Sleep(time.Minute)
		must.Eq(t, 3, w.table.Current().Number())
		must.False(t, w.table.Confirmed())
		g.set(func() { g.hosts[1].state = current })
		time.Sleep(time.Second)
		must.True(t, w.table.Confirmed())
		must.Eq(t, 4, w.table.Current().Number())
	})
}

func TestHostCutOffKeepsItsVersionAndKnowsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		g.set(func() { g.newest = 1 })
		w := watch(t.Context(), g)
		defer w.stop()
		time.Sleep(10 * time.Second)
		must.LessEq(t, 4*time.Second, time.Since(w.table.ConfirmedAt()))
		g.set(func() { g.hosts[0].state, g.hosts[1].state, g.hosts[2].state = cutOff, down, silent })
		time.Sleep(time.Hour)
		must.True(t, w.table.Confirmed())
		must.Between(t, time.Hour-time.Second, time.Since(w.table.ConfirmedAt()), time.Hour+5*time.Second)
	})
}

// step is one change of the group, and the time before the next.
type step struct {
	submit bool
	host   int
	state  state
	wait   time.Duration
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			submit: rapid.Bool().Draw(t, "submit"), host: rapid.IntRange(0, controlHosts-1).Draw(t, "host"),
			state: state(rapid.IntRange(0, int(states)-1).Draw(t, "state")),
			wait:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 1, 30).Draw(t, "steps")
}

// play runs a schedule and reports the first broken promise.
func play(ctx context.Context, steps []step) error {
	g := newGroup()
	w := watch(ctx, g)
	defer w.stop()
	highest := uint64(0)
	for _, s := range steps {
		g.set(func() {
			if s.submit {
				g.newest++
			}
			g.hosts[s.host].state = s.state
		})
		time.Sleep(s.wait)
		number := w.table.Current().Number()
		if number < highest {
			return errors.Errorf("version went back from %d to %d", highest, number)
		}
		highest = number
		if text := w.table.Current().Text(); number > 0 && text != textOf(int(number)) {
			return errors.Errorf("version %d has another version's text: %s", number, text)
		}
	}
	g.set(func() { g.newest++; g.hosts[1].state = current })
	time.Sleep(3 * time.Second)
	if got := w.table.Current().Number(); got != uint64(g.newest) || !w.table.Confirmed() {
		return errors.Errorf("version %d after 3 s, in force is %d", got, g.newest)
	}
	return nil
}

func TestNewestVersionComesFromAnyHostThatHasIt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var err error
		synctest.Test(t, func(t *testing.T) { err = play(t.Context(), steps) })
		must.NoError(rt, err)
	})
}
