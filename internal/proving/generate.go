package proving

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// GeneratorOptions says what kind of scripts Generate makes.
type GeneratorOptions struct {
	Voters, Others  int
	Within          time.Duration
	Lists           bool   // the registry changes and has faults of its own
	Ledger          string // as Script.Ledger: clients repeat instructions, and power is lost
	OrderedRecovery bool   // all dispatchers lose power together and restart in any order, in stages
}

// Generate makes a script from a seed: some faults, each undone after a while, with proposals in
// between.
func Generate(seed uint64, options GeneratorOptions) Script {
	voters, others, within := options.Voters, options.Others, options.Within
	r := rand.New(rand.NewPCG(seed, 20))
	s := Script{Name: fmt.Sprintf("seed-%d", seed), Seed: seed, Voters: voters, Others: others, Within: within.String(), Rate: 8,
		Alone: "stop"}
	if seed%4 == 0 {
		s.Alone = "safe"
	}
	last := 6 * within
	at := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	add := func(d time.Duration, st Step) {
		st.At = at(d)
		s.Steps = append(s.Steps, st)
	}
	anyDispatcher := func() string {
		switch n := r.IntN(10); {
		case n < 2:
			return "leader"
		case n < 7 || others == 0:
			return fmt.Sprintf("v%d", 1+r.IntN(voters))
		}
		return fmt.Sprintf("o%d", 1+r.IntN(others))
	}
	span := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*r.Float64()) * float64(within))
	}
	for range 2 + r.IntN(3) {
		d, long := span(0.1, 4), span(0.3, 3)
		who := anyDispatcher()
		switch r.IntN(8) {
		case 0:
			add(d, Step{Do: doCut, Who: who, To: "*"})
			add(d, Step{Do: doCut, Who: "*", To: who})
			add(d+long, Step{Do: doMend, Who: "*", To: "*"})
		case 1: // it receives but can't send
			add(d, Step{Do: doCut, Who: who, To: "*"})
			add(d+long, Step{Do: doMend, Who: "*", To: "*"})
		case 2:
			add(d, Step{Do: doDelay, Who: "*", To: "*", Delay: at(span(0.02, 0.25))})
			add(d+long, Step{Do: doMend, Who: "*", To: "*"})
		case 3:
			who = fmt.Sprintf("%c%d", who[0], 1+r.IntN(max(min(voters, others), 1)))
			if who[0] == 'l' {
				who = "v" + who[1:]
			}
			add(d, Step{Do: doStop, Who: who})
			add(d+long, Step{Do: doCont, Who: who})
		case 4:
			who = fmt.Sprintf("v%d", 1+r.IntN(voters))
			add(d, Step{Do: doKill, Who: who})
			add(d+long, Step{Do: doStart, Who: who})
		case 5: // a majority of the voters
			for v := range voters/2 + 1 {
				add(d, Step{Do: doKill, Who: fmt.Sprintf("v%d", v+1)})
				add(d+long, Step{Do: doStart, Who: fmt.Sprintf("v%d", v+1)})
			}
		case 6:
			add(d, Step{Do: doReset, Who: who, To: "*"})
			add(d+long, Step{Do: doMend, Who: "*", To: "*"})
		case 7: // one direction of a member's links is slow and the other is not
			add(d, Step{Do: doDelay, Who: "*", To: who, Delay: at(span(0.1, 0.6))})
			add(d+long, Step{Do: doMend, Who: "*", To: "*"})
		}
	}
	if len(s.Steps)%3 == 0 && others > 0 {
		s.NeedClass = []string{"o1"}
	}
	for range 3 + r.IntN(4) {
		st := Step{Do: doPropose, Who: anyDispatcher(), Key: "limits.try_limit", Value: fmt.Sprint(1 + r.IntN(6)), WantError: "?"}
		if len(s.NeedClass) > 0 && r.IntN(3) == 0 {
			// o1 turns it down, or it comes into force while o1 has no lease
			st.Key, st.Value = "services.1.name", `"transfer"`
			st.Who = fmt.Sprintf("v%d", 1+r.IntN(voters))
		}
		if r.IntN(6) == 0 {
			st = Step{Do: doRollback, Who: st.Who, Base: 1, WantError: "?"}
		}
		add(span(0.1, 5), st)
	}
	if options.Lists {
		s.Lists, s.OnRequest = true, seed%2 == 1
		s.addRegistryChanges(r, anyDispatcher, span, add)
	}
	if options.OrderedRecovery {
		s.Lists, s.OrderedRecovery = true, true
	}
	if options.Ledger != "" && options.OrderedRecovery {
		s.Ledger, s.PowerLoss, s.Rate = options.Ledger, true, 12
		last = s.addPowerRecovery(r, add)
	} else if options.Ledger != "" {
		s.Ledger, s.PowerLoss, s.Rate = options.Ledger, options.Ledger != "process", 24
		s.addLedgerFaults(r, span, add)
	}
	sort.SliceStable(s.Steps, func(i, j int) bool { return duration(s.Steps[i].At) < duration(s.Steps[j].At) })
	s.Last = last.String()
	return s
}

// addPowerRecovery adds a power loss of all dispatchers or of one site. Before it, the dispatchers
// serve long enough to learn the capacity of the replicas. Everything restarts in any order, with
// one more fault. The result is the length of the trial.
func (s *Script) addPowerRecovery(r *rand.Rand, add func(time.Duration, Step)) time.Duration {
	sec := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*r.Float64()) * float64(time.Second))
	}
	var all []string
	for v := range s.Voters {
		all = append(all, fmt.Sprintf("v%d", v+1))
	}
	for o := range s.Others {
		all = append(all, fmt.Sprintf("o%d", o+1))
	}
	lost := all
	if r.IntN(4) == 0 { // one site, with a minority of the voters
		lost = []string{"v1", "o1"}
	}
	d := sec(6, 7)
	kill := func(at time.Duration, maxDown float64) {
		for _, who := range lost {
			add(at, Step{Do: doKill, Who: who})
			add(at+sec(0.1, maxDown), Step{Do: doStart, Who: who})
		}
	}
	kill(d, 2.5)
	if len(lost) == len(all) {
		add(d+sec(0, 2), Step{Do: doRegistry, Who: "*", Value: "restart"})
	}
	if r.IntN(3) == 0 { // the registry answers last
		add(d, Step{Do: doRegistry, Who: "*", Value: "mute"})
		add(d+sec(1, 5), Step{Do: doRegistry, Who: "*", Value: "unmute"})
	}
	if r.IntN(3) == 0 { // power is lost again
		kill(d+sec(2.6, 5), 1)
	}
	switch from := d + sec(0.5, 4); r.IntN(5) {
	case 0:
		add(d+50*time.Millisecond, Step{Do: doLoseDisk, Who: "o2"})
	case 1:
		for _, who := range []string{"v1", "o1", "o2"} {
			for _, to := range all[1:s.Voters] {
				add(from, Step{Do: doCut, Who: who, To: to})
				add(from, Step{Do: doCut, Who: to, To: who})
			}
		}
		add(from+sec(0.5, 3), Step{Do: doMend, Who: "*", To: "*"})
	case 2:
		add(from, Step{Do: doDelay, Who: "*", To: "v2", Delay: "300ms"})
		add(from+sec(0.5, 3), Step{Do: doMend, Who: "*", To: "*"})
	case 3:
		add(d+sec(3, 6), Step{Do: doTerm, Who: "o1"})
		add(d+sec(7, 8), Step{Do: doStart, Who: "o1"})
	case 4:
		add(d, Step{Do: doSurge, Who: "*", Rate: 4})
		add(d+sec(4, 7), Step{Do: doSurge, Who: "*", Rate: 1})
	}
	return d + 11*time.Second
}

// addLedgerFaults adds power losses of all or of single dispatchers, a stall of a disk, and at most
// one ledger that is lost or replaced by an older copy: the guarantees don't cover more than one
// such ledger at once.
func (s *Script) addLedgerFaults(r *rand.Rand, span func(from, to float64) time.Duration, add func(time.Duration, Step)) {
	voter := func() string { return fmt.Sprintf("v%d", 1+r.IntN(s.Voters)) }
	for range 1 + r.IntN(2) {
		d, long := span(0.5, 4), span(0.1, 0.8)
		who := "*"
		if r.IntN(3) == 0 {
			who = voter()
		}
		add(d, Step{Do: doKill, Who: who})
		add(d+long, Step{Do: doStart, Who: who})
	}
	if r.IntN(2) == 0 {
		d, who := span(0.3, 4), voter()
		add(d, Step{Do: doLedgerDisk, Who: who, Value: "stall"})
		add(d+span(0.2, 2), Step{Do: doLedgerDisk, Who: who, Value: "well"})
	}
	who := voter()
	switch d := span(1.5, 4); r.IntN(4) {
	case 0:
		add(d, Step{Do: doLoseLedger, Who: who})
		add(d+span(0.1, 0.5), Step{Do: doStart, Who: who})
	case 1:
		add(span(0.3, 1), Step{Do: doCopyLedger, Who: who})
		add(d, Step{Do: doRestoreLedger, Who: who})
		add(d+span(0.1, 0.5), Step{Do: doStart, Who: who})
	}
}

// addRegistryChanges adds changes by the registry: drains, removals and new replicas, reported to
// all dispatchers or to only one, and agents that stop answering. Two writers and one reader stay
// in service throughout.
func (s *Script) addRegistryChanges(r *rand.Rand, anyDispatcher func() string, span func(from, to float64) time.Duration, add func(time.Duration, Step)) {
	who := func() string {
		if r.IntN(3) == 0 {
			return anyDispatcher()
		}
		return "*"
	}
	for _, replica := range []string{"writer-4", "reader-1"} {
		d := span(0.2, 2.5)
		if r.IntN(3) == 0 {
			add(d, Step{Do: doRegistry, Who: who(), Key: replica, Value: "gone"})
			continue
		}
		add(d, Step{Do: doRegistry, Who: who(), Key: replica, Value: "terminating"})
		if r.IntN(2) == 0 {
			add(d+span(1.2, 2.5), Step{Do: doRegistry, Who: "*", Key: replica, Value: "in_service"})
		}
	}
	for range r.IntN(3) {
		add(span(0.2, 4), Step{Do: doRegistry, Who: who(), Value: "new"})
	}
	if r.IntN(2) == 0 {
		d := span(0.2, 3)
		add(d, Step{Do: doRegistry, Who: "reader", Value: "mute"})
		add(d+span(0.5, 2), Step{Do: doRegistry, Who: "*", Value: "unmute"})
	}
	if r.IntN(3) == 0 {
		add(span(0.5, 4), Step{Do: doRegistry, Who: "*", Value: "back:1"})
	}
}
