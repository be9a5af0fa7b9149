package proving

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Cold is a replica that started while a trial ran.
type ColdReplica struct {
	Replica   string
	Kind      string
	StartedAt time.Duration // of its start
}

// The rule on cold replicas, as version 1 of a trial's settings states it. Within any span of fallTime, all dispatchers together
// send a replica less than fallMultiple times what it can do then: at first coldFrom of its capacity, all of it after rampTime.
const (
	coldFrom     = 0.2
	fallMultiple = 1.5
	fallTime     = 1500 * time.Millisecond
	rampTime     = 6 * time.Second
)

// Coldest is the most that a cold replica was sent in a span, of what the rule allows, and when.
type ColdLoad struct {
	Ratio   float64
	Replica string
	Age     time.Duration // since its start
}

func (c ColdLoad) String() string {
	if c.Replica == "" {
		return "none"
	}
	return fmt.Sprintf("%.2f (%s, %v old)", c.Ratio, c.Replica, c.Age.Round(100*time.Millisecond))
}

// coldLeast is the capacity, in sends a span, below which nothing is judged: a single send could be too many.
const minColdCapacity = 10

// judgeCold finds spans in which a cold replica was sent too much, by the sum of all dispatchers. Replicas here have no capacity of
// their own; what others of their kind bore counts as it: the mean of warm ones in the same span, or of all in the best span before
// the start, whichever is more. The rule itself has a little slack for chance: here two deviations of as many sends. It gives the
// most that was sent.
func (r *Record) checkColdLoad(report func(rule, form string, args ...any)) (most ColdLoad) {
	sends := r.sendTimes()
	coldReplicas := map[string]ColdReplica{}
	for _, c := range r.ColdReplicas {
		coldReplicas[c.Replica] = c
	}
	for replica, c := range coldReplicas {
		before := peakLoadBefore(sends, c)
		for _, t := range sends[replica] {
			if t < c.StartedAt || t+fallTime > c.StartedAt+rampTime {
				continue // warm before the span ends, or another life
			}
			capacity := max(meanWarmLoad(sends, coldReplicas, c.Kind, t), before)
			if capacity < minColdCapacity {
				continue
			}
			age := float64(t+fallTime/2-c.StartedAt) / float64(rampTime)
			allowed := fallMultiple * capacity * min(coldFrom+(1-coldFrom)*age, 1)
			allowed += 2 * math.Sqrt(allowed)
			sent := countInSpan(sends[replica], t)
			if ratio := float64(sent) / allowed; ratio > most.Ratio {
				most = ColdLoad{ratio, replica, t - c.StartedAt}
			}
			if float64(sent) > allowed {
				report("cold", "%s was sent %d from %v after its start on, allowed within %v is %.0f", replica, sent, t-c.StartedAt, fallTime, allowed)
				break
			}
		}
	}
	return most
}

// sends gives the times of sends by replica, in order.
func (r *Record) sendTimes() map[string][]time.Duration {
	byReplica := map[string][]time.Duration{}
	for _, a := range r.Actions {
		if a.Replica != "" {
			byReplica[a.Replica] = append(byReplica[a.Replica], a.To)
		}
	}
	for _, times := range byReplica {
		slices.Sort(times)
	}
	return byReplica
}

// borneBeside gives what a warm replica of a kind took in a span that begins at a time, on average.
func meanWarmLoad(sends map[string][]time.Duration, coldReplicas map[string]ColdReplica, kind string, from time.Duration) float64 {
	sum, warm := 0, 0
	for replica, times := range sends {
		if _, cold := coldReplicas[replica]; cold || kindOf(replica) != kind {
			continue
		}
		if n := countInSpan(times, from); n > 0 {
			sum, warm = sum+n, warm+1
		}
	}
	return float64(sum) / float64(max(warm, 1))
}

// borneBefore gives what a replica of a cold one's kind took in the best span before its start, on average.
func peakLoadBefore(sends map[string][]time.Duration, c ColdReplica) (most float64) {
	var sameKind [][]time.Duration
	for replica, times := range sends {
		if kindOf(replica) == c.Kind && times[0] < c.StartedAt {
			sameKind = append(sameKind, times)
		}
	}
	for from := c.StartedAt - fallTime; from > 0 && len(sameKind) > 0; from -= fallTime / 4 {
		sum := 0
		for _, times := range sameKind {
			sum += countInSpan(times, from)
		}
		most = max(most, float64(sum)/float64(len(sameKind)))
	}
	return most
}

// span counts the times that fall into a span.
func countInSpan(sorted []time.Duration, from time.Duration) int {
	begin, _ := slices.BinarySearch(sorted, from)
	end, _ := slices.BinarySearch(sorted, from+fallTime)
	return end - begin
}
