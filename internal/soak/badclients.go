package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Clients that misbehave, beside the usual ones: crowds that stop half way, send heads of many
// fields or far ahead and leave, floods on one connection, and ids that come again.

// badClientKind names a way in which clients misbehave.
type badClientKind string

// The kinds of bad clients.
const (
	halfBodies  badClientKind = "a crowd stops half way through large bodies"
	manyFields  badClientKind = "a crowd sends heads of many fields"
	sendAhead   badClientKind = "clients send far ahead and leave"
	floodOne    badClientKind = "one client sends unsound requests at full speed"
	repeatedIDs badClientKind = "ids come again after their client has left"
)

var badClientKinds = []badClientKind{halfBodies, manyFields, sendAhead, floodOne, repeatedIDs, repeatedIDs}

// badClients is one appearance of bad clients.
type badClients struct {
	At       time.Duration // since the start of the run
	Kind     badClientKind
	Target   int // selects the dispatcher
	Duration time.Duration
}

func (b badClients) String() string {
	return fmt.Sprintf("%.3f %s %d for %.3f", b.At.Seconds(), b.Kind, b.Target, b.Duration.Seconds())
}

const (
	// badClientsStream selects the random numbers of bad clients, which are drawn apart from those of
	// the faults.
	badClientsStream = 0xbadc
	badClientsEvery  = 700 * time.Millisecond // on average
	crowdSize        = 120
	aheadBytes       = 1 << 20
	leaveAfter       = 300 * time.Millisecond
	// returnAfter is when an id comes again after its client has left.
	returnAfter = 200 * time.Millisecond
)

// WithBadClients returns the scenario with bad clients beside the usual ones.
func (s Scenario) WithBadClients() Scenario {
	draw := rand.New(rand.NewPCG(s.Seed, badClientsStream))
	for at := time.Second; at < s.Length; at += time.Duration((0.5 + draw.Float64()) * float64(badClientsEvery)) {
		s.BadClients = append(s.BadClients, badClients{At: at, Kind: badClientKinds[draw.IntN(len(badClientKinds))], Target: draw.IntN(1 << 16),
			Duration: time.Duration((0.3 + 2*draw.Float64()) * float64(time.Second))})
	}
	return s
}

// sendBadClients starts bad clients and waits for their end.
func (r *run) sendBadClients(b badClients) {
	i := b.Target % len(r.groups)
	g := r.groups[i]
	r.markIdleClients(r.dispatchers[i]) // they may fill its descriptors
	switch b.Kind {
	case halfBodies:
		text := g.badRequest("enquiry", "", 256<<10)
		crowd(crowdSize, func() { g.sendAndHold(text+strings.Repeat(" ", 128<<10), b.Duration) })
	case manyFields:
		text := g.badRequest("enquiry", strings.Repeat("a:\r\n", 1900), 2) + "{}"
		crowd(crowdSize, func() { g.sendAndHold(text, b.Duration) })
	case sendAhead:
		crowd(crowdSize/20, func() { g.sendAheadAndLeave() })
	case floodOne:
		g.flood(b.Duration)
	case repeatedIDs:
		crowd(crowdSize/20, func() { r.repeatID(g) })
	}
}

// crowd runs a client many times at once and waits for all of them.
func crowd(size int, client func()) {
	var all sync.WaitGroup
	for range size {
		all.Go(client)
	}
	all.Wait()
}

// badRequest returns the head of a request with a new id.
func (g *group) badRequest(class, fields string, length int) string {
	return badRequestHead(g.clients.id(), class, fields, length)
}

func badRequestHead(id, class, fields string, length int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: 2000m\r\n"+
		"X-Props: prompt_len=100,max_out=40\r\n%sContent-Length: %d\r\n\r\n", id, class, fields, length)
}

// sendAndHold sends a text and holds the connection.
func (g *group) sendAndHold(text string, hold time.Duration) {
	c, ok := g.dial()
	if !ok {
		return
	}
	defer c.c.Close()
	_ = c.c.SetDeadline(time.Now().Add(hold))
	_, _ = io.WriteString(c.c, text) // the dispatcher may end the connection at any time
	_, _ = io.Copy(io.Discard, c.c)
}

// sendAheadAndLeave sends a request with much behind it and leaves while it is open. The request is
// judged like those of the usual clients.
func (g *group) sendAheadAndLeave() {
	c, ok := g.dial()
	if !ok {
		return
	}
	if tcp, isTCP := c.c.(*net.TCPConn); isTCP {
		_ = tcp.SetWriteBuffer(2 * aheadBytes) // only what the network holds is unread
	}
	id := g.clients.id()
	a := Request{ID: id, Class: "instruction", Dispatcher: g.target.name, ClientAddr: c.c.LocalAddr().String(), PausedAfter: -1, FirstOnConn: true, Timeout: 2 * time.Second}
	_ = c.c.SetWriteDeadline(time.Now().Add(leaveAfter))
	const next = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
	_, _ = io.WriteString(c.c, badRequestHead(id, a.Class, "", 2)+"{}"+strings.Repeat(next, aheadBytes/len(next)))
	a.Sent = time.Now()
	time.Sleep(leaveAfter)
	a.ClientClosed = time.Now()
	_ = c.c.Close()
	g.clients.record(a)
}

// flood sends requests that no dispatcher can serve on one connection after the other.
func (g *group) flood(duration time.Duration) {
	const text = "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n"
	for end := time.Now().Add(duration); time.Now().Before(end); {
		c, ok := g.dial()
		if !ok {
			return
		}
		go func() { _, _ = io.Copy(io.Discard, c.c) }() // ends with the connection
		_ = c.c.SetDeadline(end)
		var err error
		for n := 0; err == nil && time.Now().Before(end); n++ {
			request := text
			if n%1000 == 999 {
				request = g.badRequest("class-"+strconv.Itoa(n), "", 2) + "{}"
			}
			_, err = io.WriteString(c.c, strings.Repeat(text, 20)+request)
		}
		_ = c.c.Close()
	}
}

// repeatID sends an instruction, leaves, and sends the same id again.
func (r *run) repeatID(g *group) {
	id := g.clients.id()
	for range 2 {
		if c, ok := g.dial(); ok {
			_ = c.c.SetDeadline(time.Now().Add(leaveAfter))
			_, _ = io.WriteString(c.c, badRequestHead(id, "instruction", "", 2)+"{}") // the dispatcher may end the connection at any time
			_, _ = io.Copy(io.Discard, c.c)
			_ = c.c.Close()
		}
		time.Sleep(returnAfter)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.RepeatedIDs = append(r.rec.RepeatedIDs, RepeatedID{id, g.target.name})
}

// RepeatedID is the id of an instruction that was sent again after its client had left.
type RepeatedID struct{ ID, Dispatcher string }
