package dispatch

import (
	"testing"
	"time"

	"standpulley/logic"
)

// steppedWall is a wall clock that runs with the clock of a test and can be stepped.
type steppedWall struct {
	now  *time.Time
	step time.Duration
}

func (w *steppedWall) read() time.Time { return w.now.Round(0).Add(w.step) }

// newSteppedCore returns a core whose clocks the test moves. The start times of replicas are
// converted by the stepped wall clock.
func newSteppedCore(t *testing.T) (d *Dispatcher, wall *steppedWall, advance func(time.Duration)) {
	t.Helper()
	d, _ = newCore(t, 9)
	now := d.startedAt
	d.clock = func() time.Time { return now }
	wall = &steppedWall{now: &now}
	d.starts = newStartTimes(wall.read, d.now())
	return d, wall, func(by time.Duration) { now = now.Add(by) }
}

func listOne(id string, boot time.Time) Update {
	return Update{Servers: []Server{{Addr: id, LastBoot: boot, ServerEntry: logic.ServerEntry{ID: id, Kind: "r", Weight: 1}}}}
}

var wallSteps = []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour}

// TestWallClockStepKeepsKnownAge checks that the age of a replica is computed once. A later step of
// the wall clock does not make the replica look older or younger, even if another list names it
// again.
func TestWallClockStepKeepsKnownAge(t *testing.T) {
	for _, step := range wallSteps {
		d, wall, advance := newSteppedCore(t)
		boot := wall.read().Add(-4 * time.Second)
		listOne("x", boot).apply(d)
		want := d.servers["x"].Started
		if want != d.now()-4*time.Second {
			t.Fatalf("started %v ago", d.now()-want)
		}
		advance(2 * time.Second)
		wall.step = step
		listOne("x", boot).apply(d)
		if got := d.servers["x"].Started; got != want {
			t.Errorf("step %v: started at %v, then at %v", step, want, got)
		}
	}
}

// TestNewReplicaIsNeverDatedTooOld checks that a newly listed replica never counts as older than it
// is, whatever the wall clock shows, and it counts as younger by at most the step of the clock.
func TestNewReplicaIsNeverDatedTooOld(t *testing.T) {
	for _, step := range wallSteps {
		d, wall, advance := newSteppedCore(t)
		listOne("x", time.Time{}).apply(d)
		advance(time.Minute)
		boot := wall.read().Add(-4 * time.Second) // by a clock that was not stepped
		wall.step = step
		listOne("y", boot).apply(d)
		age := d.now() - d.servers["y"].Started
		if age > 4*time.Second || step >= 0 && age != 4*time.Second {
			t.Errorf("step %v: a replica that is 4 s old counts as %v old", step, age)
		}
	}
}

// TestImplausibleStartCountsAsJustStarted checks that a replica counts as just started if its start
// lies in the future, or so far back that an earlier list would have contained it.
func TestImplausibleStartCountsAsJustStarted(t *testing.T) {
	d, wall, advance := newSteppedCore(t)
	listOne("x", time.Time{}).apply(d)
	advance(5 * time.Second)
	for id, boot := range map[string]time.Duration{"ahead": time.Hour, "old": -time.Hour} {
		listOne(id, wall.read().Add(boot)).apply(d)
		if age := d.now() - d.servers[id].Started; age != 0 {
			t.Errorf("%s: counts as %v old", id, age)
		}
	}
	listOne("long-ago", time.Time{}).apply(d)
	if s := d.servers["long-ago"]; s.Started != 0 {
		t.Errorf("a replica that started long ago has started at %v", s.Started)
	}
}

// TestFirstListsAreTrusted checks that replicas that were known before discovery answered keep the
// age given in their list, even a long one.
func TestFirstListsAreTrusted(t *testing.T) {
	d, wall, _ := newSteppedCore(t)
	d.applyList(listOne("x", wall.read().Add(-time.Hour)))
	if age := d.now() - d.servers["x"].Started; age != time.Hour {
		t.Errorf("counts as %v old", age)
	}
	d.applyList(listOne("y", wall.read().Add(-2*clockOrigin)))
	if s := d.servers["y"]; s.Started != 0 {
		t.Errorf("started at %v", s.Started)
	}
}

// TestStartTimesExpire checks that replicas that come and go for days leave no start times behind.
func TestStartTimesExpire(t *testing.T) {
	d, wall, advance := newSteppedCore(t)
	for range 50 {
		whole := listOne(wall.read().String(), wall.read())
		whole.Full = true // the one before has gone
		whole.apply(d)
		advance(time.Minute)
	}
	if n := len(d.starts.known); n > 20 {
		t.Errorf("%d start times are kept", n)
	}
}

// TestModuleClockIsMonotonic checks that the clock of the decision module runs with the monotonic
// clock, and its times convert back to times with a monotonic reading.
func TestModuleClockIsMonotonic(t *testing.T) {
	d, wall, advance := newSteppedCore(t)
	before := d.now()
	wall.step = time.Hour
	advance(time.Second)
	if d.now()-before != time.Second {
		t.Errorf("%v went by in a second", d.now()-before)
	}
	if at := d.timeAt(d.now() + time.Second); at.Sub(d.clock()) != time.Second {
		t.Errorf("one second ahead converts to %v ahead", at.Sub(d.clock()))
	}
	real, _ := newCore(t, 9)
	if at := real.timeAt(real.now()); at.String() == at.Round(0).String() {
		t.Error("a time of the module's clock has no monotonic reading")
	}
}

// TestStartIsKnownWhileListsOfChangesAreSilent guards against the start of a replica being forgotten
// after startRetention in which lists of changes did not name it: the next whole list made every
// replica that is older than the dispatcher count as just started.
func TestStartIsKnownWhileListsOfChangesAreSilent(t *testing.T) {
	d, wall, advance := newSteppedCore(t)
	boot := wall.read().Add(-time.Hour)
	whole := listOne("x", boot)
	whole.Full = true
	whole.apply(d)
	want := d.servers["x"].Started
	for range 10 {
		advance(2 * time.Minute)
		listOne("other", boot).apply(d)
	}
	whole.apply(d)
	if got := d.servers["x"].Started; got != want {
		t.Errorf("started at %v, then at %v", want, got)
	}
	// One that has left the list long ago is forgotten.
	for range 10 {
		advance(2 * time.Minute)
		whole.apply(d)
	}
	if _, ok := d.starts.known["other"]; ok {
		t.Error("a replica that left the list is remembered for ever")
	}
}
