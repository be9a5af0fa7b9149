package proving

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Cold is a replica that started while a trial ran.
type Cold struct {
	Replica string
	Kind    string
	At      time.Duration // of its start
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
	Part    float64
	Replica string
	Age     time.Duration // since its start
}

func (c ColdLoad) String() string {
	if c.Replica == "" {
		return "none"
	}
	return fmt.Sprintf("%.2f (%s, %v old)", c.Part, c.Replica, c.Age.Round(100*time.Millisecond))
}

// coldLeast is the capacity, in sends a span, below which nothing is judged: a single send could be too many.
const coldLeast = 10

// judgeCold finds spans in which a cold replica was sent too much, by the sum of all dispatchers. Replicas here have no capacity of
// their own; what others of their kind bore counts as it: the mean of warm ones in the same span, or of all in the best span before
// the start, whichever is more. The rule itself has a little slack for chance: here two deviations of as many sends. It gives the
// most that was sent.
func (r *Record) judgeCold(find func(rule, form string, args ...any)) (most ColdLoad) {
	at := r.sends()
	born := map[string]Cold{}
	for _, c := range r.Cold {
		born[c.Replica] = c
	}
	for where, c := range born {
		before := borneBefore(at, c)
		for _, t := range at[where] {
			if t < c.At || t+fallTime > c.At+rampTime {
				continue // warm before the span ends, or another life
			}
			whole := max(borneBeside(at, born, c.Kind, t), before)
			if whole < coldLeast {
				continue
			}
			age := float64(t+fallTime/2-c.At) / float64(rampTime)
			allowed := fallMultiple * whole * min(coldFrom+(1-coldFrom)*age, 1)
			allowed += 2 * math.Sqrt(allowed)
			sent := span(at[where], t)
			if part := float64(sent) / allowed; part > most.Part {
				most = ColdLoad{part, where, t - c.At}
			}
			if float64(sent) > allowed {
				find("cold", "%s was sent %d from %v after its start on, allowed within %v is %.0f", where, sent, t-c.At, fallTime, allowed)
				break
			}
		}
	}
	return most
}

// sends gives the times of sends by replica, in order.
func (r *Record) sends() map[string][]time.Duration {
	at := map[string][]time.Duration{}
	for _, a := range r.Acts {
		if a.Where != "" {
			at[a.Where] = append(at[a.Where], a.To)
		}
	}
	for _, times := range at {
		slices.Sort(times)
	}
	return at
}

// borneBeside gives what a warm replica of a kind took in a span that begins at a time, on average.
func borneBeside(at map[string][]time.Duration, born map[string]Cold, kind string, from time.Duration) float64 {
	sum, warm := 0, 0
	for where, times := range at {
		if _, cold := born[where]; cold || kindOf(where) != kind {
			continue
		}
		if n := span(times, from); n > 0 {
			sum, warm = sum+n, warm+1
		}
	}
	return float64(sum) / float64(max(warm, 1))
}

// borneBefore gives what a replica of a cold one's kind took in the best span before its start, on average.
func borneBefore(at map[string][]time.Duration, c Cold) (most float64) {
	var kind [][]time.Duration
	for where, times := range at {
		if kindOf(where) == c.Kind && times[0] < c.At {
			kind = append(kind, times)
		}
	}
	for from := c.At - fallTime; from > 0 && len(kind) > 0; from -= fallTime / 4 {
		sum := 0
		for _, times := range kind {
			sum += span(times, from)
		}
		most = max(most, float64(sum)/float64(len(kind)))
	}
	return most
}

// span counts the times that fall into a span.
func span(sorted []time.Duration, from time.Duration) int {
	begin, _ := slices.BinarySearch(sorted, from)
	end, _ := slices.BinarySearch(sorted, from+fallTime)
	return end - begin
}
