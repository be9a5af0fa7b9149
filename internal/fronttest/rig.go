// Package fronttest sets up a core with scripted replicas behind a front, for the tests of the
// fronts.
package fronttest

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/internal/front"
	"standpulley/internal/replica"
	"standpulley/logic"
)

// Limits of a test front: the number of client connections, and the bytes of request bodies being
// read.
const (
	MaxConns     = 32
	MaxBodyBytes = 1 << 20
)

// Settings returns the settings of a small fleet with a safe and an unsafe class.
func Settings() logic.Settings {
	return logic.Settings{Siblings: 1, Zone: "z", MaxAttempts: 4, CanCancel: true, MaxRetryAfter: 2 * time.Second,
		ReleaseWithin: 500 * time.Millisecond, ColdFrom: 0.3, RampTime: 10 * time.Second, FallMultiple: 2.5,
		FallTime: 3 * time.Second, ConnIdle: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		Kinds: []logic.Kind{{Name: "reader", Role: logic.Reader, MemoryTokens: 1e5}, {Name: "writer", Role: logic.Writer, MemoryTokens: 1e5}, {Name: "mixed", Role: logic.Mixed, MemoryTokens: 1e5}},
		Classes: []logic.Class{
			{Name: "enquiry", Aim: time.Second, Deadline: 3 * time.Second, TokenAim: 60 * time.Millisecond, Worth: 3, Repeat: logic.Safe},
			{Name: "instruction", Aim: time.Second, Deadline: 3 * time.Second, TokenAim: 60 * time.Millisecond, Worth: 2, Repeat: logic.Unsafe},
		}}
}

// Rig is a core with at most one reader and with the writers of a test.
type Rig struct {
	Core    *dispatch.Dispatcher
	Pool    *replica.Pool
	Reader  *fake.Replica
	Writers []*fake.Replica
}

// Start runs a core whose reader, if any, and whose writers run one script each. Without a reader
// the writers are mixed servers, as plain servers of a chat API are: they prefill and decode by
// themselves.
func Start(t *testing.T, readScript func(*fake.Exchange), writeScripts ...func(*fake.Exchange)) *Rig {
	t.Helper()
	r := &Rig{}
	list := dispatch.Update{Full: true}
	add := func(id, kind string, script func(*fake.Exchange)) *fake.Replica {
		s, err := fake.Start("127.0.0.1:0", script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		list.Servers = append(list.Servers, dispatch.Server{Addr: s.Addr, ServerEntry: logic.ServerEntry{
			ID: id, Zone: "z", Kind: kind, Cell: 1, Weight: 1}})
		return s
	}
	kind := "mixed"
	if readScript != nil {
		kind = "writer"
		r.Reader = add("r", "reader", readScript)
	}
	for i, w := range writeScripts {
		r.Writers = append(r.Writers, add(string(rune('a'+i)), kind, w))
	}
	set := Settings()
	r.Pool = replica.NewPool(64, set.ConnIdle, set.ConnectTimeout)
	r.Pool.StallTimeout = 300 * time.Millisecond
	core, err := dispatch.New(set, 1, list, replica.NewReleaser(r.Pool), dispatch.Bounds{Requests: 64, Bytes: 16 << 20})
	if err != nil {
		t.Fatal(err)
	}
	r.Core = core
	go core.Run()
	t.Cleanup(core.Stop)
	if err := core.Phases.Enter(dispatch.Ready); err != nil {
		t.Fatal(err)
	}
	return r
}

// Serve runs a front's server and returns its address.
func (r *Rig) Serve(t *testing.T, server *fasthttp.Server) string {
	t.Helper()
	port, err := front.Listen("127.0.0.1:0", front.NewConnLimiter(MaxConns, MaxBodyBytes), false)
	if err != nil {
		t.Fatal(err)
	}
	ln := port.Attach()
	go func() { _ = server.Serve(ln) }() // ends when the port shuts down
	t.Cleanup(func() { port.Shutdown(0) })
	return port.Addr()
}

// HealthyReader is the script of a reader that succeeds.
func HealthyReader(x *fake.Exchange) { x.Read(0) }

// WaitFor waits until a condition holds and fails the test after 5 s.
func WaitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// CountVerdicts returns the number of final answers with a verdict.
func (r *Rig) CountVerdicts(v dispatch.Verdict) int {
	totals, _ := r.Core.Counts.Snapshot()
	return totals.Verdicts[v.String()]
}

// WriterRequests returns the number of requests that reached writers.
func (r *Rig) WriterRequests() (n int) {
	for _, w := range r.Writers {
		n += len(w.Calls("POST"))
	}
	return n
}
