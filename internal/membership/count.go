package membership

import "time"

// Census is how many dispatchers live, as the record holds it. Number grows with each change.
type Census struct {
	Number uint64          `json:"number"`
	Names  map[string]bool `json:"names"`
}

// Share is the part of each sum over the fleet (cold replicas, limits, repeats) that one dispatcher may use: one over the
// count that it goes by.
//
// The sum stays within the fleet's bound during every change if nobody goes by a count that is too small. So a count that
// shrank holds at once, as those who are gone have no lease by then (the leader counts them out only after it is over). One that
// grew holds at once for those who were counted before; who is counted in uses nothing until all others must have heard: until
// within after since, when it learned that it is counted.
func Share(living int, counted bool, since, now, within time.Duration) float64 {
	if !counted || living == 0 || now < since+within {
		return 0
	}
	return 1 / float64(living)
}
