package agreement

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"standpulley/internal/agree"
	"standpulley/internal/membership"
)

// member keeps a dispatcher's lease: it renews it, checks versions that are under way and takes up the one in force.
type member struct {
	n *Node

	mu     sync.Mutex
	lease  *agree.Lease
	holds  agree.Version // what the program acts on
	leader string
	heard  time.Duration // last grant
	lost   time.Duration // when the lease ended; 0 while it runs
	why    string        // there is none
	said   string        // last line of the log of that kind
	unfit  *agree.Fault

	tookUp time.Duration // when the program took up what it acts on

	// What follows belongs to run's goroutine.
	checked uint64
	fault   *agree.Fault
	open    agree.Version // the version that was checked last
	life    life
	copied  membership.Copy // mu guards its change
	list    membership.List // that the program acts on; mu guards its change
	living  int
	uses    bool                     // the share of what is summed over all
	counted time.Duration            // since when this dispatcher is counted; 0: it is not
	silent  map[string]time.Duration // voters that did not answer, by when

	leaves   chan chan struct{}
	serves   atomic.Int64                       // milliseconds that another dispatcher has served as usual, by the last answer
	bears    atomic.Pointer[map[string]float64] // what others say that replicas bear; nil before they did
	fresh    atomic.Bool                        // the list holds what the register said since some reader's start
	register register                           // what is read of it
}

func (m *member) target() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// say logs a line about the lease, once until another comes.
func (m *member) say(text string) {
	m.mu.Lock()
	again := m.said == text
	m.said, m.why = text, text
	m.mu.Unlock()
	if !again {
		slog.Warn("agreement: out of contact or service", "why", text)
	}
}

// run renews the lease again and again, at once where there is news.
func (m *member) run() {
	t := m.n.opt.Timing
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.n.ctx.Done():
			return
		case done := <-m.leaves:
			m.lastWord()
			close(done)
			return
		case <-timer.C:
		case <-m.n.pokes:
		}
		again := m.renew()
		m.watch()
		if again {
			m.n.poke()
		}
		timer.Reset(t.Renew)
	}
}

// watch logs the end of a lease, and a life that is long enough.
func (m *member) watch() {
	now := m.n.now()
	m.mu.Lock()
	over := m.holds.Number != 0 && m.heard != 0 && m.lease.Remaining(now) <= 0
	first := over && m.lost == 0
	if first {
		m.lost = now
	}
	if m.life.Young && m.heard != 0 && !over && m.lost == 0 && now-m.tookUp > agree.TrialTime {
		m.life.Young, m.life.Crashes, m.life.Good = false, 0, m.life.Acts
		m.mu.Unlock()
		m.remember()
		return
	}
	why := m.why
	m.mu.Unlock()
	if first {
		m.n.prog.LeaseLost()
		slog.Warn("agreement: the lease is over", "version", m.lease.Number, "why", why, "alone", m.n.opt.OnLeaseLoss)
	}
}

// renew asks for the lease once. It tells whether to ask again at once.
func (m *member) renew() bool {
	sent := m.n.now()
	a, err := m.ask(m.renewal())
	if err != nil {
		m.say("no renewal: " + err.Error())
		return false
	}
	m.n.noteCluster(a.Cluster)
	m.serves.Store(a.Serves)
	if len(a.Bears) > 0 {
		m.bears.Store(&a.Bears)
	}
	if a.Open != nil && a.Open.Number != m.checked {
		m.check(a.Open)
		defer m.n.poke() // what it found is told at once
	}
	return m.granted(sent, a)
}

func (m *member) renewal() agree.Renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := agree.Renewal{Name: m.n.opt.Name, Boot: m.n.boot, ActsOn: m.holds.Number, CachedVersion: m.holds.Number, Checked: m.checked, Fault: m.fault,
		Unfit: m.unfit, Crashes: m.life.Crashes, Phase: m.n.prog.Phase(), ServingMS: m.n.prog.ServingTime().Milliseconds(), WarmRates: m.n.prog.WarmRates(), LateActs: m.lease.LateActs()}
	r.WantsWarmRates = r.WarmRates != nil && len(r.WarmRates) == 0
	if m.lost != 0 {
		r.WithoutLeaseMS = (m.n.now() - m.lost).Milliseconds()
	}
	if m.n.opt.Lists != nil {
		r.List, r.CanReadRegistry, r.RegistrySilent = m.copied.Cursor(), m.n.opt.Lists.CanRead, m.n.prog.RegistrySilent()
	}
	if m.open.Number != 0 && m.open.Number > r.CachedVersion {
		r.CachedVersion = m.open.Number // if that is in force by now its content is here
	}
	return r
}

// ask finds the voter that leads and renews there.
func (m *member) ask(r agree.Renewal) (a renewed, err error) {
	n, limit := m.n, 2*m.n.opt.Timing.Renew+m.n.opt.Hooks.ExtraRenewTimeout
	leader := m.target()
	if n.voter != nil {
		if a, err = n.voter.renew(r); err == nil && a.Sure {
			m.setLeader(n.opt.Name)
			return a, nil
		}
		leader = a.Leader
	}
	last := errNoLeader
	asked := map[string]bool{}
	for next := m.order(leader); len(next) > 0 && len(asked) < askedMost; next = next[1:] {
		name := next[0]
		if asked[name] {
			continue
		}
		asked[name] = true
		if err := call(n.links[name], renewCall, r, &a, limit); err != nil {
			m.silent[name] = n.now()
			last = fmt.Errorf("%w: %w", errNoLeader, err)
			continue
		}
		delete(m.silent, name)
		if a.Sure {
			m.setLeader(name)
			return a, nil
		}
		if n.links[a.Leader] != nil {
			next = append([]string{name, a.Leader}, next[1:]...)
		} else {
			last = fmt.Errorf("%w: %s: %s", errNoLeader, name, a.Why)
		}
	}
	m.setLeader("")
	return a, last
}

// order gives the voters as they are to be asked: the one that is said to lead, and those that were silent of late last.
func (m *member) order(leader string) []string {
	names := m.n.voters(leader)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(m.wasSilent(a), m.wasSilent(b)) })
	return names
}

func (m *member) wasSilent(name string) int {
	if at, ok := m.silent[name]; ok && m.n.now()-at < m.n.opt.Timing.AcceptFor {
		return 1
	}
	return 0
}

func (m *member) setLeader(name string) {
	m.mu.Lock()
	m.leader = name
	m.mu.Unlock()
}

// check checks a version that is under way against this dispatcher's own file and bounds.
func (m *member) check(b *brief) {
	fault := m.n.prog.Check(b.Content)
	m.mu.Lock()
	m.checked, m.fault = b.Number, fault
	m.open = agree.Version{Number: b.Number, Fingerprint: b.Print, Content: b.Content, Keys: b.Keys}
	m.mu.Unlock()
	if fault != nil {
		m.n.turnedDown.Add(1)
		slog.Warn("agreement: a version is turned down", "version", b.Number, "key", fault.Key, "reason", fault.Reason)
	}
}

// granted takes an answer of the voter that leads.
func (m *member) granted(sent time.Duration, a renewed) (again bool) {
	m.mu.Lock()
	holds, lease := m.holds, m.lease
	m.mu.Unlock()
	force := agree.Version{Number: a.Force.Number, Fingerprint: a.Force.Print, Content: a.Force.Content, Keys: a.Force.Keys}
	stale := holds.Number != force.Number
	if m.n.opt.Hooks.Stale != nil {
		stale = m.n.opt.Hooks.Stale(stale)
	}
	if stale && force.Content == "" && m.open.Number == force.Number {
		force = m.open
	}
	var listed error
	if a.Lease {
		listed = m.takeList(sent, a.List)
	}
	if m.n.opt.Hooks.RenewedAt != nil {
		sent = m.n.opt.Hooks.RenewedAt(sent, m.n.now())
	}
	if stale && m.holdsBack(force.Number) {
		if keys := agree.ConflictingKeys(holds.Keys, force.Keys); len(keys) > 0 {
			m.setUnfit(&agree.Fault{Key: keys[0], Reason: fmt.Sprintf("version %d brought this dispatcher down twice, and the last good one, %d, contradicts it in %s",
				force.Number, holds.Number, strings.Join(keys, ", "))})
			return false
		}
		stale = false // no key of it does harm: it goes on by the last good one
	}
	if stale {
		if force.Content == "" {
			m.forget() // so that the whole of it is sent
			return true
		}
		lease = &agree.Lease{Number: force.Number, Fingerprint: force.Fingerprint, OnLeaseLoss: m.n.opt.OnLeaseLoss}
		if a.Lease && listed == nil {
			lease.Extend(sent, m.n.opt.Timing)
		}
		if m.n.opt.Hooks.Lease != nil {
			m.n.opt.Hooks.Lease(lease)
		}
		if !m.takeUp(force, lease) {
			return false
		}
		again = !a.Lease // it was not fit before, or not up to date
	}
	if !a.Lease {
		m.say("no lease: " + a.Why)
		return again
	}
	if listed != nil {
		m.say("no lease: " + listed.Error())
		return again || errors.Is(listed, errPart)
	}
	lease.Extend(sent, m.n.opt.Timing)
	now := m.n.now()
	m.mu.Lock()
	lost := m.lost
	m.heard, m.lost, m.why, m.said = now, 0, "", ""
	m.mu.Unlock()
	if lost != 0 {
		slog.Info("agreement: the lease is back", "version", force.Number, "without", (now - lost).Round(time.Millisecond))
	}
	return again
}

func (m *member) setUnfit(f *agree.Fault) {
	m.mu.Lock()
	m.unfit = f
	m.mu.Unlock()
	if f != nil {
		m.say("out of service: " + f.Error())
	}
}

// forget drops what was checked, as a number alone does not make a version.
func (m *member) forget() {
	m.mu.Lock()
	m.open, m.checked, m.fault = agree.Version{}, 0, nil
	m.mu.Unlock()
}

// takeUp has the program act on a version. Where it can't, this dispatcher has no lease until there is another version.
func (m *member) takeUp(v agree.Version, lease *agree.Lease) bool {
	fault := m.n.prog.Check(v.Content)
	if fault == nil {
		m.mu.Lock()
		if m.life.Acts.Number != v.Number {
			if m.life.Crashes == 0 {
				m.life.Good = m.life.Acts
			}
			m.life.Acts, m.life.Young, m.life.Crashes = v, true, 0
		}
		m.life.Young = true
		m.tookUp = m.n.now()
		m.mu.Unlock()
		m.remember()
		if err := m.n.prog.Activate(v, lease); err != nil {
			fault = &agree.Fault{Reason: err.Error()}
		}
	}
	if fault != nil {
		m.setUnfit(&agree.Fault{Key: fault.Key, Reason: fmt.Sprintf("version %d is in force and this dispatcher can't act on it: %s", v.Number, fault.Reason)})
		return false
	}
	m.mu.Lock()
	m.holds, m.lease, m.unfit = v, lease, nil
	m.mu.Unlock()
	slog.Info("agreement: in force here", "version", v.Number, "print", v.Fingerprint)
	return true
}

// listen hears of changes as they come.
func (m *member) listen() {
	n := m.n
	stamp := uint64(0)
	for n.ctx.Err() == nil {
		if n.voter != nil {
			next := n.voter.wait(stamp, newsWait)
			if next != stamp {
				stamp = next
				n.poke()
			}
			if n.voterGone() {
				return
			}
			continue
		}
		names := n.voters(m.target())
		var is news
		if len(names) == 0 || call(n.links[names[0]], newsCall, news{stamp}, &is, newsWait+n.opt.Timing.AcceptFor) != nil {
			m.pause(n.opt.Timing.Renew)
			continue
		}
		if is.Stamp != stamp {
			stamp = is.Stamp
			n.poke()
		}
	}
}

func (n *Node) voterGone() bool {
	select {
	case <-n.voter.done:
		return true
	default:
		return false
	}
}

func (m *member) pause(d time.Duration) {
	select {
	case <-m.n.ctx.Done():
	case <-time.After(d):
	}
}

// leave has the last word be said, after which no lease is renewed: nothing of this dispatcher acts any more.
func (m *member) leave() {
	done := make(chan struct{})
	select {
	case m.leaves <- done:
		<-done
	case <-time.After(m.n.opt.Timing.Within): // where nobody hears it the lease runs out
	}
}

func (m *member) lastWord() {
	m.mu.Lock()
	m.life.Young = false // it ends by an order
	m.mu.Unlock()
	m.remember()
	r := m.renewal()
	r.Leaving = true
	_, _ = m.ask(r) // where nobody hears it the lease runs out
}
