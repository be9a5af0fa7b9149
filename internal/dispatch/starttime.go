package dispatch

import "time"

// The module's clock is monotonic: it counts from the core's start, and a step of the machine's wall clock does not move it. It begins
// at clockOrigin, so that replicas that started before the core have times above zero, which means "long ago" to the module.
const clockOrigin = 24 * time.Hour

// wallClock reads the machine's wall clock alone, which may be stepped.
func wallClock() time.Time { return time.Now().Round(0) }

// now is the module's clock.
func (d *Dispatcher) now() time.Duration { return clockOrigin + d.clock().Sub(d.startedAt) }

// timeAt gives the moment at which the module's clock shows a time.
func (d *Dispatcher) timeAt(at time.Duration) time.Time { return d.startedAt.Add(at - clockOrigin) }

const (
	// discoveryLag is the longest that a list may take from a replica's start to the dispatcher. A replica that is newly told of long
	// after the first list, and claims to be older than that, was dated by a clock that has been stepped.
	discoveryLag = 20 * time.Second
	// startKept is how long the start of a replica that has left the list is remembered, as it may be listed again.
	startRetention = 10 * time.Minute
)

// startTimes turns the wall-clock times at which replicas started into the module's clock. Each is turned once, when it is first told, so
// that a later step of the wall clock changes no age. Where the wall clock can't be right, the replica counts as just started.
type startTimes struct {
	wall       func() time.Time
	wallAtZero time.Time                 // what the wall clock would have shown at the module's zero, by its reading at the core's start
	firstList  time.Duration             // when the first list came from discovery; 0: not yet
	known      map[string]knownStartTime // by the replica's id
	lastSweep  time.Duration             // when what no list has named for long was forgotten last
}

// knownStartTime is the start of one replica's process.
type knownStartTime struct {
	listed     time.Time     // as the list says; zero: long ago
	started    time.Duration // by the module's clock; 0: long ago
	lastListed time.Duration // when a list named it last
}

func newStartTimes(wall func() time.Time, now time.Duration) *startTimes {
	return &startTimes{wall: wall, wallAtZero: wall().Add(-now), known: map[string]knownStartTime{}}
}

// started gives the time at which a listed replica started, by the module's clock.
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

// convert reads the replica's age off the wall clock, and off what the wall clock would show had it not been stepped since the core's
// start. The younger counts.
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

// listTold notes that discovery has told a list, and forgets replicas that none has named for long.
func (s *startTimes) listReceived(now time.Duration) {
	if s.firstList == 0 {
		s.firstList = now
	}
	if now-s.lastSweep < startRetention/10 {
		return
	}
	s.lastSweep = now
	for id, known := range s.known {
		if now-known.lastListed > startRetention {
			delete(s.known, id)
		}
	}
}
