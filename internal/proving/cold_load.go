package proving

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// ColdReplica is a replica that started during a trial.
type ColdReplica struct {
	Replica   string
	Kind      string
	StartedAt time.Duration
}

// The slow-start rule, as version 1 of a trial's settings states it. Within any span of fallTime,
// all dispatchers together send a replica less than fallMultiple times its capacity at that time.
// The capacity rises from coldFrom of the full capacity at the start to all of it after rampTime.
const (
	coldFrom     = 0.2
	fallMultiple = 1.5
	fallTime     = 1500 * time.Millisecond
	rampTime     = 6 * time.Second
)

// ColdLoad is the highest load that a cold replica got in a span: its ratio to what the rule
// allows, and when it occurred.
type ColdLoad struct {
	Ratio   float64
	Replica string
	Age     time.Duration // time since the replica started
}

func (c ColdLoad) String() string {
	if c.Replica == "" {
		return "none"
	}
	return fmt.Sprintf("%.2f (%s, %v old)", c.Ratio, c.Replica, c.Age.Round(100*time.Millisecond))
}

// minColdCapacity is the capacity, in attempts per span, below which no load is judged: a single
// attempt could exceed the limit.
const minColdCapacity = 10

// checkColdLoad reports spans in which all dispatchers together sent a cold replica more than the
// slow-start rule allows, and returns the highest load that it found. Replicas in a trial have no
// set capacity, so the load of others of their kind is taken for it: the mean of the warm ones in
// the same span, or the mean of all in the busiest span before the start, whichever is higher. The
// rule allows for random variation: here by two standard deviations of the allowed number of
// attempts.
func (r *Record) checkColdLoad(report func(rule, format string, args ...any)) (most ColdLoad) {
	sends := r.sendTimes()
	coldReplicas := map[string]ColdReplica{}
	for _, c := range r.ColdReplicas {
		coldReplicas[c.Replica] = c
	}
	for replica, c := range coldReplicas {
		before := peakLoadBefore(sends, c)
		for _, t := range sends[replica] {
			if t < c.StartedAt || t+fallTime > c.StartedAt+rampTime {
				continue // sent before this start, or the replica is warm before the span ends
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
				report("cold", "%s was sent %d attempts in the span that begins %v after its start; the limit for %v is %.0f", replica, sent, t-c.StartedAt, fallTime, allowed)
				break
			}
		}
	}
	return most
}

// sendTimes returns the arrival times of attempts by replica, in order.
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

// meanWarmLoad returns the mean number of attempts that the warm replicas of a kind got in the span
// that begins at from. Replicas that got none are left out.
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

// peakLoadBefore returns the mean number of attempts for each replica of the same kind in the
// busiest span before the cold replica's start.
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

// countInSpan counts the times within the span that begins at from.
func countInSpan(sorted []time.Duration, from time.Duration) int {
	begin, _ := slices.BinarySearch(sorted, from)
	end, _ := slices.BinarySearch(sorted, from+fallTime)
	return end - begin
}
