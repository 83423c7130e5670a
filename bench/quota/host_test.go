package quota_test

import (
	"context"
	"slices"
	"strconv"
	"time"

	entry "github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
)

// host is one entry host.
type host struct {
	s       *simulation
	number  int
	process int // of which this is the number
	ledger  *entry.Ledger
	cut     bool // off from all control hosts
	calling bool
	leader  int           // last known, -1 for none
	lookAt  time.Duration // when the next look at the ledger is scheduled, 0 for never
	calls   int
	waiters []waiter
}

type waiter struct {
	request *entry.Request
	decided func()
}

// start begins a new process of the host.
func (h *host) start() {
	h.process++
	h.calling, h.leader, h.waiters, h.lookAt = false, -1, nil, 0
	h.ledger = entry.NewLedger("e"+strconv.Itoa(h.number)+"/"+strconv.Itoa(h.process), func() int64 { return int64(h.s.now) },
		func(name string) *contract.Organisation { return h.s.rules[name] })
}

// arrive handles one request.
func (h *host) arrive(name string) { h.acquire(name, h.s.now, false) }

func (h *host) acquire(name string, arrived time.Duration, waited bool) {
	request := h.ledger.Acquire(h.s.rules[name], 2*time.Second)
	process := h.process
	select {
	case <-request.Done():
		h.conclude(name, arrived, request, process, waited)
		h.drive()
		return
	default:
	}
	h.waiters = append(h.waiters, waiter{request: request, decided: func() { h.conclude(name, arrived, request, process, true) }})
	ledger := h.ledger
	h.s.after(400*time.Millisecond, func() {
		if process == h.process {
			ledger.End(request)
			h.settle()
		}
	})
	h.drive()
}

// settle concludes the requests that have been decided.
func (h *host) settle() {
	all := h.waiters
	h.waiters = nil
	for _, w := range all {
		select {
		case <-w.request.Done():
			w.decided()
		default:
			h.waiters = append(h.waiters, w)
		}
	}
}

// conclude sends the request, maybe after a time in which a link is opened, or ends it.
func (h *host) conclude(name string, arrived time.Duration, request *entry.Request, process int, waited bool) {
	token, refusal := request.Result()
	if refusal != nil {
		h.s.ended[name] = append(h.s.ended[name], ended{arrived: arrived, at: h.s.now, reason: refusal.Reason(), waited: waited, host: h.number})
		return
	}
	h.s.after(h.s.upTo(h.s.faults.slowLinks), func() {
		switch {
		case process != h.process:
		case h.s.faults.slowLinks > 0 && h.s.random.Intn(10) == 0: // it ended first
			token.Release()
		case h.s.faults.slowLinks > 0 && h.s.random.Intn(10) == 0 && token.Spend(): // the link failed first
			token.Restore()
			token.Release()
		case token.Spend():
			h.s.ended[name] = append(h.s.ended[name], ended{arrived: arrived, at: h.s.now, ran: true, waited: waited, host: h.number})
		case h.s.now-arrived < 2*time.Second:
			token.Release()
			h.acquire(name, arrived, waited)
		}
	})
}

// drive makes the next call if it is due, and looks again when it will be.
func (h *host) drive() {
	if h.calling {
		return
	}
	at, needed := h.ledger.Due()
	if !needed {
		return
	}
	if wait := time.Duration(at) - h.s.now; wait > 0 {
		if h.lookAt == 0 || time.Duration(at) < h.lookAt {
			h.lookAt = time.Duration(at)
			h.s.after(wait, func() {
				if h.lookAt == h.s.now {
					h.lookAt = 0
					h.drive()
				}
			})
		}
		return
	}
	h.calling = true
	h.calls++
	order := []int{0, 1, 2}
	if h.leader >= 0 {
		order = slices.Insert(slices.DeleteFunc(order, func(n int) bool { return n == h.leader }), 0, h.leader)
	}
	h.try(h.process, order)
}

// try calls the given control hosts one after another until one grants.
func (h *host) try(process int, order []int) {
	s := h.s
	if process != h.process {
		return
	}
	if len(order) == 0 {
		h.leader, h.calling = -1, false
		h.ledger.Fail()
		h.drive()
		return
	}
	target, answered := order[0], false
	req := h.ledger.Begin()
	s.after(callTimeout, func() {
		if !answered {
			answered = true
			h.try(process, order[1:])
		}
	})
	answer := func(response *wire.OrganisationGrantResponse) {
		if answered || process != h.process {
			return
		}
		answered = true
		if !response.GetLeader() {
			h.try(process, order[1:])
			return
		}
		h.leader, h.calling = target, false
		h.ledger.Apply(response)
		h.settle()
		h.drive()
	}
	h.send(s.control[target], req, answer)
}

// send delivers a call and its response, unless they are lost.
func (h *host) send(r *replica, req *wire.OrganisationGrantRequest, answer func(*wire.OrganisationGrantResponse)) {
	s := h.s
	delay := 200*time.Microsecond + s.upTo(time.Millisecond)
	if s.random.Float64() < s.faults.slowCalls {
		delay = s.upTo(2 * time.Second)
	}
	lost := func() bool { return h.cut || s.random.Float64() < s.faults.lostCalls }
	if lost() {
		return
	}
	handle := func() {
		response, err := r.GrantOrganisations(context.Background(), req)
		if err != nil {
			response = &wire.OrganisationGrantResponse{}
		}
		back := 200*time.Microsecond + s.upTo(time.Millisecond)
		if s.random.Float64() < s.faults.slowCalls {
			back = s.upTo(300 * time.Millisecond)
		}
		if !lost() {
			s.after(back, func() { answer(response) })
		}
	}
	s.after(delay, func() {
		if r.asleep {
			r.late = append(r.late, handle)
			return
		}
		handle()
	})
}
