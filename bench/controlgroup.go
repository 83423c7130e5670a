package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits of waits for a control group, and of calls to it.
const (
	groupReadyLimit = 20 * time.Second
	groupPoll       = time.Millisecond
	callLimit       = 3 * time.Second
)

// controlGroup is a control group of processes on loopback, with an HTTP client.
type controlGroup struct {
	cluster *cluster.Cluster
	dir     string
	client  *http.Client
}

// newControlGroup builds the program, starts n hosts and waits until all of them
// serve current reads.
func newControlGroup(n int) (*controlGroup, error) {
	dir, err := os.MkdirTemp("", "snipebeam-control-")
	if err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	g := &controlGroup{dir: dir, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	if err := g.start(n); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

func (g *controlGroup) start(n int) error {
	build := exec.Command("go", "build", "-o", filepath.Join(g.dir, "snipebeam-control"), "./control")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return errors.Wrap(err, "build snipebeam-control")
	}
	c, err := cluster.New(g.dir, g.dir)
	if err != nil {
		return err
	}
	g.cluster = c
	if err := c.StartControl(n); err != nil {
		return err
	}
	return g.awaitQuorum()
}

func (g *controlGroup) close() {
	if g.cluster != nil {
		g.cluster.Close()
	}
	_ = os.RemoveAll(g.dir)
}

func (g *controlGroup) rules(n int) wire.Rules {
	return wire.NewRulesProtobufClient("http://"+g.cluster.Controls[n].Peers, g.client)
}

func (g *controlGroup) claims(n int) wire.Claims {
	return wire.NewClaimsProtobufClient("http://"+g.cluster.Controls[n].Peers, g.client)
}

func hostName(n int) string { return fmt.Sprintf("control-%d", n+1) }

// awaitCurrent waits until a host serves a read that is not stale.
func (g *controlGroup) awaitCurrent(n int) (*wire.ReadResponse, error) {
	deadline := time.Now().Add(groupReadyLimit)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		response, err := g.rules(n).Read(ctx, &wire.ReadRequest{})
		cancel()
		if err == nil && !response.GetStale() {
			return response, nil
		}
		time.Sleep(groupPoll)
	}
	return nil, errors.Errorf("%s served no current read within %s", hostName(n), groupReadyLimit)
}

func (g *controlGroup) awaitQuorum() error {
	for n := range g.cluster.Controls {
		if _, err := g.awaitCurrent(n); err != nil {
			return err
		}
	}
	return nil
}

// leader returns the index of the leader.
func (g *controlGroup) leader() (int, error) {
	deadline := time.Now().Add(groupReadyLimit)
	for time.Now().Before(deadline) {
		for n := range g.cluster.Controls {
			ctx, cancel := context.WithTimeout(context.Background(), callLimit)
			status, err := g.rules(n).Status(ctx, &wire.StatusRequest{})
			cancel()
			if err == nil && status.GetQuorum() && status.GetLeader() == status.GetServedBy() {
				return n, nil
			}
		}
		time.Sleep(groupPoll)
	}
	return 0, errors.New("control group has no leader")
}

func (g *controlGroup) restart(n int) error {
	return g.cluster.Restart(g.cluster.Controls[n], hostName(n), "snipebeam-control")
}
