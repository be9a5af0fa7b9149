package fleetmodel

import (
	"fmt"
	"math"
	"slices"
	"time"

	"standpulley/logic"
)

// replica is a reader or a writer. It does first what came first.
type replica struct {
	m        *Model
	entry    logic.ServerEntry
	role     logic.Role
	up       bool
	draining bool
	started  time.Duration // 0: long ago, warm
	coldFrom float64
	warmIn   time.Duration
	queueMax int
	memory   float64 // tokens
	shut     bool    // turns everything away as full
	slow     float64 // times that it takes as long as it should; 0 = as it should
	errs     bool    // ends every second call with an error
	calls    int
	conns    int     // that it holds now
	life     int     // counts its processes: connections to an earlier one are gone
	owed     float64 // seconds of work that handshakes cost it, not yet spent

	// A reader's.
	rate    float64 // tokens a second
	waiting []*call
	working []*call // read together
	probes  []*probe
	kept    map[textKey]*keep
	keptSum float64

	// A writer's.
	slots   int
	running []*call
	used    float64 // tokens held by running answers
	at      time.Duration
	change  uint64 // numbers what is scheduled: only the latest counts

	sends []time.Duration // while it is cold
}

// textKey names a text that a reader may have kept.
type textKey struct {
	shared bool
	key    uint64
}

type keep struct {
	tokens float64 // of the whole text
	own    float64 // of what it takes beyond a shared opening
	used   time.Duration
}

// add makes a replica. One that was there at the start of the day is warm.
func (m *Model) add(role logic.Role, zone int, cell int64, warm bool) *replica {
	kind := "reader"
	if role == logic.Writer {
		kind = "writer"
	}
	s := &replica{m: m, role: role, up: true, coldFrom: m.between(0.27, 0.45), warmIn: seconds(m.between(5.2, 14)),
		kept: map[textKey]*keep{}, entry: logic.ServerEntry{ID: fmt.Sprintf("%s-%x", kind, m.rnd.Uint32()), Kind: kind,
			Zone: zoneName(zone), Cell: cell, Weight: 1}}
	if role == logic.Reader {
		e := m.day.site().reader
		s.rate, s.queueMax, s.memory = m.between(e.slowest, e.fastest), e.queue, e.memory
	} else {
		e := m.day.site().writer
		s.slots, s.queueMax, s.memory = e.slots, e.queue, e.memory
	}
	if !warm {
		s.restart()
	}
	m.fleet = append(m.fleet, s)
	m.byID[s.entry.ID] = s
	return s
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// restart makes the replica a new process: empty and cold.
func (s *replica) restart() {
	s.up, s.draining, s.started, s.entry.Started = true, false, s.m.now, s.m.now
	s.kept, s.keptSum, s.sends = map[textKey]*keep{}, 0, nil
}

// die ends the replica's process. What it had is lost, and those who wait for it hear at once.
func (s *replica) die() {
	s.up = false
	s.life, s.conns = s.life+1, 0
	lost := append(slices.Clone(s.waiting), s.running...)
	lost = append(lost, s.working...)
	for _, p := range s.probes {
		p.end(logic.ConnectFailed)
	}
	s.waiting, s.running, s.working, s.probes, s.used = nil, nil, nil, nil, 0
	s.change++
	for _, c := range lost {
		c.end(logic.ConnectionLost, 0, false)
	}
}

// capacity is the part of its full speed that the replica has now.
func (s *replica) capacity() float64 {
	if s.slow > 0 {
		return 1 / s.slow
	}
	if s.started == 0 {
		return 1
	}
	x := min(float64(s.m.now-s.started)/float64(s.warmIn), 1)
	return s.coldFrom + (1-s.coldFrom)*x
}

// take is what a replica does with a call that has come.
func (s *replica) take(c *call) {
	s.pressure()
	s.calls++
	switch {
	case !s.up:
		c.end(logic.ConnectFailed, 0, false)
	case s.draining:
		c.end(logic.Full, 0, false)
	case s.role == logic.Writer && !c.q.held():
		c.end(logic.Full, 0, true)
	case s.errs && s.calls%2 == 0:
		c.end(logic.ServerError, 0, false)
	case s.shut || len(s.waiting) >= s.queueMax:
		s.m.report.Full++
		c.end(logic.Full, 0, false)
	default:
		s.waiting = append(s.waiting, c)
		s.next()
	}
}

// pressure notes how much of what it may be sent a cold replica has been sent in the window of the rule.
func (s *replica) pressure() {
	m := s.m
	if s.started == 0 || m.now-s.started > s.warmIn {
		return
	}
	s.sends = append(s.sends, m.now)
	n := 0
	for _, at := range s.sends {
		if at > m.now-m.set.FallTime {
			n++
		}
	}
	each, full := float64(m.day.Readers), readerLoad
	if s.role == logic.Writer {
		each, full = float64(m.day.Writers), writerLoad
	}
	allowed := m.set.FallMultiple * s.capacity() * m.day.Rate / each / full * m.set.FallTime.Seconds()
	m.report.Pressure = max(m.report.Pressure, float64(n)/allowed)
	m.report.Fall = max(m.report.Fall, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
}

// probe is a question that is out to a reader. It waits its turn behind what was there before it.
type probe struct {
	behind *call
	over   bool
	then   func(logic.Outcome)
}

// probeTime is how long a replica lets a probe wait.
const probeTime = 250 * time.Millisecond

func (p *probe) end(out logic.Outcome) {
	if !p.over {
		p.over = true
		p.then(out)
	}
}

// ask takes a probe.
func (s *replica) ask(p *probe) {
	busy := append(slices.Clone(s.working), s.waiting...)
	switch {
	case !s.up:
		p.end(logic.ConnectFailed)
	case s.draining:
		p.end(logic.Full)
	case len(busy) == 0:
		p.end(logic.Delivered)
	default:
		p.behind = busy[len(busy)-1]
		s.probes = append(s.probes, p)
		s.m.after(probeTime, func() { p.end(logic.Full) })
	}
}

// answerProbes answers those that stood behind what has been read.
func (s *replica) answerProbes(read []*call) {
	s.probes = slices.DeleteFunc(s.probes, func(p *probe) bool {
		turn := slices.Contains(read, p.behind) || !slices.Contains(s.waiting, p.behind) && !slices.Contains(s.working, p.behind)
		if turn {
			p.end(logic.Delivered)
		}
		return turn || p.over
	})
}

// drop takes out a call that is given up: one that waits, or runs at a writer. A read that runs goes on.
func (s *replica) drop(c *call) {
	s.waiting = slices.DeleteFunc(s.waiting, func(x *call) bool { return x == c })
	if i := slices.Index(s.running, c); i >= 0 {
		s.advance()
		s.leave(i)
		s.next()
	}
}

// next begins what can begin.
func (s *replica) next() {
	if s.role == logic.Writer {
		s.write()
	} else if len(s.working) == 0 && len(s.waiting) > 0 {
		s.read()
	}
}

// ---- reading ----

// read begins with what has waited the longest, and with what fits beside it into a batch.
func (s *replica) read() {
	engine := s.m.day.site().reader
	took, tokens := s.owed+engine.overhead, 0.0
	s.owed = 0
	var batch []*call
	var found []float64
	for len(s.waiting) > 0 {
		c := s.waiting[0]
		kept := s.find(c.q)
		anew := c.q.prompt - kept
		if len(batch) > 0 && tokens+anew > engine.batch {
			break
		}
		s.waiting = s.waiting[1:]
		batch, found, tokens = append(batch, c), append(found, kept), tokens+anew
		took += (anew/s.rate + engine.pairs*anew*(c.q.prompt+kept)/2e6) / s.capacity()
		s.m.report.read(anew, c.q.prompt)
	}
	s.working = batch
	life := s.life
	s.m.after(seconds(took), func() {
		if s.life != life {
			return // it has died since
		}
		s.working = nil
		s.answerProbes(batch)
		for i, c := range batch {
			s.remember(c.q)
			if c.over {
				s.m.report.Wasted++
			} else {
				c.q.at = s
				c.end(logic.ReadDone, int64(found[i]), false)
			}
		}
		s.next()
	})
}

func keysOf(q *ask) [2]textKey { return [2]textKey{{false, q.session}, {true, q.shared}} }

// find is how much of a prompt is kept.
func (s *replica) find(q *ask) (most float64) {
	for _, k := range keysOf(q) {
		if t := s.kept[k]; t != nil {
			t.used = s.m.now
			most = max(most, t.tokens)
		}
	}
	return min(most, q.prompt-1)
}

// remember keeps a prompt and its shared opening, and forgets what was used the longest ago.
func (s *replica) remember(q *ask) {
	s.put(textKey{false, q.session}, q.prompt, q.prompt-q.opening)
	if q.shared != 0 {
		s.put(textKey{true, q.shared}, q.opening, q.opening)
	}
	for s.keptSum > s.memory*0.8 {
		var oldest textKey
		at := time.Duration(math.MaxInt64)
		for k, t := range s.kept {
			if t.used < at || t.used == at && k.key < oldest.key {
				oldest, at = k, t.used
			}
		}
		s.keptSum -= s.kept[oldest].own
		delete(s.kept, oldest)
	}
}

func (s *replica) put(k textKey, tokens, own float64) {
	if old := s.kept[k]; old != nil {
		s.keptSum -= old.own
	}
	s.kept[k] = &keep{tokens, own, s.m.now}
	s.keptSum += own
}

// ---- writing ----

// step is the seconds that a token takes each answer that runs.
func (s *replica) step() float64 {
	e := s.m.day.site().writer
	return (e.step + e.perAnswer*float64(len(s.running)) + e.perKToken*s.used/1000) / s.capacity()
}

// advance books what the running answers have got since the last change.
func (s *replica) advance() {
	if n := (s.m.now - s.at).Seconds() / s.step(); len(s.running) > 0 {
		for _, c := range s.running {
			c.left -= n
		}
	}
	s.at = s.m.now
}

func (s *replica) leave(i int) {
	s.used -= s.running[i].q.prompt + s.running[i].q.answer
	s.running = slices.Delete(s.running, i, i+1)
}

// write begins what waits, as far as there is room, and has the next answer end in time.
func (s *replica) write() {
	s.advance()
	for len(s.waiting) > 0 && len(s.running) < s.slots && s.used+s.waiting[0].q.prompt+s.waiting[0].q.answer <= s.memory {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		c.left = c.q.answer
		s.running = append(s.running, c)
		s.used += c.q.prompt + c.q.answer
		fetch := c.q.prompt / 280000
		if c.q.at.entry.Zone != s.entry.Zone {
			fetch *= 2
		}
		c.q.at = nil
		s.m.after(seconds(fetch+s.step()), func() { c.begin() })
	}
	s.change++
	mine, least := s.change, math.Inf(1)
	for _, c := range s.running {
		least = min(least, c.left)
	}
	if len(s.running) == 0 {
		return
	}
	s.m.after(seconds(max(least, 0)*s.step())+time.Microsecond, func() {
		if s.change != mine {
			return
		}
		s.advance()
		var done []*call
		for i := len(s.running) - 1; i >= 0; i-- {
			if s.running[i].left <= 1e-3 {
				done = append(done, s.running[i])
				s.leave(i)
			}
		}
		s.write()
		for _, c := range done {
			c.end(logic.Delivered, 0, false)
		}
	})
}
