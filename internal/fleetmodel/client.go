package fleetmodel

import (
	"cmp"
	"math"
	"time"

	"standpulley/logic"
)

// The shares of their capacity at which readers and writers work on a quiet day.
const (
	quietReaderLoad = 0.35
	quietWriterLoad = 0.55
)

// Site is a deployment: its settings, how the clients of each of its classes behave, and what its replicas can do.
type Site struct {
	settings func() logic.Settings
	classes  []class
	reader   readerEngine
	writer   writerEngine
}

// readerEngine is what a site's readers can do.
type readerEngine struct {
	minRate, maxRate float64 // tokens that a warm one reads in a second
	attentionCost    float64 // seconds for a million pairs of a token and one before it
	batchOverhead    float64 // seconds a batch
	maxBatch         float64 // tokens of short prompts that are read together; 0: one prompt at a time
	maxQueue         int
	memoryTokens     float64 // tokens
}

// writerEngine is what a site's writers can do.
type writerEngine struct {
	slots, maxQueue                        int
	memoryTokens                           float64 // tokens
	baseStep, stepPerAnswer, stepPerKToken float64 // seconds a token takes each answer: by itself, for each answer that runs, for each 1,000 tokens held
}

// The engines of the first sites. Their readers are slower than those of real sites, as long prompts cost no more than their length.
var (
	plainReader = readerEngine{minRate: 7000, maxRate: 8800, batchOverhead: 0.004, maxQueue: 40, memoryTokens: 215000}
	plainWriter = writerEngine{slots: 80, maxQueue: 25, memoryTokens: 150000, baseStep: 0.014, stepPerAnswer: 0.0002, stepPerKToken: 0.00005}
)

// site gives the day's deployment, the first one where it names none.
func (d Day) site() Site {
	if d.Site.settings == nil {
		return defaultSite
	}
	return d.Site
}

// settings are those of the day's deployment with its number of routers.
func settings(day Day) logic.Settings {
	set := day.site().settings()
	set.Siblings = day.Routers
	return set
}

// firstSite has two classes: one that may be repeated and one that may not.
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

// SecondSite has three: short questions, changes that replicas throw away when they are repeated, and claims that must not run twice. Its
// deadlines are shorter, its replicas colder and sooner pushed over, its prompts longer.
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

// BatchingSite has servers that batch: short prompts are read together, and a long one costs more than its length, as each token attends to
// all before it. Sessions are short, nearly all begin with one of very many shared openings, and a few prompts are far longer than most. Few
// writers serve many readers.
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

// text is an opening that sessions share.
type prefix struct {
	key    uint64
	tokens float64
}

// class is how the clients of a class behave.
type class struct {
	share, turns, thinkTime            float64
	newTokens, outputTokens, maxOutput float64
	prefixes                           float64 // for ten replicas
	minPrefix, maxPrefix               float64 // tokens of an opening
	prefixShare                        float64 // part of the sessions that begin with one
}

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

// pick draws an index by weight.
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

// talk is a session: each turn's prompt holds all that went before.
type session struct {
	class        int
	key          uint64
	prefix       prefix
	promptTokens float64
	turnsLeft    int
	zone         int
}

// ask is one try of a request, from its arrival at a router to its answer.
type request struct {
	id           string
	session      *session
	firstSent    time.Duration // when its client first tried
	retries      int
	sessionKey   uint64
	prefixKey    uint64
	prefixTokens float64
	promptTokens float64
	outputTokens float64
	outstanding  *attempt
	attempts     int
	stateAt      *replica // where its state waits
	ended        bool
}

// arrivals has sessions begin so that requests come at the day's rate, from its first second on.
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

func (m *Model) startSession() {
	var shares []float64
	for _, c := range m.classes {
		shares = append(shares, c.share/c.turns)
	}
	m.nextRequest(m.newSession(m.pickWeighted(shares)))
}

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

// drawZone gives the zone of a new session's client.
func (m *Model) drawZone() int {
	if len(m.day.ZoneTraffic) > 0 {
		return m.pickWeighted(m.day.ZoneTraffic)
	}
	return m.rnd.IntN(m.day.Zones)
}

// turn is a session's next request.
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

// try sends a request, or a repeat of it, to a router of its client's zone.
func (m *Model) submit(q *request) {
	weights := make([]float64, len(m.routers))
	for i, r := range m.routers {
		if !r.unavailable && r.zone == q.session.zone {
			weights[i] = r.weight
		}
	}
	p := m.routers[m.pickWeighted(weights)].process
	if p.powerless { // nobody answers
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

// refused and failed are answers that end a try; a client comes again where that is harmless.
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

func (m *Model) failed(q *request) {
	if m.settings.Classes[q.session.class].Repeat == logic.Safe {
		m.refused(q, 0)
		return
	}
	m.report.row(q).Failed++
	m.report.addResult(q, false)
	m.continueSession(q.session)
}

// served books the first token. The session goes on when its client has read the answer.
func (m *Model) served(q *request) {
	q.ended = true
	m.report.served(q, m.now-q.firstSent)
	t := q.session
	t.promptTokens += q.outputTokens
	m.continueSession(t)
}

// newTokens draws what a turn adds, as a share of its class's usual. Where servers batch, some turns bring very long texts.
func (m *Model) drawTurnFactor() float64 {
	if m.day.site().reader.attentionCost == 0 {
		return 0.4 + 0.6*m.rnd.ExpFloat64()
	}
	return min(math.Exp(1.15*m.rnd.NormFloat64()), maxTurnFactor)
}

// longestTurn is the longest turn, as a multiple of the usual.
const maxTurnFactor = 25

func (m *Model) continueSession(t *session) {
	if t.turnsLeft > 0 {
		m.after(seconds(m.classes[t.class].thinkTime*m.rnd.ExpFloat64()), func() { m.nextRequest(t) })
	}
}
