package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

// Scenario describes one run. It is generated from a seed.
type Scenario struct {
	Seed        uint64
	Dispatchers int
	Readers     int
	Writers     int
	Rate        float64 // requests per second at each dispatcher
	Sockets     int     // socket limit of each dispatcher
	Classes     []class
	Length      time.Duration
	Faults      []fault // in order of their start
	// Reconfigurations are in order of their start.
	Reconfigurations []reconfiguration
	Shutdown         shutdownPlan
	BadClients       []badClients // in order of their start
	MemoryMB         int          // memory limit of each dispatcher; 0: usualMemoryMB
	SpoiltShare      float64      // share of the answers that deviate from the usual form
}

const usualMemoryMB = 128

func (s Scenario) memoryMB() int { return cmp.Or(s.MemoryMB, usualMemoryMB) }

// shutdownPlan says how all dispatchers are stopped when Length is over, while clients keep sending
// requests on their open connections.
type shutdownPlan struct {
	SignalSeries int           // index for signalSeries
	Pause        time.Duration // between the signals
	IdleClients  bool          // idle clients fill the dispatchers' descriptors meanwhile
}

// fault is one fault to inject.
type fault struct {
	At       time.Duration // since the start of the run
	Kind     faultKind
	Target   int // selects a dispatcher or a replica, depending on Kind
	Duration time.Duration
	Size     float64 // from 0 to 1; its meaning depends on Kind
}

func (f fault) String() string {
	return fmt.Sprintf("%.3f %s %d for %.3f, %.2f", f.At.Seconds(), f.Kind, f.Target, f.Duration.Seconds(), f.Size)
}

// faultKind names a kind of fault.
type faultKind string

// The kinds of faults. A link fault affects the connections of all dispatchers to one replica.
const (
	linkBlackhole       faultKind = "open connections fall silent"
	linkPartition       faultKind = "cut off"
	linkPending         faultKind = "new connections do not come up"
	linkReset           faultKind = "connections are reset"
	roleBlackhole       faultKind = "open connections to most replicas of a role fall silent"
	pauseReplica        faultKind = "stopped"
	restartReplica      faultKind = "killed and started again"
	badAnswers          faultKind = "answers badly"
	terminateDispatcher faultKind = "SIGTERM, with signals in series"
	killDispatcher      faultKind = "SIGKILL"
	pauseDispatcher     faultKind = "held up"
	reloadSettings      faultKind = "SIGHUP in a row"
	muteDiscovery       faultKind = "discovery is silent"
	overloadDiscovery   faultKind = "discovery turns calls away"
	drainReplica        faultKind = "drains"
	idleClients         faultKind = "crowd of idle clients"
	partialRequests     faultKind = "clients stop in the middle of a request"
)

var faultKinds = []faultKind{linkBlackhole, linkBlackhole, linkBlackhole, linkPartition, linkPartition, linkPending, linkReset, roleBlackhole, roleBlackhole, pauseReplica, pauseReplica, restartReplica,
	badAnswers, badAnswers, terminateDispatcher, terminateDispatcher, terminateDispatcher, killDispatcher, pauseDispatcher, reloadSettings, muteDiscovery, overloadDiscovery, drainReplica, idleClients, partialRequests}

// Generate returns the scenario of a seed. Size scales the number of processes; 1 gives from 10 to
// 40.
func Generate(seed uint64, size float64, length time.Duration) Scenario {
	draw := rand.New(rand.NewPCG(seed, 0x5eed))
	between := func(least, most int) int { return least + draw.IntN(most-least+1) }
	scaled := func(n int) int { return max(int(size*float64(n)+0.5), 1) }
	s := Scenario{Seed: seed, Dispatchers: scaled(between(2, 8)), Readers: scaled(between(4, 16)), Writers: max(scaled(between(4, 16)), 2),
		Rate: float64(between(10, 50)), Sockets: []int{200, 400, 1024}[draw.IntN(3)], Length: length}
	deadlines := []time.Duration{800 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second}
	for _, c := range [][2]string{{"enquiry", "idempotent"}, {"instruction", "at_most_once"}, {"change", "deduplicated"}} {
		s.Classes = append(s.Classes, class{c[0], c[1], deadlines[draw.IntN(len(deadlines))]})
	}
	const margin = 1500 * time.Millisecond // no fault starts this close to the start or the end of the traffic
	at := margin
	for at < length-margin {
		f := fault{At: at, Kind: faultKinds[draw.IntN(len(faultKinds))], Target: draw.IntN(1 << 16), Size: draw.Float64(),
			Duration: time.Duration((0.2 + 2.8*draw.Float64()) * float64(time.Second))}
		s.Faults = append(s.Faults, f)
		at += time.Duration(draw.Float64() * float64(800*time.Millisecond)) // shorter than most durations, so faults overlap
	}
	s.Shutdown = shutdownPlan{SignalSeries: draw.IntN(1 << 16), Pause: time.Duration(draw.Float64() * float64(signalPauseMax)), IdleClients: draw.Float64() < idleClientsShare}
	s.Reconfigurations = reconfigurations(seed, length)
	return s
}

// idleClientsShare is the share of the runs in which idle clients occupy the descriptors of the
// dispatchers while these shut down.
const idleClientsShare = 0.25

// longestDeadline returns the longest deadline of all classes.
func (s Scenario) longestDeadline() (d time.Duration) {
	for _, c := range s.Classes {
		d = max(d, c.Deadline)
	}
	return d
}
