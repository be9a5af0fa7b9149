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

	mu         sync.Mutex
	lease      *agree.Lease
	active     agree.Version // what the program acts on
	leader     string
	lastGrant  time.Duration // last grant
	lostAt     time.Duration // when the lease ended; 0 while it runs
	reason     string        // there is none
	lastLogged string        // last line of the log of that kind
	unfit      *agree.Fault

	activatedAt time.Duration // when the program took up what it acts on

	// What follows belongs to run's goroutine.
	checked      uint64
	fault        *agree.Fault
	lastChecked  agree.Version // the version that was checked last
	saved        savedState
	listCopy     membership.Copy // mu guards its change
	list         membership.List // that the program acts on; mu guards its change
	dispatchers  int
	usesShare    bool                     // the share of what is summed over all
	countedSince time.Duration            // since when this dispatcher is counted; 0: it is not
	unresponsive map[string]time.Duration // voters that did not answer, by when

	leaveRequests   chan chan struct{}
	othersServingMS atomic.Int64                       // milliseconds that another dispatcher has served as usual, by the last answer
	othersWarmRates atomic.Pointer[map[string]float64] // what others say that replicas bear; nil before they did
	listFresh       atomic.Bool                        // the list holds what the register said since some reader's start
	registry        registryReport                     // what is read of it
}

func (m *member) knownLeader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// say logs a line about the lease, once until another comes.
func (m *member) logNoLease(text string) {
	m.mu.Lock()
	repeated := m.lastLogged == text
	m.lastLogged, m.reason = text, text
	m.mu.Unlock()
	if !repeated {
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
		case done := <-m.leaveRequests:
			m.sendLeave()
			close(done)
			return
		case <-timer.C:
		case <-m.n.wake:
		}
		renewNow := m.renew()
		m.checkLease()
		if renewNow {
			m.n.wakeMember()
		}
		timer.Reset(t.Renew)
	}
}

// watch logs the end of a lease, and a life that is long enough.
func (m *member) checkLease() {
	now := m.n.now()
	m.mu.Lock()
	expired := m.active.Number != 0 && m.lastGrant != 0 && m.lease.Remaining(now) <= 0
	justExpired := expired && m.lostAt == 0
	if justExpired {
		m.lostAt = now
	}
	if m.saved.Unproven && m.lastGrant != 0 && !expired && m.lostAt == 0 && now-m.activatedAt > agree.TrialTime {
		m.saved.Unproven, m.saved.Crashes, m.saved.LastGood = false, 0, m.saved.ActsOn
		m.mu.Unlock()
		m.save()
		return
	}
	why := m.reason
	m.mu.Unlock()
	if justExpired {
		m.n.program.LeaseLost()
		slog.Warn("agreement: the lease is over", "version", m.lease.Number, "why", why, "alone", m.n.opt.OnLeaseLoss)
	}
}

// renew asks for the lease once. It tells whether to ask again at once.
func (m *member) renew() bool {
	sent := m.n.now()
	a, err := m.askLeader(m.renewal())
	if err != nil {
		m.logNoLease("no renewal: " + err.Error())
		return false
	}
	m.n.recordCluster(a.Cluster)
	m.othersServingMS.Store(a.ServingMS)
	if len(a.WarmRates) > 0 {
		m.othersWarmRates.Store(&a.WarmRates)
	}
	if a.InProgress != nil && a.InProgress.Number != m.checked {
		m.checkVersion(a.InProgress)
		defer m.n.wakeMember() // what it found is told at once
	}
	return m.handleResponse(sent, a)
}

func (m *member) renewal() agree.Renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := agree.Renewal{Name: m.n.opt.Name, Boot: m.n.boot, ActsOn: m.active.Number, CachedVersion: m.active.Number, Checked: m.checked, Fault: m.fault,
		Unfit: m.unfit, Crashes: m.saved.Crashes, Phase: m.n.program.Phase(), ServingMS: m.n.program.ServingTime().Milliseconds(), WarmRates: m.n.program.WarmRates(), LateActs: m.lease.LateActs()}
	r.WantsWarmRates = r.WarmRates != nil && len(r.WarmRates) == 0
	if m.lostAt != 0 {
		r.WithoutLeaseMS = (m.n.now() - m.lostAt).Milliseconds()
	}
	if m.n.opt.Lists != nil {
		r.List, r.CanReadRegistry, r.RegistrySilent = m.listCopy.Cursor(), m.n.opt.Lists.CanRead, m.n.program.RegistrySilent()
	}
	if m.lastChecked.Number != 0 && m.lastChecked.Number > r.CachedVersion {
		r.CachedVersion = m.lastChecked.Number // if that is in force by now its content is here
	}
	return r
}

// ask finds the voter that leads and renews there.
func (m *member) askLeader(r agree.Renewal) (a renewResponse, err error) {
	n, timeout := m.n, 2*m.n.opt.Timing.Renew+m.n.opt.Hooks.ExtraRenewTimeout
	leader := m.knownLeader()
	if n.voter != nil {
		if a, err = n.voter.renew(r); err == nil && a.Confirmed {
			m.setLeader(n.opt.Name)
			return a, nil
		}
		leader = a.Leader
	}
	lastErr := errNoLeader
	asked := map[string]bool{}
	for queue := m.votersToAsk(leader); len(queue) > 0 && len(asked) < maxVotersAsked; queue = queue[1:] {
		name := queue[0]
		if asked[name] {
			continue
		}
		asked[name] = true
		if err := callJSON(n.links[name], renewCall, r, &a, timeout); err != nil {
			m.unresponsive[name] = n.now()
			lastErr = fmt.Errorf("%w: %w", errNoLeader, err)
			continue
		}
		delete(m.unresponsive, name)
		if a.Confirmed {
			m.setLeader(name)
			return a, nil
		}
		if n.links[a.Leader] != nil {
			queue = append([]string{name, a.Leader}, queue[1:]...)
		} else {
			lastErr = fmt.Errorf("%w: %s: %s", errNoLeader, name, a.Why)
		}
	}
	m.setLeader("")
	return a, lastErr
}

// order gives the voters as they are to be asked: the one that is said to lead, and those that were silent of late last.
func (m *member) votersToAsk(leader string) []string {
	names := m.n.voterNames(leader)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(m.recentlyUnresponsive(a), m.recentlyUnresponsive(b)) })
	return names
}

func (m *member) recentlyUnresponsive(name string) int {
	if at, ok := m.unresponsive[name]; ok && m.n.now()-at < m.n.opt.Timing.AcceptFor {
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
func (m *member) checkVersion(info *versionInfo) {
	fault := m.n.program.Check(info.Content)
	m.mu.Lock()
	m.checked, m.fault = info.Number, fault
	m.lastChecked = agree.Version{Number: info.Number, Fingerprint: info.Fingerprint, Content: info.Content, Keys: info.Keys}
	m.mu.Unlock()
	if fault != nil {
		m.n.turnedDown.Add(1)
		slog.Warn("agreement: a version is turned down", "version", info.Number, "key", fault.Key, "reason", fault.Reason)
	}
}

// granted takes an answer of the voter that leads.
func (m *member) handleResponse(sent time.Duration, a renewResponse) (renewNow bool) {
	m.mu.Lock()
	active, lease := m.active, m.lease
	m.mu.Unlock()
	inForce := agree.Version{Number: a.InForce.Number, Fingerprint: a.InForce.Fingerprint, Content: a.InForce.Content, Keys: a.InForce.Keys}
	stale := active.Number != inForce.Number
	if m.n.opt.Hooks.Stale != nil {
		stale = m.n.opt.Hooks.Stale(stale)
	}
	if stale && inForce.Content == "" && m.lastChecked.Number == inForce.Number {
		inForce = m.lastChecked
	}
	var listErr error
	if a.Lease {
		listErr = m.applyList(sent, a.List)
	}
	if m.n.opt.Hooks.RenewedAt != nil {
		sent = m.n.opt.Hooks.RenewedAt(sent, m.n.now())
	}
	if stale && m.crashedTwiceOn(inForce.Number) {
		if keys := agree.ConflictingKeys(active.Keys, inForce.Keys); len(keys) > 0 {
			m.setUnfit(&agree.Fault{Key: keys[0], Reason: fmt.Sprintf("version %d brought this dispatcher down twice, and the last good one, %d, contradicts it in %s",
				inForce.Number, active.Number, strings.Join(keys, ", "))})
			return false
		}
		stale = false // no key of it does harm: it goes on by the last good one
	}
	if stale {
		if inForce.Content == "" {
			m.forgetChecked() // so that the whole of it is sent
			return true
		}
		lease = &agree.Lease{Number: inForce.Number, Fingerprint: inForce.Fingerprint, OnLeaseLoss: m.n.opt.OnLeaseLoss}
		if a.Lease && listErr == nil {
			lease.Extend(sent, m.n.opt.Timing)
		}
		if m.n.opt.Hooks.Lease != nil {
			m.n.opt.Hooks.Lease(lease)
		}
		if !m.activate(inForce, lease) {
			return false
		}
		renewNow = !a.Lease // it was not fit before, or not up to date
	}
	if !a.Lease {
		m.logNoLease("no lease: " + a.Why)
		return renewNow
	}
	if listErr != nil {
		m.logNoLease("no lease: " + listErr.Error())
		return renewNow || errors.Is(listErr, errPartialList)
	}
	lease.Extend(sent, m.n.opt.Timing)
	now := m.n.now()
	m.mu.Lock()
	lostAt := m.lostAt
	m.lastGrant, m.lostAt, m.reason, m.lastLogged = now, 0, "", ""
	m.mu.Unlock()
	if lostAt != 0 {
		slog.Info("agreement: the lease is back", "version", inForce.Number, "without", (now - lostAt).Round(time.Millisecond))
	}
	return renewNow
}

func (m *member) setUnfit(f *agree.Fault) {
	m.mu.Lock()
	m.unfit = f
	m.mu.Unlock()
	if f != nil {
		m.logNoLease("out of service: " + f.Error())
	}
}

// forget drops what was checked, as a number alone does not make a version.
func (m *member) forgetChecked() {
	m.mu.Lock()
	m.lastChecked, m.checked, m.fault = agree.Version{}, 0, nil
	m.mu.Unlock()
}

// takeUp has the program act on a version. Where it can't, this dispatcher has no lease until there is another version.
func (m *member) activate(v agree.Version, lease *agree.Lease) bool {
	fault := m.n.program.Check(v.Content)
	if fault == nil {
		m.mu.Lock()
		if m.saved.ActsOn.Number != v.Number {
			if m.saved.Crashes == 0 {
				m.saved.LastGood = m.saved.ActsOn
			}
			m.saved.ActsOn, m.saved.Unproven, m.saved.Crashes = v, true, 0
		}
		m.saved.Unproven = true
		m.activatedAt = m.n.now()
		m.mu.Unlock()
		m.save()
		if err := m.n.program.Activate(v, lease); err != nil {
			fault = &agree.Fault{Reason: err.Error()}
		}
	}
	if fault != nil {
		m.setUnfit(&agree.Fault{Key: fault.Key, Reason: fmt.Sprintf("version %d is in force and this dispatcher can't act on it: %s", v.Number, fault.Reason)})
		return false
	}
	m.mu.Lock()
	m.active, m.lease, m.unfit = v, lease, nil
	m.mu.Unlock()
	slog.Info("agreement: in force here", "version", v.Number, "print", v.Fingerprint)
	return true
}

// listen hears of changes as they come.
func (m *member) watchChanges() {
	n := m.n
	revision := uint64(0)
	for n.ctx.Err() == nil {
		if n.voter != nil {
			next := n.voter.waitForChange(revision, changeTimeout)
			if next != revision {
				revision = next
				n.wakeMember()
			}
			if n.voterStopped() {
				return
			}
			continue
		}
		names := n.voterNames(m.knownLeader())
		var notice changeNotice
		if len(names) == 0 || callJSON(n.links[names[0]], changesCall, changeNotice{revision}, &notice, changeTimeout+n.opt.Timing.AcceptFor) != nil {
			m.sleep(n.opt.Timing.Renew)
			continue
		}
		if notice.Revision != revision {
			revision = notice.Revision
			n.wakeMember()
		}
	}
}

func (n *Node) voterStopped() bool {
	select {
	case <-n.voter.done:
		return true
	default:
		return false
	}
}

func (m *member) sleep(d time.Duration) {
	select {
	case <-m.n.ctx.Done():
	case <-time.After(d):
	}
}

// leave has the last word be said, after which no lease is renewed: nothing of this dispatcher acts any more.
func (m *member) leave() {
	done := make(chan struct{})
	select {
	case m.leaveRequests <- done:
		<-done
	case <-time.After(m.n.opt.Timing.Within): // where nobody hears it the lease runs out
	}
}

func (m *member) sendLeave() {
	m.mu.Lock()
	m.saved.Unproven = false // it ends by an order
	m.mu.Unlock()
	m.save()
	r := m.renewal()
	r.Leaving = true
	_, _ = m.askLeader(r) // where nobody hears it the lease runs out
}
