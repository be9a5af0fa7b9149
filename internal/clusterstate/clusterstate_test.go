package clusterstate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func keysWith(limit, credit string) map[string]string {
	return map[string]string{"siblings": "3", "limits.try_limit": limit, "services.0.credit": credit}
}

// bootstrapped returns a record with all seats taken and version 1 in force.
func bootstrapped(t testing.TB) *Record {
	t.Helper()
	rec := &Record{}
	mustApply(t, rec, Entry{Bootstrap: &Bootstrap{Cluster: 7, RequiredSeats: 3, Seat: Seat{"a", 1}, First: Propose{Content: "1", Keys: keysWith("6", "1"), Fingerprint: "p1"}}})
	mustApply(t, rec, Entry{TakeSeat: &Seat{"b", 2}})
	mustApply(t, rec, Entry{TakeSeat: &Seat{"c", 3}})
	return rec
}

func mustApply(t testing.TB, rec *Record, e Entry) uint64 {
	t.Helper()
	n, err := rec.Apply(e)
	if err != nil {
		t.Fatalf("%+v: %v", e, err)
	}
	return n
}

func proposal(id string, base uint64, keys map[string]string) Entry {
	return Entry{Propose: &Propose{ID: id, Base: base, Content: id, Keys: keys, Fingerprint: "p" + id, By: "op"}}
}

func expectRefusal(t *testing.T, rec *Record, e Entry, fragments ...string) {
	t.Helper()
	before := fmt.Sprintf("%+v", rec.Versions)
	_, err := rec.Apply(e)
	for _, fragment := range fragments {
		if err == nil || !strings.Contains(err.Error(), fragment) {
			t.Errorf("%+v: %v, wanted %q", e, err, fragment)
		}
	}
	if after := fmt.Sprintf("%+v", rec.Versions); after != before {
		t.Errorf("a refused entry changed the versions from %s to %s", before, after)
	}
}

func TestVersionsAreProposedFromTheOneInForce(t *testing.T) {
	rec := bootstrapped(t)
	n := mustApply(t, rec, proposal("x", 1, keysWith("5", "1")))
	expectRefusal(t, rec, proposal("y", 1, keysWith("4", "1")), "version 2", "under way", "limits.try_limit")
	if again, err := rec.Apply(proposal("x", 1, keysWith("5", "1"))); err != nil || again != n || rec.LastNumber != 2 {
		t.Errorf("repeated proposal: number %d, error %v, last number %d", again, err, rec.LastNumber)
	}
	mustApply(t, rec, Entry{Activate: &Activate{Number: n}})
	expectRefusal(t, rec, Entry{Activate: &Activate{Number: n}}, "not under way")
	expectRefusal(t, rec, proposal("z", 1, keysWith("4", "2")), "made from version 1, and 2 is in force", "limits.try_limit")
	expectRefusal(t, rec, proposal("same", 2, keysWith("5", "1")), "no key differs")
	expectRefusal(t, rec, Entry{TurnDown: &TurnDown{Number: 2}}, "not under way")
	// The number of a version that was turned down is not reused, and a rollback gets a new number.
	n = mustApply(t, rec, proposal("bad", 2, keysWith("1", "1")))
	mustApply(t, rec, Entry{TurnDown: &TurnDown{Number: n, Member: "c", Fault: Fault{"limits.try_limit", "too few"}}})
	expectRefusal(t, rec, Entry{Activate: &Activate{Number: n}}, "not under way")
	back := proposal("back", 2, keysWith("6", "1"))
	back.Propose.RollbackTo = 1
	if n := mustApply(t, rec, back); n != 4 || rec.Version(4).RollbackTo != 1 || rec.InForceNumber != 2 {
		t.Errorf("rollback is version %d, in force is %d", n, rec.InForceNumber)
	}
	mustApply(t, rec, Entry{Withdraw: &Withdraw{ID: "w", Number: 4, By: "op"}})
	if rec.Version(4).State != Withdrawn || rec.InProgress() != nil || rec.InForce().Number != 2 || rec.Decisions != 2 {
		t.Errorf("%+v", rec)
	}
}

func TestSeats(t *testing.T) {
	rec := bootstrapped(t)
	expectRefusal(t, rec, Entry{TakeSeat: &Seat{"d", 3}}, "has a seat")
	mustApply(t, rec, Entry{TakeSeat: &Seat{"c", 9}})
	expectRefusal(t, rec, Entry{TakeSeat: &Seat{"c", 3}}, "had a seat before")
	if disk, ok := rec.SeatOf("c"); disk != 9 || !ok || !rec.Complete || !slices.Equal(rec.RetiredDisks, []uint64{3}) {
		t.Errorf("%+v", rec)
	}
	expectRefusal(t, rec, Entry{Bootstrap: &Bootstrap{Cluster: 8}}, "founded before")
}

func TestContentsAreKeptWithinBounds(t *testing.T) {
	rec := bootstrapped(t)
	for i := range 3 * maxKeptVersions {
		e := proposal(fmt.Sprint(i), rec.InForceNumber, keysWith(fmt.Sprint(i), "1"))
		e.Propose.Content = strings.Repeat("x", 40<<10)
		mustApply(t, rec, Entry{Activate: &Activate{Number: mustApply(t, rec, e)}})
	}
	bytes := 0
	for _, v := range rec.Versions {
		bytes += len(v.Content)
	}
	if bytes > maxKeptBytes+40<<10 || len(rec.Results) > maxKeptResults || rec.InForce() == nil || rec.LastNumber != 3*maxKeptVersions+1 {
		t.Errorf("%d bytes of content, %d results, last number %d", bytes, len(rec.Results), rec.LastNumber)
	}
	expectRefusal(t, rec, proposal("old", 1, keysWith("9", "1")), "no longer kept")
}

func TestKeys(t *testing.T) {
	for key, want := range map[string]Effect{"siblings": Harmful, "services.3.repeat": Harmful, "services.0.goal_time_us": Harmless, "prices.cross_zone": Harmful, "zone": Local,
		"obligations.cold_from": Harmful, "limits.retry_after": Harmless, "services.0": Unknown, "services.x.y.z": Unknown, "prices": Unknown, "limits.try_limt": Unknown} {
		if got, _ := EffectOf(key); got != want {
			t.Errorf("%s: %v, wanted %v", key, got, want)
		}
	}
	a, b := keysWith("6", "1"), keysWith("5", "2")
	if got := ConflictingKeys(a, b); !slices.Equal(got, []string{"limits.try_limit"}) {
		t.Errorf("ConflictingKeys: %v", got)
	}
	if got := DifferingKeys(a, b); len(got) != 2 {
		t.Errorf("DifferingKeys: %v", got)
	}
	if f := CheckKeys(map[string]string{"limits.try_limt": "1"}); f == nil || !strings.Contains(f.Error(), "is limits.try_limit meant") {
		t.Errorf("%v", f)
	}
	if f := CheckKeys(map[string]string{"zone": "a"}); f == nil || f.Key != "zone" {
		t.Errorf("%v", f)
	}
}

// TestLease checks that a lease counts from when its renewal was sent, that a late answer to an older
// renewal does not shorten it, and what each policy permits after its end.
func TestLease(t *testing.T) {
	timing := TimingOf(2 * time.Second)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, x := range []struct {
		alone       LeaseLossPolicy
		at          time.Duration
		take, send  bool // requests of a class that must not run twice
		safe, again bool // requests of other classes: a first attempt, a retry
		once, ready bool
	}{
		{Stop, ms(1100), true, true, true, true, false, true},
		{Stop, ms(1450), false, true, true, true, false, false},
		{Stop, ms(1800), false, false, false, false, false, false},
		{Safe, ms(1100), true, true, true, true, false, true},
		{Safe, ms(1800), false, false, true, false, true, true},
		{Hold, ms(9000), true, true, true, true, false, true},
	} {
		l := &Lease{Number: 3, Fingerprint: "0123456789", OnLeaseLoss: x.alone}
		l.Extend(ms(100), timing)
		l.Extend(ms(50), timing) // the answer to an older renewal arrives later and shortens nothing
		got := []bool{l.MayAccept(x.at, true) == nil, l.MaySend(x.at, true, false) == nil, l.MaySend(x.at, false, false) == nil, l.MaySend(x.at, false, true) == nil,
			l.AtMostOnce(x.at), l.Ready(x.at)}
		if want := []bool{x.take, x.send, x.safe, x.again, x.once, x.ready}; !slices.Equal(got, want) {
			t.Errorf("%s at %v: %v, wanted %v", x.alone, x.at, got, want)
		}
	}
	for _, alone := range []LeaseLossPolicy{Stop, Safe, Hold} { // without any version
		if l := (&Lease{OnLeaseLoss: alone}); l.MayAccept(0, false) == nil || l.Ready(0) {
			t.Errorf("%s: a lease without a version accepts requests", alone)
		}
	}
	if l := (&Lease{Number: 3, Fingerprint: "0123456789"}); l.SettingsVersion() != "3-01234567" {
		t.Errorf("SettingsVersion: %q", l.SettingsVersion())
	}
	for within, good := range map[time.Duration]bool{400 * time.Millisecond: false, MinWithin: true, MaxWithin: true, time.Minute: false} {
		if (TimingOf(within).Check() == nil) != good {
			t.Errorf("%v: %v", within, !good)
		}
	}
	// Every lease ends within Within, by any clock within the drift.
	if timing.MaxLease >= timing.Within || timing.AcceptFor >= timing.SendFor || timing.SendFor+timing.SendFor/DriftDivisor >= timing.MaxLease {
		t.Errorf("%+v", timing)
	}
}

func TestLeaseTable(t *testing.T) {
	rec, timing := bootstrapped(t), TimingOf(time.Second)
	leases := NewLeaseTable(0, timing)
	now := 10 * time.Second // leases granted by an earlier leader have expired
	renew := func(name string, checked uint64, f *Fault) bool {
		return leases.Renew(now, Renewal{Name: name, Checked: checked, Fault: f}, rec)
	}
	if !renew("a", 0, nil) || !renew("b", 0, nil) {
		t.Fatal("renewals were not granted")
	}
	n := mustApply(t, rec, proposal("x", 1, keysWith("5", "1")))
	renew("a", n, nil)
	if e := leases.Next(now, rec); e != nil {
		t.Fatalf("b holds a lease and has not checked the version, but got %+v", e)
	}
	if got := leases.WaitingFor(now, rec); !slices.Equal(got, []string{"b"}) {
		t.Errorf("WaitingFor: %v", got)
	}
	now += timing.MaxLease / 2
	renew("a", n, nil)
	if e := leases.Next(now+timing.MaxLease/2-1, rec); e != nil {
		t.Errorf("b's lease may still run, but got %+v", e)
	}
	now += timing.MaxLease / 2
	renew("a", n, nil)
	if e := leases.Next(now, rec); e == nil || e.Activate == nil || e.Activate.Number != n {
		t.Fatalf("b's lease has expired, but got %+v", e)
	}
	if renew("d", 0, nil) || renew("b", 0, nil) {
		t.Error("lease granted to a dispatcher that has not checked the version being put in force")
	}
	if !renew("b", n, nil) {
		t.Error("no lease for a dispatcher that has checked the version")
	}
	mustApply(t, rec, Entry{Activate: &Activate{Number: n}})
	if !renew("d", 0, nil) {
		t.Error("no lease for a new member")
	}
	// One dispatcher turns the version down, one leaves, one can't act on the version in force.
	n = mustApply(t, rec, proposal("y", 2, keysWith("4", "1")))
	renew("a", n, nil)
	renew("b", n, &Fault{"k", "no"})
	if e := leases.Next(now, rec); e == nil || e.TurnDown == nil || e.TurnDown.Member != "b" {
		t.Errorf("%+v", e)
	}
	leases.Renew(now, Renewal{Name: "b", Leaving: true}, rec)
	leases.Renew(now, Renewal{Name: "d", Leaving: true}, rec)
	if e := leases.Next(now, rec); e == nil || e.Activate == nil {
		t.Errorf("after b left: %+v", e)
	}
	if leases.Renew(now, Renewal{Name: "u", Checked: n, Unfit: &Fault{"k", "no"}}, rec) {
		t.Error("lease granted to a dispatcher that can't act on the version in force")
	}
	// A new leader waits until the leases that it does not know have expired.
	if e := NewLeaseTable(now, timing).Next(now+timing.MaxLease-1, rec); e != nil {
		t.Errorf("%+v", e)
	}
}

func TestCanary(t *testing.T) {
	timing := TimingOf(time.Second)
	start := func() (*Record, *LeaseTable, uint64) {
		rec := bootstrapped(t)
		harmful := proposal("h", 1, keysWith("5", "1"))
		harmful.Propose.CanaryMember = "a"
		expectRefusal(t, rec, harmful, "alone may not", "limits.try_limit")
		harmless := proposal("f", 1, keysWith("6", "2"))
		harmless.Propose.CanaryMember = "a"
		n := mustApply(t, rec, harmless)
		leases := NewLeaseTable(0, timing)
		now := 10 * time.Second
		leases.Renew(now, Renewal{Name: "a", Boot: 1, Checked: n}, rec)
		leases.Renew(now, Renewal{Name: "b", Checked: n}, rec)
		e := leases.Next(now, rec)
		if e == nil || e.Activate == nil || !e.Activate.Canary {
			t.Fatalf("%+v", e)
		}
		mustApply(t, rec, *e)
		if rec.VersionFor("a").Number != n || rec.VersionFor("b").Number != 1 || rec.InForceNumber != 1 {
			t.Fatalf("version for a is %d, for b %d", rec.VersionFor("a").Number, rec.VersionFor("b").Number)
		}
		return rec, leases, n
	}
	run := func(rec *Record, leases *LeaseTable, n uint64, reboot bool) *Entry {
		for now := 10 * time.Second; now < 25*time.Second; now += 100 * time.Millisecond {
			boot := uint64(1)
			if reboot && now > 15*time.Second {
				boot = 2
			}
			leases.Renew(now, Renewal{Name: "a", Boot: boot, ActsOn: n, Checked: n}, rec)
			leases.Renew(now, Renewal{Name: "b", ActsOn: 1, Checked: n}, rec)
			if e := leases.Next(now, rec); e != nil {
				if e.Activate != nil && now < 20*time.Second {
					t.Errorf("the other dispatchers follow at %v, before the end of the trial", now)
				}
				return e
			}
		}
		return nil
	}
	rec, leases, n := start()
	if e := run(rec, leases, n, false); e == nil || e.Activate == nil || e.Activate.Canary {
		t.Errorf("after the trial: %+v", e)
	}
	rec, leases, n = start()
	e := run(rec, leases, n, true)
	if e == nil || e.Withdraw == nil {
		t.Fatalf("after a restart of the canary dispatcher: %+v", e)
	}
	mustApply(t, rec, *e)
	if rec.VersionFor("a").Number != 1 || rec.Version(n).State != Withdrawn {
		t.Errorf("%+v", rec)
	}
}
