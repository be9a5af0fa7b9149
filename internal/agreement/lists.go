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
type listing struct {
	merger  *membership.Merger
	readers agree.RegistryReaders
	now     map[string]bool // who reads
	dueAt   time.Duration
	orders  map[string]time.Duration // since when this leader has them on record
	pager   membership.Pager
}

// begin is a new leader's: it knows no reading, and counts the time of orders anew, which keeps them longer, never shorter.
func (l *listing) begin(v *voter) {
	if v.n.opt.Lists == nil {
		return
	}
	limits := v.n.opt.Lists.Limits
	limits.RoleOf = v.role
	if v.n.opt.Hooks.Limits != nil {
		v.n.opt.Hooks.Limits(&limits)
	}
	*l = listing{merger: membership.NewMerger(limits), orders: map[string]time.Duration{}}
}

// role gives what servers of a kind do, by the settings in force.
func (v *voter) role(kind string) string {
	force := v.book.InForce()
	if force == nil {
		return kind
	}
	kinds, roles := strings.Split(force.Keys["host_types"], ","), strings.Split(force.Keys["family_info.duty_by_kind"], ",")
	if i := slices.Index(kinds, kind); i >= 0 && i < len(roles) {
		return roles[i]
	}
	return kind
}

// due proposes the end of orders that ran out, the next version of the list and the next census, one at a time.
func (l *listing) due(v *voter, now time.Duration) {
	if l.merger == nil || !v.book.Complete || now < l.dueAt {
		return
	}
	e := l.expired(v, now)
	if e == nil {
		if c := l.merger.Next(now, &v.book.List, v.book.Orders); c != nil {
			e = &agree.Entry{Change: c}
		} else if c := v.tally.NextCensus(now, &v.book); c != nil {
			e = &agree.Entry{Census: c}
		}
	}
	if e == nil {
		return
	}
	l.dueAt = now + retryTicks*v.n.opt.Timing.Tick
	if err := v.put(*e); err != nil {
		slog.Warn("agreement: a change of the list was not proposed", "error", err)
	}
}

// expired ends an order that ran out. Its time counts by the leader's monotonic clock.
func (l *listing) expired(v *voter, now time.Duration) *agree.Entry {
	maps.DeleteFunc(l.orders, func(id string, _ time.Duration) bool { _, there := v.book.Orders[id]; return !there })
	for id, o := range v.book.Orders {
		since, ok := l.orders[id]
		if !ok {
			l.orders[id] = now
		} else if now-since > time.Duration(o.ForMS)*time.Millisecond {
			slog.Info("agreement: an order has run out", "replica", id, "do", o.Do, "owner", o.Owner, "why", o.Why)
			return &agree.Entry{Lift: &agree.LiftOrder{Request: strconv.FormatUint(NewID(), 16), ID: id}}
		}
	}
	return nil
}

// news is what a dispatcher is told with the answer to its renewal.
func (l *listing) news(v *voter, r agree.Renewal) *listNews {
	before := l.now
	l.now = l.readers.Pick(v.n.now(), v.tally, v.n.opt.Lists.MaxReaders)
	for name := range before {
		if !l.now[name] {
			l.merger.RemoveReader(name)
		}
	}
	read := uint64(0)
	if r.CanReadRegistry && !r.RegistrySilent && l.now[r.Name] {
		read = l.merger.Refresh(v.n.now(), r.Name, r.Boot)
	}
	return &listNews{Part: v.book.Part(r.List, &l.pager), Living: len(v.book.Census.Names), Counted: v.book.Census.Names[r.Name], Read: l.now[r.Name],
		Fresh: l.merger.Settled(), Heard: read}
}

// show adds what operators see.
func (l *listing) show(view *View) {
	if l.merger == nil {
		return
	}
	view.RegistryReaders, view.Flapping = slices.Sorted(maps.Keys(l.now)), l.merger.Flapping()
	if held := l.merger.Held(); held != nil {
		copied := *held
		view.Held = &copied
	}
}

// read takes what a reader heard.
func (v *voter) read(r membership.Reading) (proposed, error) {
	answer := make(chan proposed, 1)
	err := v.post(func() {
		p := proposed{}
		switch {
		case !v.leads:
			p = v.elsewhere()
		case v.lists.merger == nil:
			p.Error = "dispatchers do not agree on lists here"
		default:
			switch err := v.lists.merger.AddReading(v.n.now(), r); {
			case errors.Is(err, membership.ErrUnknownBase):
				p.Whole = true
			case err != nil:
				p.Error = err.Error()
				slog.Warn("agreement: a reading does not count", "reader", r.Reader, "why", err)
			}
		}
		answer <- p
	})
	if err != nil {
		return proposed{}, err
	}
	select {
	case p := <-answer:
		return p, nil
	case <-v.done:
		return proposed{}, errBusy
	}
}

// confirm lets the change pass that is held.
func (v *voter) confirm() (proposed, error) {
	answer := make(chan proposed, 1)
	err := v.surely(proposeWait, func(sure bool) {
		p := v.elsewhere()
		if sure && v.lists.merger != nil {
			p = proposed{}
			if err := v.lists.merger.Confirm(); err != nil {
				p.Error = err.Error()
			}
		}
		answer <- p
	})
	if err != nil {
		return proposed{}, err
	}
	return <-answer, nil
}

// register is what this dispatcher's register says, on its way to the leader.
type register struct {
	mu      sync.Mutex
	index   int64
	entries map[string]membership.Entry // not changed once they are here; nil before anything was heard
	number  uint64                      // of the reading
	news    chan struct{}

	// What follows belongs to tell.
	told     map[string]membership.Entry // what the leader has ...
	toldAt   uint64                      // ... by the reading of this number ...
	toldWhom string                      // ... and which voter that is
	toldTime time.Duration
	known    atomic.Uint64 // the reading that the leader has, by its last answer ...
	asked    atomic.Int64  // ... to a renewal that was sent then
}

// Heard hands the leader what this dispatcher's register says: all of it, with the register's own version. The entries must
// not change any more.
func (n *Node) ReportRegistry(index int64, entries map[string]membership.Entry) {
	r := &n.member.register
	r.mu.Lock()
	r.index, r.entries = index, entries
	r.number++
	r.mu.Unlock()
	r.poke()
}

func (r *register) poke() {
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// tell hands the leader each reading, until the node ends: the lease must not wait for that, as a list may be long.
func (m *member) tell() {
	r, n := &m.register, m.n
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-r.news:
		}
		for !m.tellOnce(m.target()) && n.ctx.Err() == nil {
			m.pause(n.opt.Timing.Renew)
		}
	}
}

// tellOnce tells a leader what it does not know, and whether it does now.
func (m *member) tellOnce(leader string) bool {
	r, n := &m.register, m.n
	r.mu.Lock()
	reading := membership.Reading{Reader: n.opt.Name, Boot: n.boot, Index: r.index, Number: r.number}
	entries := r.entries
	r.mu.Unlock()
	if entries == nil || r.toldWhom == leader && r.toldAt == reading.Number && !r.forgotten() {
		return true
	}
	if leader == "" {
		return false
	}
	if r.toldWhom != leader || r.forgotten() {
		r.told, r.toldAt = nil, 0
	}
	reading.Since, reading.Entries = r.toldAt, membership.Diff(r.told, entries)
	var p proposed
	var err error
	if leader == n.opt.Name {
		p, err = n.voter.read(reading)
	} else {
		err = call(n.links[leader], readingCall, reading, &p, n.opt.Timing.AcceptFor)
	}
	if p.Whole {
		r.toldWhom = "" // it begins anew
	}
	if err != nil || p.Elsewhere || p.Whole {
		return false
	}
	r.told, r.toldAt, r.toldWhom, r.toldTime = entries, reading.Number, leader, n.now()
	return true
}

// forgotten tells whether the voter that was told has begun to lead anew since, and knows nothing of it.
func (r *register) forgotten() bool {
	return time.Duration(r.asked.Load()) > r.toldTime && r.known.Load() < r.toldAt
}

var (
	errNoList = errors.New("no list of replicas is agreed on yet")
	errPart   = errors.New("more of the list of replicas is to come")
)

// takeList brings the program's list up to date. Without it there is no lease.
func (m *member) takeList(sent time.Duration, l *listNews) error {
	if m.n.opt.Lists == nil {
		return nil
	}
	if l == nil {
		return errors.New("the voters do not agree on lists of replicas: agree.lists is not set there")
	}
	m.n.prog.SetReading(l.Read)
	if l.Read {
		m.register.known.Store(l.Heard)
		m.register.asked.Store(int64(sent))
	}
	m.register.poke() // a new leader knows nothing of it yet
	m.mu.Lock()
	whole, err := m.copied.Apply(l.Part)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	if !whole {
		return errPart
	}
	next := m.copied.List
	now := m.n.now()
	if !l.Counted {
		m.counted = 0
	} else if m.counted == 0 {
		m.counted = now
	}
	uses := membership.Share(l.Living, l.Counted, m.counted, now, m.n.opt.Timing.Within) > 0
	if next.Number != m.list.Number || l.Living != m.living || uses != m.uses {
		if err := m.n.prog.ApplyList(next, l.Living, uses); err != nil {
			return err
		}
		m.mu.Lock()
		m.list, m.living, m.uses = next, l.Living, uses
		m.mu.Unlock()
	}
	if next.Number == 0 {
		return errNoList
	}
	if l.Fresh {
		m.fresh.Store(true)
	}
	return nil
}

// Order gives an operator's override.
func (n *Node) PlaceOrder(o membership.Order) error {
	_, err := n.decide(agree.Entry{Order: &agree.PlaceOrder{Request: strconv.FormatUint(NewID(), 16), Order: o}})
	return err
}

// Lift ends one.
func (n *Node) LiftOrder(id, owner string, seen uint64) error {
	_, err := n.decide(agree.Entry{Lift: &agree.LiftOrder{Request: strconv.FormatUint(NewID(), 16), ID: id, Owner: owner, Version: seen}})
	return err
}

// Confirm lets the change pass that is held, by an operator's word.
func (n *Node) Confirm() error {
	var p proposed
	err := n.atLeader(func(local *voter, link *peers.Link) (elsewhere bool, err error) {
		p = proposed{}
		if local != nil {
			p, err = local.confirm()
		} else {
			err = call(link, confirmCall, struct{}{}, &p, proposeWait)
		}
		return p.Elsewhere, err
	})
	if err == nil && p.Error != "" {
		err = errors.New(p.Error)
	}
	return err
}
