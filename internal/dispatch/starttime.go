package dispatch

import "time"

// clockOrigin is the time at which the clock of the decision module begins. That clock is
// monotonic: it counts from the start of the core, and a step of the wall clock does not change it.
// It does not begin at zero, so that replicas that started before the core have times above zero;
// zero means "long ago" to the module.
const clockOrigin = 24 * time.Hour

// wallClock returns the wall clock without a monotonic reading. It may be stepped.
func wallClock() time.Time { return time.Now().Round(0) }

// now returns the time by the clock of the decision module.
func (d *Dispatcher) now() time.Duration { return clockOrigin + d.clock().Sub(d.startedAt) }

// timeAt converts a time of the module's clock.
func (d *Dispatcher) timeAt(at time.Duration) time.Time { return d.startedAt.Add(at - clockOrigin) }

const (
	// discoveryLag is the longest time that a list may take to reach the dispatcher after the start
	// of a replica. If a replica that is first listed long after the first list claims to be older
	// than that, its start was dated by a clock that was stepped.
	discoveryLag = 20 * time.Second
	// startRetention is how long the start of a replica that has left the list is remembered,
	// because it may be listed again.
	startRetention = 10 * time.Minute
)

// startTimes converts the wall-clock start times of replicas to the module's clock. Each is
// converted once, when it is first listed, so that a later step of the wall clock does not change
// the age of a replica. If the wall-clock time cannot be right, the replica counts as just started.
type startTimes struct {
	wall func() time.Time
	// wallAtZero is the wall clock at time zero of the module's clock, computed at the start of the
	// core.
	wallAtZero time.Time
	firstList  time.Duration             // when the first list came from discovery; 0: not yet
	known      map[string]knownStartTime // by replica id
	// lastSweep is when entries that had not been listed for long were last removed.
	lastSweep time.Duration
}

// knownStartTime is the start time of the process of one replica.
type knownStartTime struct {
	listed     time.Time     // wall-clock start time given in the list; zero: long ago
	started    time.Duration // by the module's clock; 0: long ago
	lastListed time.Duration // when the replica was last known to be listed
}

func newStartTimes(wall func() time.Time, now time.Duration) *startTimes {
	return &startTimes{wall: wall, wallAtZero: wall().Add(-now), known: map[string]knownStartTime{}}
}

// started returns the start time of a listed replica by the module's clock.
func (s *startTimes) started(id string, listed time.Time, now time.Duration) time.Duration {
	known, ok := s.known[id]
	if !ok || !known.listed.Equal(listed) {
		known.listed = listed
		known.started = s.convert(listed, now)
	}
	known.lastListed = now
	s.known[id] = known
	return known.started
}

// convert computes the age of the replica from the current wall clock, and from what the wall clock
// would show if it had not been stepped since the start of the core. The smaller age counts.
func (s *startTimes) convert(listed time.Time, now time.Duration) time.Duration {
	if listed.IsZero() {
		return 0
	}
	age := min(s.wall().Sub(listed), s.wallAtZero.Add(now).Sub(listed))
	age = max(age, 0)
	if s.firstList > 0 && age > now-s.firstList+discoveryLag {
		age = 0
	}
	return max(now-age, 0)
}

// listReceived records that a list came from discovery, and removes replicas that left the list long
// ago. A replica stays listed while lists of changes do not name it.
func (s *startTimes) listReceived(now time.Duration, isListed func(id string) bool) {
	if s.firstList == 0 {
		s.firstList = now
	}
	if now-s.lastSweep < startRetention/10 {
		return
	}
	s.lastSweep = now
	for id, known := range s.known {
		switch {
		case isListed(id):
			known.lastListed = now
			s.known[id] = known
		case now-known.lastListed > startRetention:
			delete(s.known, id)
		}
	}
}
