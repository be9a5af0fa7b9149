package fleetmodel

import (
	"cmp"
	"math"
	"time"

	"standpulley/logic"
)

// The utilization of readers and writers on a quiet day.
const (
	quietReaderLoad = 0.35
	quietWriterLoad = 0.55
)

// Site is a deployment: its settings, the behaviour of the clients of each class, and the performance
// of its replicas.
type Site struct {
	settings func() logic.Settings
	classes  []class
	reader   readerEngine
	writer   writerEngine
}

// readerEngine is the performance of a site's readers.
type readerEngine struct {
	minRate, maxRate float64 // range of the tokens per second that a warm reader reads
	attentionCost    float64 // seconds per million pairs of a token and an earlier token
	batchOverhead    float64 // seconds per batch
	maxBatch         float64 // maximum uncached tokens of a batch of several prompts; 0: one prompt at a time
	maxQueue         int
	memoryTokens     float64
}

// writerEngine is the performance of a site's writers.
type writerEngine struct {
	slots, maxQueue int
	memoryTokens    float64
	// Seconds that each running answer takes per token: a fixed part, a part per running answer and a
	// part per 1,000 tokens held.
	baseStep, stepPerAnswer, stepPerKToken float64
}

// The engines of the default and the second site. Their readers are slower than those of real sites,
// as the cost of a long prompt is only linear in its length.
var (
	plainReader = readerEngine{minRate: 7000, maxRate: 8800, batchOverhead: 0.004, maxQueue: 40, memoryTokens: 215000}
	plainWriter = writerEngine{slots: 80, maxQueue: 25, memoryTokens: 150000, baseStep: 0.014, stepPerAnswer: 0.0002, stepPerKToken: 0.00005}
)

// site returns the day's deployment, or the default one if the day names none.
func (d Day) site() Site {
	if d.Site.settings == nil {
		return defaultSite
	}
	return d.Site
}

// settings returns the settings of the day's deployment, with the day's number of routers.
func settings(day Day) logic.Settings {
	set := day.site().settings()
	set.Siblings = day.Routers
	return set
}

// defaultSite has two classes: one whose requests may be repeated and one whose requests may not.
var defaultSite = Site{settings: func() logic.Settings {
	return logic.Settings{
		Kinds: []logic.Kind{{Name: "reader", Role: logic.Reader, MemoryTokens: 215000},
			{Name: "writer", Role: logic.Writer, MemoryTokens: 150000}},
		Classes: []logic.Class{
			{Name: "enquiry", Aim: 1500 * time.Millisecond, AimPer1K: 40 * time.Millisecond, TokenAim: 60 * time.Millisecond,
				Deadline: 6 * time.Second, LateWorth: 0.3, Worth: 3},
			{Name: "instruction", Aim: 2500 * time.Millisecond, AimPer1K: 40 * time.Millisecond, TokenAim: 80 * time.Millisecond,
				Deadline: 10 * time.Second, LateWorth: 0.3, Worth: 2, Repeat: logic.Unsafe},
		},
		CanCancel: true, CancelStopsWork: true, MaxAttempts: 6, CrossZonePrice: 0.028, MaxRetryAfter: 2 * time.Second, ReleaseWithin: 500 * time.Millisecond,
		ColdFrom: 0.27, RampTime: 14 * time.Second, FallMultiple: 2.5, FallTime: 3 * time.Second,
		DrainGrace: time.Second, AnswerSlack: 16 * time.Millisecond, ConnIdle: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		Resume: true,
	}
}, classes: []class{
	{0.56, 2.8, 6, 420, 160, 500, 14, 1100, 3800, 0.88},
	{0.44, 5.5, 2.8, 500, 100, 400, 4, 2600, 7700, 0.79},
}, reader: plainReader, writer: plainWriter}

// SecondSite has three classes: short questions, changes, which replicas deduplicate when they are
// repeated, and claims, which must not run twice. Its deadlines are shorter than those of the default
// site, its replicas are overloaded earlier, and the prompts of its claims are longer.
var SecondSite = Site{settings: func() logic.Settings {
	set := defaultSite.settings()
	set.Classes = []logic.Class{
		{Name: "question", Aim: 900 * time.Millisecond, AimPer1K: 50 * time.Millisecond, TokenAim: 55 * time.Millisecond,
			Deadline: 3500 * time.Millisecond, LateWorth: 0.2, Worth: 1},
		{Name: "change", Aim: 1800 * time.Millisecond, AimPer1K: 60 * time.Millisecond, TokenAim: 70 * time.Millisecond,
			Deadline: 7 * time.Second, LateWorth: 0.4, Worth: 3, Repeat: logic.Keyed, Scope: logic.SameZone, Window: 2500 * time.Millisecond},
		{Name: "claim", Aim: 2600 * time.Millisecond, AimPer1K: 80 * time.Millisecond, TokenAim: 80 * time.Millisecond,
			Deadline: 9 * time.Second, LateWorth: 0.3, Worth: 4, Repeat: logic.Unsafe},
	}
	set.MaxAttempts, set.CrossZonePrice, set.MaxRetryAfter, set.ReleaseWithin = 4, 0.05, 800*time.Millisecond, 400*time.Millisecond
	set.FallMultiple, set.ConnIdle = 2, 12*time.Second
	return set
}, classes: []class{
	{0.55, 1.6, 8, 300, 90, 300, 20, 400, 2200, 0.7},
	{0.27, 3.2, 4, 700, 140, 500, 6, 1800, 5200, 0.85},
	{0.18, 4.5, 3, 900, 110, 400, 3, 3000, 9000, 0.9},
}, reader: plainReader, writer: plainWriter}

// BatchingSite has readers that batch: short prompts are read together, and the cost of a long prompt
// grows faster than its length, as each token attends to all tokens before it. Sessions are short,
// nearly all begin with one of very many shared prefixes, and a few prompts are far longer than most.
// Few writers serve many readers.
var BatchingSite = Site{settings: func() logic.Settings {
	set := defaultSite.settings()
	set.Kinds = []logic.Kind{{Name: "reader", Role: logic.Reader, MemoryTokens: 305000}, {Name: "writer", Role: logic.Writer, MemoryTokens: 765000}}
	set.CanProbe, set.ProbePrice = true, 0.0032
	for i := range set.Classes {
		set.Classes[i].Aim, set.Classes[i].AimPer1K = 1200*time.Millisecond, 84*time.Millisecond
	}
	return set
}, classes: []class{
	{0.56, 1.6, 2.5, 1300, 60, 542, 120, 3500, 6100, 0.95},
	{0.44, 1.6, 2.5, 1300, 60, 542, 120, 3500, 6100, 0.95},
}, reader: readerEngine{minRate: 12400, maxRate: 13400, attentionCost: 0.00335, batchOverhead: 0.015, maxBatch: 8192, maxQueue: 200, memoryTokens: 305000},
	writer: writerEngine{slots: 128, maxQueue: 200, memoryTokens: 765000, baseStep: 0.009, stepPerAnswer: 0.000035, stepPerKToken: 0.00002}}

// prefix is a beginning of the prompt that several sessions share.
type prefix struct {
	key    uint64
	tokens float64
}

// class is the behaviour of the clients of a class.
type class struct {
	// Share of all requests, mean turns of a session and mean seconds between turns.
	share, turns, thinkTime            float64
	newTokens, outputTokens, maxOutput float64
	prefixes                           float64 // number of shared prefixes per ten replicas
	minPrefix, maxPrefix               float64 // tokens of a shared prefix, drawn from the range
	prefixShare                        float64 // share of the sessions that begin with a shared prefix
}

// drawPrefixes draws the shared prefixes of each class. Their popularity follows a Zipf-like law.
func (m *Model) drawPrefixes() {
	for _, c := range m.classes {
		n := int(c.prefixes * float64(m.day.Readers+m.day.Writers) / 10)
		var prefixes []prefix
		var weights []float64
		for i := range max(n, 1) {
			prefixes = append(prefixes, prefix{m.rnd.Uint64() | 1, m.uniform(c.minPrefix, c.maxPrefix)})
			weights = append(weights, 1/math.Pow(float64(i+1), 0.9))
		}
		m.prefixes, m.prefixWeights = append(m.prefixes, prefixes), append(m.prefixWeights, weights)
	}
}

// pickWeighted draws an index with a probability proportional to its weight.
func (m *Model) pickWeighted(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := m.rnd.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// session is a conversation. The prompt of each turn contains all earlier prompts and answers.
type session struct {
	class        int
	key          uint64
	prefix       prefix
	promptTokens float64
	turnsLeft    int
	zone         int
}

// request is one try of a client's request, from its arrival at a router to its answer. A retry is a
// request of its own.
type request struct {
	id           string
	session      *session
	firstSent    time.Duration // when the client first sent it
	retries      int
	sessionKey   uint64
	prefixKey    uint64
	prefixTokens float64
	promptTokens float64
	outputTokens float64
	outstanding  *attempt
	attempts     int
	stateAt      *replica // reader that holds its prefill state
	ended        bool
}

// startArrivals makes sessions start at a rate that gives the day's rate of requests. The rate rises
// during the warm-up, so that it is reached when the day begins.
func (m *Model) startArrivals() {
	sessionsPerRequest := 0.0
	for _, c := range m.classes {
		sessionsPerRequest += c.share / c.turns
	}
	var begin func()
	begin = func() {
		if m.now-start >= m.day.Length {
			return
		}
		m.startSession()
		ramp := min(0.2+0.8*float64(m.now-start+warmUp)/float64(warmUp), 1)
		m.after(seconds(m.rnd.ExpFloat64()/(m.day.Rate*ramp*m.day.Burst.factor(m.now-start)*sessionsPerRequest)), begin)
	}
	m.after(0, begin)
}

// startSession starts a session of a class drawn by the classes' shares.
func (m *Model) startSession() {
	var shares []float64
	for _, c := range m.classes {
		shares = append(shares, c.share/c.turns)
	}
	m.nextRequest(m.newSession(m.pickWeighted(shares)))
}

// newSession draws the turns, prefix and zone of a session of class ci.
func (m *Model) newSession(ci int) *session {
	c := m.classes[ci]
	t := &session{class: ci, key: m.rnd.Uint64() | 1, turnsLeft: 1, zone: m.drawZone()}
	for m.rnd.Float64() > 1/c.turns {
		t.turnsLeft++
	}
	if m.rnd.Float64() < c.prefixShare {
		t.prefix = m.prefixes[ci][m.pickWeighted(m.prefixWeights[ci])]
		t.promptTokens = t.prefix.tokens
	}
	return t
}

// drawZone draws the zone of a new session's client.
func (m *Model) drawZone() int {
	if len(m.day.ZoneTraffic) > 0 {
		return m.pickWeighted(m.day.ZoneTraffic)
	}
	return m.rnd.IntN(m.day.Zones)
}

// nextRequest sends the next request of a session, unless the day is over.
func (m *Model) nextRequest(t *session) {
	if m.now-start >= m.day.Length {
		return
	}
	c := m.classes[t.class]
	t.turnsLeft--
	t.promptTokens += c.newTokens * m.drawTurnFactor()
	q := &request{session: t, firstSent: m.now, sessionKey: t.key, prefixKey: t.prefix.key, prefixTokens: t.prefix.tokens, promptTokens: t.promptTokens,
		outputTokens: min(max(c.outputTokens*(0.3+0.7*m.rnd.ExpFloat64()), 4), c.maxOutput)}
	m.report.offered(q)
	m.submit(q)
}

// submit sends a request or a retry to a router in the client's zone.
func (m *Model) submit(q *request) {
	weights := make([]float64, len(m.routers))
	for i, r := range m.routers {
		if !r.unavailable && r.zone == q.session.zone {
			weights[i] = r.weight
		}
	}
	p := m.routers[m.pickWeighted(weights)].process
	if p.powerless { // nothing answers
		m.refused(q, 0)
		return
	}
	q.id = m.nextID()
	p.requests[q.id] = q
	set := m.settings.Classes[q.session.class]
	deadline := set.Deadline + seconds(2*set.AimPer1K.Seconds()*q.promptTokens/1000)
	m.after(networkDelay, func() {
		if p.recovery != nil {
			if pause, ok := p.recovery.admit(q); !ok {
				p.closeRequest(q)
				m.refused(q, pause)
				return
			}
		}
		p.handle(&logic.Event{Kind: logic.Arrived, RequestID: q.id, Request: logic.Request{Class: set.Name, Session: q.sessionKey,
			Prefix: q.prefixKey, PrefixTokens: int64(q.prefixTokens), PromptTokens: int64(q.promptTokens),
			MaxOutput: int64(m.classes[q.session.class].maxOutput), Remaining: deadline}})
	})
}

const (
	maxRetries   = 2
	retryBackoff = 200 * time.Millisecond
)

// refused handles a refusal: the client retries after the pause or its own backoff, whichever is
// longer, unless its retries are used up.
func (m *Model) refused(q *request, pause time.Duration) {
	if q.retries >= cmp.Or(m.day.MaxRetries, maxRetries) {
		m.report.row(q).Refused++
		m.report.addResult(q, false)
		m.continueSession(q.session)
		return
	}
	retry := *q
	retry.retries++
	retry.outstanding, retry.stateAt, retry.attempts, retry.ended = nil, nil, 0, false
	m.after(max(pause, retryBackoff<<min(retry.retries, maxRetries)), func() { m.submit(&retry) })
}

// failed handles an error whose request may have run. The client retries only if the class allows
// requests to run again.
func (m *Model) failed(q *request) {
	if m.settings.Classes[q.session.class].Repeat == logic.Safe {
		m.refused(q, 0)
		return
	}
	m.report.row(q).Failed++
	m.report.addResult(q, false)
	m.continueSession(q.session)
}

// served records the first token of an answer, and schedules the next turn of the session.
func (m *Model) served(q *request) {
	q.ended = true
	m.report.served(q, m.now-q.firstSent)
	t := q.session
	t.promptTokens += q.outputTokens
	m.continueSession(t)
}

// drawTurnFactor draws the length of a turn's new text as a multiple of the class's mean. On sites
// with batching readers some turns are very long.
func (m *Model) drawTurnFactor() float64 {
	if m.day.site().reader.attentionCost == 0 {
		return 0.4 + 0.6*m.rnd.ExpFloat64()
	}
	return min(math.Exp(1.15*m.rnd.NormFloat64()), maxTurnFactor)
}

// maxTurnFactor is the largest result of drawTurnFactor on sites with batching readers.
const maxTurnFactor = 25

// continueSession schedules the next turn of a session, if it has one.
func (m *Model) continueSession(t *session) {
	if t.turnsLeft > 0 {
		m.after(seconds(m.classes[t.class].thinkTime*m.rnd.ExpFloat64()), func() { m.nextRequest(t) })
	}
}
