package fleetmodel

import (
	"fmt"
	"math"
	"slices"
	"time"

	"standpulley/logic"
)

// replica is a reader or a writer. It serves attempts in the order of their arrival.
type replica struct {
	m                *Model
	entry            logic.ServerEntry
	role             logic.Role
	up               bool
	draining         bool
	started          time.Duration // 0 if it was warm at the start of the day
	coldFrom         float64       // capacity at its start, as a share of its full capacity
	warmUpTime       time.Duration // from its start until full capacity
	maxQueue         int
	memoryTokens     float64
	refuseAll        bool    // refuses all attempts as full
	slowdown         float64 // factor on its service times; 0 for normal speed
	failHalf         bool    // fails every second attempt with an error
	attemptCount     int
	conns            int     // open connections
	generation       int     // number of its process: connections to an earlier process are closed
	handshakeSeconds float64 // work for handshakes not yet done, in seconds

	// Fields of readers; writers use queued, too.
	readRate     float64 // tokens per second when warm
	queued       []*attempt
	reading      []*attempt // the batch being read
	probes       []*probe
	cache        map[cacheKey]*cacheEntry
	cachedTokens float64

	// Fields of writers.
	slots       int
	running     []*attempt
	heldTokens  float64 // tokens in memory for running answers
	advancedAt  time.Duration
	scheduleSeq uint64 // number of the last scheduled completion; earlier ones are void

	recentSends []time.Duration // arrivals of attempts while it is cold
}

// cacheKey identifies a cached prompt: the last one of a session, or a shared prefix.
type cacheKey struct {
	isPrefix bool
	key      uint64
}

// cacheEntry is a cached prompt.
type cacheEntry struct {
	tokens    float64 // of the whole prompt
	ownTokens float64 // without the tokens of a shared prefix
	usedAt    time.Duration
}

// add adds a replica to the fleet, either warm or just started and cold.
func (m *Model) add(role logic.Role, zone int, cell int64, warm bool) *replica {
	kind := "reader"
	if role == logic.Writer {
		kind = "writer"
	}
	s := &replica{m: m, role: role, up: true, coldFrom: m.uniform(0.27, 0.45), warmUpTime: seconds(m.uniform(5.2, 14)),
		cache: map[cacheKey]*cacheEntry{}, entry: logic.ServerEntry{ID: fmt.Sprintf("%s-%x", kind, m.rnd.Uint32()), Kind: kind,
			Zone: zoneName(zone), Cell: cell, Weight: 1}}
	if role == logic.Reader {
		e := m.day.site().reader
		s.readRate, s.maxQueue, s.memoryTokens = m.uniform(e.minRate, e.maxRate), e.maxQueue, e.memoryTokens
	} else {
		e := m.day.site().writer
		s.slots, s.maxQueue, s.memoryTokens = e.slots, e.maxQueue, e.memoryTokens
	}
	if !warm {
		s.restart()
	}
	m.replicas = append(m.replicas, s)
	m.byID[s.entry.ID] = s
	return s
}

// zoneName returns the name of the zone with index i.
func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// restart starts a new process of the replica, cold and with an empty cache.
func (s *replica) restart() {
	s.up, s.draining, s.started, s.entry.Started = true, false, s.m.now, s.m.now
	s.cache, s.cachedTokens, s.recentSends = map[cacheKey]*cacheEntry{}, 0, nil
}

// kill ends the replica's process. Its cache and attempts are lost, and the routers of these attempts
// and of probes get a connection failure at once.
func (s *replica) kill() {
	s.up = false
	s.generation, s.conns = s.generation+1, 0
	lost := append(slices.Clone(s.queued), s.running...)
	lost = append(lost, s.reading...)
	for _, p := range s.probes {
		p.end(logic.ConnectFailed)
	}
	s.queued, s.running, s.reading, s.probes, s.heldTokens = nil, nil, nil, nil, 0
	s.scheduleSeq++
	for _, c := range lost {
		c.reply(logic.ConnectionLost, 0, false)
	}
}

// capacity returns the replica's current speed as a share of its full speed.
func (s *replica) capacity() float64 {
	if s.slowdown > 0 {
		return 1 / s.slowdown
	}
	if s.started == 0 {
		return 1
	}
	x := min(float64(s.m.now-s.started)/float64(s.warmUpTime), 1)
	return s.coldFrom + (1-s.coldFrom)*x
}

// receive accepts or refuses an attempt that has arrived.
func (s *replica) receive(c *attempt) {
	s.recordLoad()
	s.attemptCount++
	switch {
	case !s.up:
		c.reply(logic.ConnectFailed, 0, false)
	case s.draining:
		c.reply(logic.Full, 0, false)
	case s.role == logic.Writer && !c.request.stateHeld():
		c.reply(logic.Full, 0, true)
	case s.failHalf && s.attemptCount%2 == 0:
		c.reply(logic.ServerError, 0, false)
	case s.refuseAll || len(s.queued) >= s.maxQueue:
		s.m.report.RefusedFull++
		c.reply(logic.Full, 0, false)
	default:
		s.queued = append(s.queued, c)
		s.startNext()
	}
}

// recordLoad records, for a cold replica, the attempts it has been sent within FallTime as a share of
// its budget, the number that FallMultiple allows. The margin of two standard deviations and two
// attempts allows for chance.
func (s *replica) recordLoad() {
	m := s.m
	if s.started == 0 || m.now-s.started > s.warmUpTime {
		return
	}
	s.recentSends = append(s.recentSends, m.now)
	n := 0
	for _, at := range s.recentSends {
		if at > m.now-m.settings.FallTime {
			n++
		}
	}
	count, quietLoad := float64(m.day.Readers), quietReaderLoad
	if s.role == logic.Writer {
		count, quietLoad = float64(m.day.Writers), quietWriterLoad
	}
	allowed := m.settings.FallMultiple * s.capacity() * m.day.Rate / count / quietLoad * m.settings.FallTime.Seconds()
	m.report.BudgetUse = max(m.report.BudgetUse, float64(n)/allowed)
	m.report.BudgetUseWithMargin = max(m.report.BudgetUseWithMargin, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
}

// probe is a health probe that a reader has not answered yet. It is answered after the attempts that
// arrived before it.
type probe struct {
	behind *attempt
	ended  bool
	done   func(logic.Outcome)
}

// probeTimeout is how long a replica lets a probe wait before it answers that it is full.
const probeTimeout = 250 * time.Millisecond

// end answers a probe once; later answers are ignored.
func (p *probe) end(out logic.Outcome) {
	if !p.ended {
		p.ended = true
		p.done(out)
	}
}

// receiveProbe answers a probe at once or queues it behind the attempts that are there.
func (s *replica) receiveProbe(p *probe) {
	ahead := append(slices.Clone(s.reading), s.queued...)
	switch {
	case !s.up:
		p.end(logic.ConnectFailed)
	case s.draining:
		p.end(logic.Full)
	case len(ahead) == 0:
		p.end(logic.Delivered)
	default:
		p.behind = ahead[len(ahead)-1]
		s.probes = append(s.probes, p)
		s.m.after(probeTimeout, func() { p.end(logic.Full) })
	}
}

// answerProbes answers the probes that waited for attempts of the batch just read, or for attempts that
// are gone.
func (s *replica) answerProbes(read []*attempt) {
	s.probes = slices.DeleteFunc(s.probes, func(p *probe) bool {
		due := slices.Contains(read, p.behind) || !slices.Contains(s.queued, p.behind) && !slices.Contains(s.reading, p.behind)
		if due {
			p.end(logic.Delivered)
		}
		return due || p.ended
	})
}

// remove removes an attempt that its router has given up, if it is queued or is a running write. A
// running read goes on.
func (s *replica) remove(c *attempt) {
	s.queued = slices.DeleteFunc(s.queued, func(x *attempt) bool { return x == c })
	if i := slices.Index(s.running, c); i >= 0 {
		s.advance()
		s.removeRunning(i)
		s.startNext()
	}
}

// startNext starts queued attempts that can be served now.
func (s *replica) startNext() {
	if s.role == logic.Writer {
		s.startWrites()
	} else if len(s.reading) == 0 && len(s.queued) > 0 {
		s.startBatch()
	}
}

// ---- reading ----

// startBatch starts reading the attempt that has waited longest, together with those after it that fit
// into the batch.
func (s *replica) startBatch() {
	engine := s.m.day.site().reader
	duration, tokens := s.handshakeSeconds+engine.batchOverhead, 0.0
	s.handshakeSeconds = 0
	var batch []*attempt
	var cached []float64
	for len(s.queued) > 0 {
		c := s.queued[0]
		hit := s.lookup(c.request)
		uncached := c.request.promptTokens - hit
		if len(batch) > 0 && tokens+uncached > engine.maxBatch {
			break
		}
		s.queued = s.queued[1:]
		batch, cached, tokens = append(batch, c), append(cached, hit), tokens+uncached
		duration += (uncached/s.readRate + engine.attentionCost*uncached*(c.request.promptTokens+hit)/2e6) / s.capacity()
		s.m.report.addRead(uncached, c.request.promptTokens)
	}
	s.reading = batch
	generation := s.generation
	s.m.after(seconds(duration), func() {
		if s.generation != generation {
			return // the process has been killed since
		}
		s.reading = nil
		s.answerProbes(batch)
		for i, c := range batch {
			s.store(c.request)
			if c.ended {
				s.m.report.WastedReads++
			} else {
				c.request.stateAt = s
				c.reply(logic.ReadDone, int64(cached[i]), false)
			}
		}
		s.startNext()
	})
}

// cacheKeys returns the keys under which a request's prompt or a part of it may be cached.
func cacheKeys(q *request) [2]cacheKey {
	return [2]cacheKey{{false, q.sessionKey}, {true, q.prefixKey}}
}

// lookup returns how many tokens of a prompt are cached, at most all but one, and marks the entries as
// used.
func (s *replica) lookup(q *request) (cached float64) {
	for _, k := range cacheKeys(q) {
		if t := s.cache[k]; t != nil {
			t.usedAt = s.m.now
			cached = max(cached, t.tokens)
		}
	}
	return min(cached, q.promptTokens-1)
}

// store caches a prompt and its shared prefix, and evicts the least recently used entries beyond 80% of
// the memory.
func (s *replica) store(q *request) {
	s.put(cacheKey{false, q.sessionKey}, q.promptTokens, q.promptTokens-q.prefixTokens)
	if q.prefixKey != 0 {
		s.put(cacheKey{true, q.prefixKey}, q.prefixTokens, q.prefixTokens)
	}
	for s.cachedTokens > s.memoryTokens*0.8 {
		var oldest cacheKey
		oldestUse := time.Duration(math.MaxInt64)
		for k, t := range s.cache {
			if t.usedAt < oldestUse || t.usedAt == oldestUse && k.key < oldest.key {
				oldest, oldestUse = k, t.usedAt
			}
		}
		s.cachedTokens -= s.cache[oldest].ownTokens
		delete(s.cache, oldest)
	}
}

// put adds or replaces a cache entry.
func (s *replica) put(k cacheKey, tokens, own float64) {
	if old := s.cache[k]; old != nil {
		s.cachedTokens -= old.ownTokens
	}
	s.cache[k] = &cacheEntry{tokens, own, s.m.now}
	s.cachedTokens += own
}

// ---- writing ----

// tokenTime returns the seconds that each running answer takes per token.
func (s *replica) tokenTime() float64 {
	e := s.m.day.site().writer
	return (e.baseStep + e.stepPerAnswer*float64(len(s.running)) + e.stepPerKToken*s.heldTokens/1000) / s.capacity()
}

// advance updates the remaining tokens of running answers to the current time. It must run before the
// number of running answers changes, as that changes their speed.
func (s *replica) advance() {
	if n := (s.m.now - s.advancedAt).Seconds() / s.tokenTime(); len(s.running) > 0 {
		for _, c := range s.running {
			c.tokensLeft -= n
		}
	}
	s.advancedAt = s.m.now
}

// removeRunning removes the running answer at index i and frees its memory.
func (s *replica) removeRunning(i int) {
	s.heldTokens -= s.running[i].request.promptTokens + s.running[i].request.outputTokens
	s.running = slices.Delete(s.running, i, i+1)
}

// startWrites starts queued writes while there are free slots and memory, and schedules the completion
// of the running answer that ends first.
func (s *replica) startWrites() {
	s.advance()
	for len(s.queued) > 0 && len(s.running) < s.slots && s.heldTokens+s.queued[0].request.promptTokens+s.queued[0].request.outputTokens <= s.memoryTokens {
		c := s.queued[0]
		s.queued = s.queued[1:]
		c.tokensLeft = c.request.outputTokens
		s.running = append(s.running, c)
		s.heldTokens += c.request.promptTokens + c.request.outputTokens
		fetch := c.request.promptTokens / 280000
		if c.request.stateAt.entry.Zone != s.entry.Zone {
			fetch *= 2
		}
		c.request.stateAt = nil
		s.m.after(seconds(fetch+s.tokenTime()), func() { c.startStream() })
	}
	s.scheduleSeq++
	scheduled, fewest := s.scheduleSeq, math.Inf(1)
	for _, c := range s.running {
		fewest = min(fewest, c.tokensLeft)
	}
	if len(s.running) == 0 {
		return
	}
	s.m.after(seconds(max(fewest, 0)*s.tokenTime())+time.Microsecond, func() {
		if s.scheduleSeq != scheduled {
			return
		}
		s.advance()
		var done []*attempt
		for i := len(s.running) - 1; i >= 0; i-- {
			if s.running[i].tokensLeft <= 1e-3 {
				done = append(done, s.running[i])
				s.removeRunning(i)
			}
		}
		s.startWrites()
		for _, c := range done {
			c.reply(logic.Delivered, 0, false)
		}
	})
}
