package upstream

import (
	"context"
	"maps"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// warmupTolerance is the time by which an instance that stays cold may state another end
// of its cold time. Announcements are delayed, and a record is not changed for that.
const warmupTolerance = 500 * time.Millisecond

// noteWarmup records until when the committed record of an instance states that it is cold.
func (i *Instances) noteWarmup(m *wire.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if m.GetWarmupLeftNs() <= 0 {
		delete(i.warm, m.GetId())
		return
	}
	i.warm[m.GetId()] = time.Now().Add(time.Duration(m.GetWarmupLeftNs()))
}

// turnedColdAgain reports whether an instance that was cold stays so for longer than its
// record states, after which entry hosts no longer take it for cold. This matters only if its
// service limits the requests to cold instances.
func (i *Instances) turnedColdAgain(known, m *wire.Instance) bool {
	left := time.Duration(m.GetWarmupLeftNs())
	if !m.GetCold() || left <= 0 || i.terms(m.GetService()).ColdRate() <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	end, ok := i.warm[m.GetId()]
	if !ok && known.GetHeardBy() == i.name { // committed before this host started, at an unknown time
		return true
	}
	if !ok { // committed by another host; the next announcement here is committed
		i.warm[m.GetId()] = time.Now().Add(left)
		return left > time.Duration(known.GetWarmupLeftNs())+warmupTolerance
	}
	return time.Now().Add(left).Sub(end) > warmupTolerance
}

// announceColdAgain replaces the time that the record states. The record that is not cold
// and the one that is are committed as one command, between which nothing is read. Control
// hosts of earlier releases apply it in the same way.
func (i *Instances) announceColdAgain(ctx context.Context, m *wire.Instance) error {
	warm := proto.Clone(m).(*wire.Instance)
	warm.Cold, warm.WarmupLeftNs = false, 0
	result, err := i.batches.commit(ctx, warm, m)
	if err != nil {
		return err
	}
	if result.GetOutdated() {
		return nil
	}
	i.renew(m.GetId())
	i.noteWarmup(m)
	i.logger.Info("instance cold again", "instance", m.GetId(), "service", m.GetService(), "left", time.Duration(m.GetWarmupLeftNs()).String())
	return nil
}

// forgetWarmups drops the ends that are long over.
func (i *Instances) forgetWarmups(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	maps.DeleteFunc(i.warm, func(_ string, end time.Time) bool { return now.Sub(end) >= i.lease })
}
