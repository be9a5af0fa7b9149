package dispatch

import (
	"fmt"
	"log"
	"sync"
	"time"

	"standpulley/logic"
)

// Counts counts submitted, sent and answered requests. It may be read from any goroutine.
type Counts struct {
	mu     sync.Mutex
	totals Totals
	recent []LogEntry // ring of the last final answers and attempts
	next   int

	classes map[string]*ClassResults
	open    int // requests that are unanswered or whose stream runs
	written int // attempts whose last byte was written
	causes  map[Event]map[Cause]int
}

// ClassResults are the requests of a class by result. A stream counts as served only after its last
// chunk.
type ClassResults struct{ Served, Refused, Failed int }

// Metrics are the figures for operators. Counters run since the start of the program.
type Metrics struct {
	Classes         map[string]ClassResults
	Open, Written   int
	Listed, Ejected int // replicas in the list, and how many of them are ejected now
	Held            int // requests for which a reader holds state, or may hold it
	Causes          map[Event]map[Cause]int
	Delays          DelayMetrics
	Delayed         int // messages and timers that waited for lagThreshold or longer
	Queued          int // messages that wait for the core now
}

// countResult counts a result of a request of a class.
func (c *Counts) countResult(class string, v Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = map[string]*ClassResults{}
	}
	r := c.classes[class]
	if r == nil {
		r = &ClassResults{}
		c.classes[class] = r
	}
	switch v {
	case Served:
		r.Served++
	case Refused:
		r.Refused++
	case Failed:
		r.Failed++
	}
}

func (c *Counts) addOpen(delta int) {
	c.mu.Lock()
	c.open += delta
	c.mu.Unlock()
}

// Totals are the sums since the start.
type Totals struct {
	Taken    int            `json:"taken"`
	Verdicts map[string]int `json:"verdicts"`
	Attempts int            `json:"attempts"`
	Outcomes map[string]int `json:"outcomes"`
	Releases int            `json:"releases"`
}

// LogEntry describes one final answer or attempt to operators.
type LogEntry struct {
	At     time.Time `json:"at"`
	ID     string    `json:"id"`
	Class  string    `json:"class"`
	Server string    `json:"server,omitempty"`
	What   string    `json:"what"`
	Took   string    `json:"took"`
	Detail string    `json:"detail,omitempty"`
}

const maxRecent = 200

func (c *Counts) update(f func(t *Totals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.totals.Verdicts == nil {
		c.totals.Verdicts, c.totals.Outcomes = map[string]int{}, map[string]int{}
	}
	f(&c.totals)
}

func (c *Counts) countTaken(*request) { c.update(func(t *Totals) { t.Taken++ }) }

// countSent counts and logs an attempt that is sent. The ring of recent entries gets its entry only
// when the attempt ends.
func (c *Counts) countSent(at *attempt) {
	c.update(func(t *Totals) { t.Attempts++ })
	log.Printf("%s attempt %d sent to %s", at.request.id, at.number, at.server)
}

func (c *Counts) countEnded(o logic.Outcome) { c.update(func(t *Totals) { t.Outcomes[o.String()]++ }) }
func (c *Counts) recordAnswer(r *request, a Answer) {
	c.update(func(t *Totals) { t.Verdicts[a.Verdict.String()]++ })
	if r.class != nil && a.Verdict != Served { // a served stream is counted at its end
		c.countResult(r.class.Name, a.Verdict)
	}
	detail := a.Reason
	if a.Verdict != Served {
		detail = fmt.Sprintf("%s; %d sent, %d out, client gone %v", a.Reason, r.sent, len(r.inFlight), r.clientGone.Load())
	}
	c.add(LogEntry{ID: r.id, Class: r.spec.Class, What: a.Verdict.String(), Took: elapsedSince(r.received), Detail: detail})
}

func (c *Counts) recordAttempt(r *request, at *attempt, out logic.Outcome, detail string) {
	c.add(LogEntry{ID: r.id, Class: r.spec.Class, Server: at.server, What: out.String(), Took: elapsedSince(at.sentAt), Detail: fmt.Sprintf("attempt %d %s", at.number, detail)})
}

func elapsedSince(since time.Time) string {
	return time.Since(since).Round(100 * time.Microsecond).String()
}

func (c *Counts) add(l LogEntry) {
	l.At = time.Now()
	log.Printf("%s %s %s %s %s %s", l.ID, l.Class, l.What, l.Took, l.Server, l.Detail)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recent) < maxRecent {
		c.recent = append(c.recent, l)
	} else {
		c.recent[c.next] = l
	}
	c.next = (c.next + 1) % maxRecent
}

// Snapshot returns the totals and the last entries, oldest first.
func (c *Counts) Snapshot() (Totals, []LogEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.totals
	t.Verdicts, t.Outcomes = copyOf(t.Verdicts), copyOf(t.Outcomes)
	var entries []LogEntry
	if len(c.recent) == maxRecent {
		entries = append(entries, c.recent[c.next:]...)
	}
	return t, append(entries, c.recent[:min(c.next, len(c.recent))]...)
}

func copyOf(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
