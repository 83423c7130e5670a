package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/world/wire"
)

func init() { register("control", measureRecovery) }

// Size of the state that a control host recovers, and the bounds.
const (
	recoverChanges  = 1000
	recoverClaims   = 100_000
	recoverBoundMs  = 1000
	residentBoundMB = 256
	fillClients     = 128
)

// benchRules returns a rules text of typical size that differs for each n.
func benchRules(n uint64) string {
	var text strings.Builder
	for line := range 20 {
		fmt.Fprintf(&text, "# Comptoir: line %d of change %d\n", line, n)
	}
	return text.String()
}

func fillChanges(g *controlGroup) error {
	for n := range uint64(recoverChanges) {
		if err := submitNext(g, n); err != nil {
			return err
		}
	}
	return nil
}

func fillClaims(g *controlGroup) error {
	var next, failed atomic.Int64
	var group sync.WaitGroup
	for n := range fillClients {
		group.Go(func() {
			claims := g.claims(n % len(g.cluster.Controls))
			for next.Add(1) <= recoverClaims {
				req := newClaim()
				err := claimOnce(claims, req)
				if err != nil {
					err = claimOnce(claims, req)
				}
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		return errors.Errorf("%d claims failed", failed.Load())
	}
	return nil
}

// measureRecovery measures the restart of hosts with many changes and live
// claims.
func measureRecovery(emit func(figure.Figure)) error {
	g, err := newControlGroup(3)
	if err != nil {
		return err
	}
	defer g.close()
	if err := fillChanges(g); err != nil {
		return err
	}
	if err := fillClaims(g); err != nil {
		return err
	}
	resident, err := residentMB(g)
	if err != nil {
		return err
	}
	one, err := recoverOne(g)
	if err != nil {
		return err
	}
	all, err := recoverAll(g)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("from the start of the process to a current answer with version %d, %d live claims", recoverChanges, recoverClaims)
	emit(figure.AtMost("control", "recoverMs", ms(one), "ms", recoverBoundMs).WithNote(note))
	emit(figure.Plain("control", "recoverAllMs", ms(all), "ms").WithNote("all three killed and started at once, an election among them"))
	emit(figure.AtMost("control", "controlHostResidentMB", resident, "MB", residentBoundMB).WithNote("largest of the three control hosts, with these claims"))
	return nil
}

// recoverOne kills a follower and starts it again.
func recoverOne(g *controlGroup) (time.Duration, error) {
	leader, err := g.leader()
	if err != nil {
		return 0, err
	}
	n := (leader + 1) % len(g.cluster.Controls)
	g.cluster.Controls[n].Kill()
	start := time.Now()
	if err := g.restart(n); err != nil {
		return 0, err
	}
	return recoveryTime(g, n, start)
}

func recoveryTime(g *controlGroup, n int, start time.Time) (time.Duration, error) {
	response, err := g.awaitCurrent(n)
	elapsed := time.Since(start)
	if err == nil && response.GetVersion().GetNumber() != recoverChanges {
		err = errors.Errorf("version %d is in force after the restart", response.GetVersion().GetNumber())
	}
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	status, err := g.rules(n).Status(ctx, &wire.StatusRequest{})
	if err == nil && status.GetClaimsOutstanding() < recoverClaims {
		err = errors.Errorf("%d claims are live after the restart", status.GetClaimsOutstanding())
	}
	return elapsed, err
}

func recoverAll(g *controlGroup) (time.Duration, error) {
	for _, host := range g.cluster.Controls {
		host.Kill()
	}
	start := time.Now()
	for n := range g.cluster.Controls {
		if err := g.restart(n); err != nil {
			return 0, err
		}
	}
	return recoveryTime(g, 0, start)
}

// residentMB returns the resident memory of the largest control host.
func residentMB(g *controlGroup) (float64, error) {
	largest := 0.0
	for _, host := range g.cluster.Controls {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", host.PID()))
		if err != nil {
			return 0, errors.Wrap(err, "read resident memory")
		}
		_, rest, _ := strings.Cut(string(data), "VmRSS:")
		kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return 0, errors.Wrap(err, "read resident memory")
		}
		largest = max(largest, kb/1024)
	}
	return largest, nil
}
