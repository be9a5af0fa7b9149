package agreement

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

	"standpulley/internal/agree"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
)

// listing is the leader's part in agreeing on lists of replicas: what the readers heard, and the orders' time.
type listLeader struct {
	merger        *membership.Merger
	picker        agree.RegistryReaders
	activeReaders map[string]bool // who reads
	nextProposal  time.Duration
	ordersSince   map[string]time.Duration // since when this leader has them on record
	pager         membership.Pager
}

// begin is a new leader's: it knows no reading, and counts the time of orders anew, which keeps them longer, never shorter.
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

// role gives what servers of a kind do, by the settings in force.
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

// due proposes the end of orders that ran out, the next version of the list and the next census, one at a time.
func (l *listLeader) proposeDue(v *voter, now time.Duration) {
	if l.merger == nil || !v.record.Complete || now < l.nextProposal {
		return
	}
	e := l.expiredOrder(v, now)
	if e == nil {
		if c := l.merger.Next(now, &v.record.List, v.record.Orders); c != nil {
			e = &agree.Entry{Change: c}
		} else if c := v.leases.NextCensus(now, &v.record); c != nil {
			e = &agree.Entry{Census: c}
		}
	}
	if e == nil {
		return
	}
	l.nextProposal = now + retryTicks*v.n.opt.Timing.Tick
	if err := v.proposeEntry(*e); err != nil {
		slog.Warn("agreement: a change of the list was not proposed", "error", err)
	}
}

// expired ends an order that ran out. Its time counts by the leader's monotonic clock.
func (l *listLeader) expiredOrder(v *voter, now time.Duration) *agree.Entry {
	maps.DeleteFunc(l.ordersSince, func(id string, _ time.Duration) bool { _, there := v.record.Orders[id]; return !there })
	for id, o := range v.record.Orders {
		since, ok := l.ordersSince[id]
		if !ok {
			l.ordersSince[id] = now
		} else if now-since > time.Duration(o.ForMS)*time.Millisecond {
			slog.Info("agreement: an order has run out", "replica", id, "do", o.Do, "owner", o.Owner, "why", o.Why)
			return &agree.Entry{Lift: &agree.LiftOrder{Request: strconv.FormatUint(NewID(), 16), ID: id}}
		}
	}
	return nil
}

// news is what a dispatcher is told with the answer to its renewal.
func (l *listLeader) update(v *voter, r agree.Renewal) *listUpdate {
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

// show adds what operators see.
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

// read takes what a reader heard.
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
				slog.Warn("agreement: a reading does not count", "reader", r.Reader, "why", err)
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

// confirm lets the change pass that is held.
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

// register is what this dispatcher's register says, on its way to the leader.
type registryReport struct {
	mu      sync.Mutex
	version int64
	entries map[string]membership.Entry // not changed once they are here; nil before anything was heard
	number  uint64                      // of the reading
	changed chan struct{}

	// What follows belongs to tell.
	sentEntries map[string]membership.Entry // what the leader has ...
	sentNumber  uint64                      // ... by the reading of this number ...
	sentTo      string                      // ... and which voter that is
	sentAt      time.Duration
	ackedNumber atomic.Uint64 // the reading that the leader has, by its last answer ...
	ackedAt     atomic.Int64  // ... to a renewal that was sent then
}

// Heard hands the leader what this dispatcher's register says: all of it, with the register's own version. The entries must
// not change any more.
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

// tell hands the leader each reading, until the node ends: the lease must not wait for that, as a list may be long.
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

// tellOnce tells a leader what it does not know, and whether it does now.
func (m *member) reportOnce(leader string) bool {
	r, n := &m.registry, m.n
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
		r.sentTo = "" // it begins anew
	}
	if err != nil || p.NotLeader || p.SendAll {
		return false
	}
	r.sentEntries, r.sentNumber, r.sentTo, r.sentAt = entries, reading.Number, leader, n.now()
	return true
}

// forgotten tells whether the voter that was told has begun to lead anew since, and knows nothing of it.
func (r *registryReport) lostByLeader() bool {
	return time.Duration(r.ackedAt.Load()) > r.sentAt && r.ackedNumber.Load() < r.sentNumber
}

var (
	errNoList      = errors.New("no list of replicas is agreed on yet")
	errPartialList = errors.New("more of the list of replicas is to come")
)

// takeList brings the program's list up to date. Without it there is no lease.
func (m *member) applyList(sent time.Duration, l *listUpdate) error {
	if m.n.opt.Lists == nil {
		return nil
	}
	if l == nil {
		return errors.New("the voters do not agree on lists of replicas: agree.lists is not set there")
	}
	m.n.program.SetReading(l.ReadRegistry)
	if l.ReadRegistry {
		m.registry.ackedNumber.Store(l.ReadingNumber)
		m.registry.ackedAt.Store(int64(sent))
	}
	m.registry.notify() // a new leader knows nothing of it yet
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

// Order gives an operator's override.
func (n *Node) PlaceOrder(o membership.Order) error {
	_, err := n.propose(agree.Entry{Order: &agree.PlaceOrder{Request: strconv.FormatUint(NewID(), 16), Order: o}})
	return err
}

// Lift ends one.
func (n *Node) LiftOrder(id, owner string, seen uint64) error {
	_, err := n.propose(agree.Entry{Lift: &agree.LiftOrder{Request: strconv.FormatUint(NewID(), 16), ID: id, Owner: owner, Version: seen}})
	return err
}

// Confirm lets the change pass that is held, by an operator's word.
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
