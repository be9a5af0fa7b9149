package dispatch

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"standpulley/logic"
)

// Written is called by the transport when the attempt's last byte is written.
func (at *attempt) Written() {
	at.r.reached.Add(1)
	c := at.d.Counts
	c.mu.Lock()
	c.written++
	c.mu.Unlock()
}

// Ended is called by the transport when the attempt is over.
func (at *attempt) Ended(res Result) { at.d.post(ending{at, res}) }

type ending struct {
	at  *attempt
	res Result
}

func (e ending) apply(d *Dispatcher) { d.ended(e.at, e.res) }

// ended books an attempt's end.
func (d *Dispatcher) ended(at *attempt, res Result) {
	r := at.r
	delete(r.out, at.n)
	out := res.Outcome
	if out == logic.ReadDone && at.role != logic.Reader {
		out = logic.ServerError // only a reader can say that nothing but a read was done
	}
	if !neverRan(out) {
		if at.dropped && at.stream == nil {
			out = logic.Cancelled
		}
		if !r.unsure() {
			r.ranSince = at.sentAt
		}
		if at.role == logic.Reader {
			// A read may have ended well just as its connection was closed or broke.
			r.loose, r.holder = true, at.addr
			r.unheard = r.unheard || out == logic.Cancelled || out == logic.TimedOut
		} else {
			r.ran = true
		}
	}
	if at.stream != nil && out == logic.Delivered {
		d.Counts.result(r.ask.Class, Served)
	} else if at.stream != nil {
		d.Counts.result(r.ask.Class, Failed)
	}
	if at.end != nil {
		at.end(out)
	}
	d.Counts.ended(out)
	detail := res.Detail
	if out == logic.ReadDone {
		detail = fmt.Sprintf("%d of %d kept", res.Tokens, r.ask.PromptTokens)
	}
	d.Counts.note(r, at, out, detail)
	switch {
	case out == logic.ReadDone:
		r.holder = at.addr
	case at.role != logic.Reader && res.NoState:
		r.holder = "" // it has come for the state
	}
	if r.holder != "" && out != logic.ConnectFailed && out != logic.NotSent {
		d.watchHeld(r) // also where the writer was silent: it may never have come for the state
	}
	if res.Left && !r.answered {
		d.giveUp(r, Answer{Verdict: Left}, ClientGone)
	}
	if res.Lapsed {
		d.lapsed(r) // before the module tries elsewhere: there is no leave anywhere
	}
	d.route(logic.Event{Kind: logic.Ended, RequestID: r.id, Server: at.server, Attempt: at.n, Outcome: out,
		Took: d.clock().Sub(at.sentAt), Tokens: res.Tokens, NoState: res.NoState, Over: r.answered})
	d.settle(r)
}

// heldPart is the part of the time for which a state may be held after which it is let go, where nothing has come to fetch it. The rest
// is for the calls.
const heldPart = 0.5

// watchHeld sees to it that what a read has left, or may have, is let go in time after the end of an attempt. A further attempt that
// can't connect, as a link is cut, is out here and nowhere else: for the replica that holds the state nobody comes.
func (d *Dispatcher) watchHeld(r *request) {
	if d.set.ReleaseWithin == 0 {
		return
	}
	before := r.reached.Load()
	d.after(time.Duration(heldPart*float64(d.set.ReleaseWithin)), func() {
		if d.requests[r.id] == r && r.reached.Load() == before {
			d.release(r.id, r.holder, FetchUnproven)
		}
	})
}

// neverRan tells whether an outcome proves that the attempt had no effect.
func neverRan(o logic.Outcome) bool {
	return o == logic.Full || o == logic.ConnectFailed || o == logic.NotSent || o == logic.ReadDone
}

type departure struct{ r *request }

// apply books a client that left before its answer.
func (g departure) apply(d *Dispatcher) {
	if g.r.answered {
		return
	}
	d.giveUp(g.r, Answer{Verdict: Left}, ClientGone)
}

// settle forgets a request that is answered and has no attempt out.
func (d *Dispatcher) settle(r *request) {
	if r.answered && len(r.out) == 0 && d.requests[r.id] == r {
		delete(d.requests, r.id)
		d.size -= r.size
		r.parcel = nil // its timers still know the request for a while, and must not keep its body
		// Also behind an answer: the read may end on its replica after the fetch that let go of all the rest.
		if r.loose {
			d.release(r.id, r.holder, ReadUncertain)
			// The read may end on its replica a moment after the first call has come there.
			d.Phases.begin()
			d.after(looseAgain, func() { d.release(r.id, r.holder, ReadUncertain); d.Phases.end() })
		}
		d.Phases.end()
	}
}

const looseAgain = 150 * time.Millisecond

// release has all let go that is held for a request. Any replica will do: first the one that holds it, if that is known, as it is well
// or nothing is held there any more; then those that are surest to be there, in service and long started.
func (d *Dispatcher) release(id, holder string, cause Cause) {
	d.Counts.update(func(t *Totals) { t.Releases++ })
	d.Counts.Count(StateReleased, cause, fmt.Sprintf("%s held at %q", id, holder))
	all := make([]*Server, 0, len(d.servers))
	for _, s := range d.servers {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.Availability != b.Availability {
			return a.Availability < b.Availability
		}
		if a.Started != b.Started {
			return a.Started < b.Started
		}
		return a.ID < b.ID
	})
	addrs := slices.DeleteFunc(d.oneOfEachZone(all), func(addr string) bool { return addr == holder })
	if holder != "" {
		addrs = slices.Insert(addrs, 0, holder)
	}
	d.releaser.Release(id, addrs)
}

// oneOfEachZone gives the addresses to try in turn: the first of the own zone, the first of each other, then the second ones. A
// zone that is cut off costs one try and not all of them.
func (d *Dispatcher) oneOfEachZone(all []*Server) (addrs []string) {
	turn, next := map[*Server]int{}, map[string]int{}
	for _, s := range all {
		turn[s] = next[s.Zone]
		next[s.Zone]++
	}
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if turn[a] != turn[b] {
			return turn[a] < turn[b]
		}
		return a.Zone == d.set.Zone && b.Zone != d.set.Zone
	})
	for _, s := range all {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}
