package cluster

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

	"standpulley/internal/clusterstate"
	"standpulley/internal/membership"
)

// member renews the dispatcher's lease, checks versions in progress and activates the one in force.
type member struct {
	n *Node

	mu         sync.Mutex
	lease      *clusterstate.Lease
	active     clusterstate.Version // the version that the program acts on
	leader     string
	lastGrant  time.Duration // time of the last granted renewal
	lostAt     time.Duration // when the lease expired; 0 while it is valid
	reason     string        // why there is no lease; empty while there is one
	lastLogged string        // the last reason that was logged
	unfit      *clusterstate.Fault

	activatedAt time.Duration // when the program activated its version

	// The fields below belong to the goroutine of run, which holds mu to change those that others read.
	checked     uint64
	fault       *clusterstate.Fault
	lastChecked clusterstate.Version // the version that was checked last, with its content
	saved       savedState
	listCopy    membership.Copy // changed with mu held
	list        membership.List // the list that the program acts on; changed with mu held
	dispatchers int
	// whether the program uses its share of the limits that are summed over all dispatchers
	usesShare    bool
	countedSince time.Duration            // since when the census counts this dispatcher; 0 if it does not
	unresponsive map[string]time.Duration // when each voter last failed to answer

	leaveRequests chan chan struct{}
	// the longest time that another dispatcher has served normally, in milliseconds, by the last
	// answer
	othersServingMS atomic.Int64
	othersWarmRates atomic.Pointer[map[string]float64] // as other dispatchers report them; nil before they did
	// a leader has reported the list as fresh since the start of this process
	listFresh atomic.Bool
	registry  registryReport // this dispatcher's own registry
}

func (m *member) knownLeader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// logNoLease logs why there is no lease, unless it was the last reason logged.
func (m *member) logNoLease(text string) {
	m.mu.Lock()
	repeated := m.lastLogged == text
	m.lastLogged, m.reason = text, text
	m.mu.Unlock()
	if !repeated {
		slog.Warn("agreement: no lease", "why", text)
	}
}

// run renews the lease at intervals, and at once when the record changes.
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

// checkLease handles the expiry of the lease, and marks the active version as good once the process
// has run on it for TrialTime.
func (m *member) checkLease() {
	now := m.n.now()
	m.mu.Lock()
	expired := m.active.Number != 0 && m.lastGrant != 0 && m.lease.Remaining(now) <= 0
	justExpired := expired && m.lostAt == 0
	if justExpired {
		m.lostAt = now
	}
	if m.saved.Unproven && m.lastGrant != 0 && !expired && m.lostAt == 0 && now-m.activatedAt > clusterstate.TrialTime {
		m.saved.Unproven, m.saved.Crashes, m.saved.LastGood = false, 0, m.saved.ActsOn
		m.mu.Unlock()
		m.save()
		return
	}
	why := m.reason
	m.mu.Unlock()
	if justExpired {
		m.n.program.LeaseLost()
		slog.Warn("agreement: lease expired", "version", m.lease.Number, "why", why, "alone", m.n.opt.OnLeaseLoss)
	}
}

// renew sends one renewal and reports whether to send the next one at once.
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
		defer m.n.wakeMember() // so that the result is reported at once
	}
	return m.handleResponse(sent, a)
}

func (m *member) renewal() clusterstate.Renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := clusterstate.Renewal{Name: m.n.opt.Name, Boot: m.n.boot, ActsOn: m.active.Number, CachedVersion: m.active.Number, Checked: m.checked, Fault: m.fault,
		Unfit: m.unfit, Crashes: m.saved.Crashes, Phase: m.n.program.Phase(), ServingMS: m.n.program.ServingTime().Milliseconds(), WarmRates: m.n.program.WarmRates(), LateActs: m.lease.LateActs()}
	r.WantsWarmRates = r.WarmRates != nil && len(r.WarmRates) == 0
	if m.lostAt != 0 {
		r.WithoutLeaseMS = (m.n.now() - m.lostAt).Milliseconds()
	}
	if m.n.opt.Lists != nil {
		r.List, r.CanReadRegistry, r.RegistrySilent = m.listCopy.Cursor(), m.n.opt.Lists.CanRead, m.n.program.RegistrySilent()
	}
	if m.lastChecked.Number != 0 && m.lastChecked.Number > r.CachedVersion {
		r.CachedVersion = m.lastChecked.Number // its content is here, should it be in force by now
	}
	return r
}

// askLeader finds the leader and sends it the renewal.
func (m *member) askLeader(r clusterstate.Renewal) (a renewResponse, err error) {
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

// votersToAsk returns the voters in the order in which to ask them: the presumed leader first, and
// last those that recently did not answer.
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

// checkVersion checks a version in progress against this dispatcher's own settings file and limits.
func (m *member) checkVersion(info *versionInfo) {
	fault := m.n.program.Check(info.Content)
	m.mu.Lock()
	m.checked, m.fault = info.Number, fault
	m.lastChecked = clusterstate.Version{Number: info.Number, Fingerprint: info.Fingerprint, Content: info.Content, Keys: info.Keys}
	m.mu.Unlock()
	if fault != nil {
		m.n.turnedDown.Add(1)
		slog.Warn("agreement: version turned down", "version", info.Number, "key", fault.Key, "reason", fault.Reason)
	}
}

// handleResponse handles the answer of the leader and reports whether to renew again at once.
func (m *member) handleResponse(sent time.Duration, a renewResponse) (renewNow bool) {
	m.mu.Lock()
	active, lease := m.active, m.lease
	m.mu.Unlock()
	inForce := clusterstate.Version{Number: a.InForce.Number, Fingerprint: a.InForce.Fingerprint, Content: a.InForce.Content, Keys: a.InForce.Keys}
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
		if keys := clusterstate.ConflictingKeys(active.Keys, inForce.Keys); len(keys) > 0 {
			m.setUnfit(&clusterstate.Fault{Key: keys[0], Reason: fmt.Sprintf("version %d brought this dispatcher down twice, and the last good one, %d, contradicts it in %s",
				inForce.Number, active.Number, strings.Join(keys, ", "))})
			return false
		}
		stale = false // no key conflicts, so this dispatcher may go on by the last good version
	}
	if stale {
		if inForce.Content == "" {
			m.forgetChecked() // so that the next answer brings the content
			return true
		}
		lease = &clusterstate.Lease{Number: inForce.Number, Fingerprint: inForce.Fingerprint, OnLeaseLoss: m.n.opt.OnLeaseLoss}
		if a.Lease && listErr == nil {
			lease.Extend(sent, m.n.opt.Timing)
		}
		if m.n.opt.Hooks.Lease != nil {
			m.n.opt.Hooks.Lease(lease)
		}
		if !m.activate(inForce, lease) {
			return false
		}
		renewNow = !a.Lease // it was unfit or out of date when it asked, and may get a lease now
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
		slog.Info("agreement: lease regained", "version", inForce.Number, "without", (now - lostAt).Round(time.Millisecond))
	}
	return renewNow
}

func (m *member) setUnfit(f *clusterstate.Fault) {
	m.mu.Lock()
	m.unfit = f
	m.mu.Unlock()
	if f != nil {
		m.logNoLease("out of service: " + f.Error())
	}
}

// forgetChecked drops the version that was checked last. Its number alone does not identify the version
// in force, so the leader must send the content again.
func (m *member) forgetChecked() {
	m.mu.Lock()
	m.lastChecked, m.checked, m.fault = clusterstate.Version{}, 0, nil
	m.mu.Unlock()
}

// activate makes the program act on a version. If the program can't, this dispatcher gets no lease
// until another version is in force.
func (m *member) activate(v clusterstate.Version, lease *clusterstate.Lease) bool {
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
			fault = &clusterstate.Fault{Reason: err.Error()}
		}
	}
	if fault != nil {
		m.setUnfit(&clusterstate.Fault{Key: fault.Key, Reason: fmt.Sprintf("version %d is in force and this dispatcher can't act on it: %s", v.Number, fault.Reason)})
		return false
	}
	m.mu.Lock()
	m.active, m.lease, m.unfit = v, lease, nil
	m.mu.Unlock()
	slog.Info("agreement: in force here", "version", v.Number, "print", v.Fingerprint)
	return true
}

// watchChanges wakes the member whenever the record changes.
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

// leave sends the last renewal, which gives up the lease. No part of this dispatcher may act after that.
func (m *member) leave() {
	done := make(chan struct{})
	select {
	case m.leaveRequests <- done:
		<-done
	case <-time.After(m.n.opt.Timing.Within): // if no voter gets the message, the lease expires by itself
	}
}

func (m *member) sendLeave() {
	m.mu.Lock()
	m.saved.Unproven = false // a planned end is no crash
	m.mu.Unlock()
	m.save()
	r := m.renewal()
	r.Leaving = true
	_, _ = m.askLeader(r) // if no voter gets it, the lease expires by itself
}
