package membership

import "time"

// Census is the recorded set of dispatchers that are alive. Number grows with each change.
type Census struct {
	Number uint64          `json:"number"`
	Names  map[string]bool `json:"names"`
}

// Share returns the part of each fleet-wide budget (cold replicas, limits, repeats) that one
// dispatcher may use: one divided by the number of living dispatchers that it knows of.
//
// The shares never add up to more than the fleet's budget, also during a change, as long as no
// dispatcher uses a count that is too small. A smaller count therefore takes effect at once: the
// leader removes a dispatcher from the census only after its lease has ended. A larger count takes
// effect at once for the dispatchers that were counted before. A new dispatcher may use nothing
// until the time within has passed since it learned that it is counted (since): by then each other
// dispatcher has received the larger count or has lost its lease.
func Share(living int, counted bool, since, now, within time.Duration) float64 {
	if !counted || living == 0 || now < since+within {
		return 0
	}
	return 1 / float64(living)
}
