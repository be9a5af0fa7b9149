package cluster

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"standpulley/internal/clusterstate"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
)

// listLeader is the leader's part in agreeing on the list of replicas: it merges what the readers
// report and tracks how long orders have been in force.
type listLeader struct {
	merger        *membership.Merger
	picker        clusterstate.RegistryReaders
	activeReaders map[string]bool // the picked readers of the registry
	nextProposal  time.Duration
	ordersSince   map[string]time.Duration // by replica, when this leader first saw its order in the record
	pager         membership.Pager
}

// reset prepares for a new term of this leader. It starts without readings and restarts the time of
// all orders, which can only lengthen an order, never shorten it.
func (l *listLeader) reset(v *voter) {
	if v.n.opt.Lists == nil {
		return
	}
	limits := v.n.opt.Lists.Limits
	limits.RoleOf = v.roleOf
	if v.n.opt.Hooks.Limits != nil {
		v.n.opt.Hooks.Limits(&limits)
	}
	*l = listLeader{merger: membership.NewMerger(limits), ordersSince: map[string]time.Duration{}}
}

// roleOf returns the role of servers of a kind, by the settings in force.
func (v *voter) roleOf(kind string) string {
	inForce := v.record.InForce()
	if inForce == nil {
		return kind
	}
	kinds, roles := strings.Split(inForce.Keys["host_types"], ","), strings.Split(inForce.Keys["family_info.duty_by_kind"], ",")
	if i := slices.Index(kinds, kind); i >= 0 && i < len(roles) {
		return roles[i]
	}
	return kind
}

// proposeDue proposes the end of an expired order, the next version of the list, or the next census,
// in this order and one at a time.
func (l *listLeader) proposeDue(v *voter, now time.Duration) {
	if l.merger == nil || !v.record.Complete || now < l.nextProposal {
		return
	}
	e := l.expiredOrder(v, now)
	if e == nil {
		if c := l.merger.Next(now, &v.record.List, v.record.Orders); c != nil {
			e = &clusterstate.Entry{Change: c}
		} else if c := v.leases.NextCensus(now, &v.record); c != nil {
			e = &clusterstate.Entry{Census: c}
		}
	}
	if e == nil {
		return
	}
	l.nextProposal = now + retryTicks*v.n.opt.Timing.Tick
	if err := v.proposeEntry(*e); err != nil {
		slog.Warn("agreement: proposing a change of the list failed", "error", err)
	}
}

// expiredOrder returns an entry that lifts an expired order, nil if there is none. The time of orders
// is measured by the leader's monotonic clock.
func (l *listLeader) expiredOrder(v *voter, now time.Duration) *clusterstate.Entry {
	maps.DeleteFunc(l.ordersSince, func(id string, _ time.Duration) bool { _, there := v.record.Orders[id]; return !there })
	for id, o := range v.record.Orders {
		since, ok := l.ordersSince[id]
		if !ok {
			l.ordersSince[id] = now
		} else if now-since > time.Duration(o.ForMS)*time.Millisecond {
			slog.Info("agreement: an order has run out", "replica", id, "do", o.Do, "owner", o.Owner, "why", o.Why)
			return &clusterstate.Entry{Lift: &clusterstate.LiftOrder{Request: strconv.FormatUint(NewID(), 16), ID: id}}
		}
	}
	return nil
}

// update returns the part about the list for the answer to a renewal.
func (l *listLeader) update(v *voter, r clusterstate.Renewal) *listUpdate {
	previous := l.activeReaders
	l.activeReaders = l.picker.Pick(v.n.now(), v.leases, v.n.opt.Lists.MaxReaders)
	for name := range previous {
		if !l.activeReaders[name] {
			l.merger.RemoveReader(name)
		}
	}
	number := uint64(0)
	if r.CanReadRegistry && !r.RegistrySilent && l.activeReaders[r.Name] {
		number = l.merger.Refresh(v.n.now(), r.Name, r.Boot)
	}
	return &listUpdate{Part: v.record.Part(r.List, &l.pager), Dispatchers: len(v.record.Census.Names), Counted: v.record.Census.Names[r.Name], ReadRegistry: l.activeReaders[r.Name],
		Fresh: l.merger.Settled(), ReadingNumber: number}
}

// addTo adds the state of the list to the view for operators.
func (l *listLeader) addTo(view *View) {
	if l.merger == nil {
		return
	}
	view.RegistryReaders, view.Flapping = slices.Sorted(maps.Keys(l.activeReaders)), l.merger.Flapping()
	if held := l.merger.Held(); held != nil {
		copied := *held
		view.Held = &copied
	}
}

// addReading merges the reading of a reader.
func (v *voter) addReading(r membership.Reading) (proposeResponse, error) {
	answer := make(chan proposeResponse, 1)
	err := v.post(func() {
		p := proposeResponse{}
		switch {
		case !v.isLeader:
			p = v.notLeader()
		case v.lists.merger == nil:
			p.Error = "dispatchers do not agree on lists here"
		default:
			switch err := v.lists.merger.AddReading(v.n.now(), r); {
			case errors.Is(err, membership.ErrUnknownBase):
				p.SendAll = true
			case err != nil:
				p.Error = err.Error()
				slog.Warn("agreement: registry reading rejected", "reader", r.Reader, "why", err)
			}
		}
		answer <- p
	})
	if err != nil {
		return proposeResponse{}, err
	}
	select {
	case p := <-answer:
		return p, nil
	case <-v.done:
		return proposeResponse{}, errVoterBusy
	}
}

// confirm releases the held change.
func (v *voter) confirm() (proposeResponse, error) {
	answer := make(chan proposeResponse, 1)
	err := v.asLeader(proposeTimeout, func(confirmed bool) {
		p := v.notLeader()
		if confirmed && v.lists.merger != nil {
			p = proposeResponse{}
			if err := v.lists.merger.Confirm(); err != nil {
				p.Error = err.Error()
			}
		}
		answer <- p
	})
	if err != nil {
		return proposeResponse{}, err
	}
	return <-answer, nil
}

// registryReport holds the state of this dispatcher's registry and how much of it the leader has.
type registryReport struct {
	mu      sync.Mutex
	version int64
	entries map[string]membership.Entry // never modified; nil before the first answer of the registry
	number  uint64                      // of the reading, which grows with each
	changed chan struct{}
	// The leader has picked other readers, by the last answer to a renewal. This dispatcher may still
	// watch the registry for itself.
	excluded atomic.Bool

	// The fields below belong to the goroutine of reportRegistry, except the atomic ones.
	sentEntries map[string]membership.Entry // the entries that the leader has
	sentNumber  uint64                      // the number of the reading that brought them
	sentTo      string                      // the voter that was the leader then
	sentAt      time.Duration
	ackedNumber atomic.Uint64 // the reading that the leader has, by the last answer to a renewal
	ackedAt     atomic.Int64  // when that renewal was sent
}

// ReportRegistry passes all entries of this dispatcher's registry, with the registry's own version,
// on to the leader. The caller must not modify the entries afterwards.
func (n *Node) ReportRegistry(version int64, entries map[string]membership.Entry) {
	r := &n.member.registry
	r.mu.Lock()
	r.version, r.entries = version, entries
	r.number++
	r.mu.Unlock()
	r.notify()
}

func (r *registryReport) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// reportRegistry sends each reading to the leader until the node ends. It runs apart from the renewals,
// as a list may be long and must not delay the lease.
func (m *member) reportRegistry() {
	r, n := &m.registry, m.n
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-r.changed:
		}
		for !m.reportOnce(m.knownLeader()) && n.ctx.Err() == nil {
			m.sleep(n.opt.Timing.Renew)
		}
	}
}

// reportOnce sends the leader what it does not have yet and reports whether it has the present
// reading now, or needs none of this dispatcher.
func (m *member) reportOnce(leader string) bool {
	r, n := &m.registry, m.n
	if r.excluded.Load() {
		return true
	}
	r.mu.Lock()
	reading := membership.Reading{Reader: n.opt.Name, Boot: n.boot, Index: r.version, Number: r.number}
	entries := r.entries
	r.mu.Unlock()
	if entries == nil || r.sentTo == leader && r.sentNumber == reading.Number && !r.lostByLeader() {
		return true
	}
	if leader == "" {
		return false
	}
	if r.sentTo != leader || r.lostByLeader() {
		r.sentEntries, r.sentNumber = nil, 0
	}
	reading.Since, reading.Entries = r.sentNumber, membership.Diff(r.sentEntries, entries)
	var p proposeResponse
	var err error
	if leader == n.opt.Name {
		p, err = n.voter.addReading(reading)
	} else {
		err = callJSON(n.links[leader], readingCall, reading, &p, n.opt.Timing.AcceptFor)
	}
	if p.SendAll {
		r.sentTo = "" // the next try sends the whole list
	}
	if err != nil || p.NotLeader || p.SendAll {
		return false
	}
	r.sentEntries, r.sentNumber, r.sentTo, r.sentAt = entries, reading.Number, leader, n.now()
	return true
}

// lostByLeader reports whether the leader no longer has the reading that was sent to it, because it
// lost and regained the leadership since.
func (r *registryReport) lostByLeader() bool {
	return time.Duration(r.ackedAt.Load()) > r.sentAt && r.ackedNumber.Load() < r.sentNumber
}

var (
	errNoList      = errors.New("no list of replicas is agreed on yet")
	errPartialList = errors.New("more of the list of replicas is to come")
)

// applyList brings the program's list of replicas up to date. After an error the lease is not extended.
func (m *member) applyList(sent time.Duration, l *listUpdate) error {
	if m.n.opt.Lists == nil {
		return nil
	}
	if l == nil {
		return errors.New("the voters do not agree on lists of replicas: agree.lists is not set there")
	}
	m.n.program.SetReader(l.ReadRegistry)
	m.registry.excluded.Store(!l.ReadRegistry)
	if l.ReadRegistry {
		m.registry.ackedNumber.Store(l.ReadingNumber)
		m.registry.ackedAt.Store(int64(sent))
	}
	m.registry.notify() // a new leader has no reading of this dispatcher yet
	m.mu.Lock()
	complete, err := m.listCopy.Apply(l.Part)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	if !complete {
		return errPartialList
	}
	list := m.listCopy.List
	now := m.n.now()
	if !l.Counted {
		m.countedSince = 0
	} else if m.countedSince == 0 {
		m.countedSince = now
	}
	usesShare := membership.Share(l.Dispatchers, l.Counted, m.countedSince, now, m.n.opt.Timing.Within) > 0
	if list.Number != m.list.Number || l.Dispatchers != m.dispatchers || usesShare != m.usesShare {
		if err := m.n.program.ApplyList(list, l.Dispatchers, usesShare); err != nil {
			return err
		}
		m.mu.Lock()
		m.list, m.dispatchers, m.usesShare = list, l.Dispatchers, usesShare
		m.mu.Unlock()
	}
	if list.Number == 0 {
		return errNoList
	}
	if l.Fresh {
		m.listFresh.Store(true)
	}
	return nil
}

// PlaceOrder sets an operator's override of a replica.
func (n *Node) PlaceOrder(o membership.Order) error {
	_, err := n.propose(clusterstate.Entry{Order: &clusterstate.PlaceOrder{Request: strconv.FormatUint(NewID(), 16), Order: o}})
	return err
}

// LiftOrder ends the override of a replica.
func (n *Node) LiftOrder(id, owner string, seen uint64) error {
	_, err := n.propose(clusterstate.Entry{Lift: &clusterstate.LiftOrder{Request: strconv.FormatUint(NewID(), 16), ID: id, Owner: owner, Version: seen}})
	return err
}

// Confirm releases the held change of the list, at the request of an operator.
func (n *Node) Confirm() error {
	var p proposeResponse
	err := n.atLeader(func(local *voter, link *peers.Link) (notLeader bool, err error) {
		p = proposeResponse{}
		if local != nil {
			p, err = local.confirm()
		} else {
			err = callJSON(link, confirmCall, struct{}{}, &p, proposeTimeout)
		}
		return p.NotLeader, err
	})
	if err == nil && p.Error != "" {
		err = errors.New(p.Error)
	}
	return err
}
