package platform

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
	"standpulley/logic"
)

// Counts the attempts that reach replicas, for each repeat mode, if the first writer that gets a
// request either breaks off after receiving all of it or refuses it. An unsafe request runs at most
// once; a keyed one is repeated only within its scope and window; a refusal is answered only if a
// repeat is harmless.
func TestAttemptsPerRepeatMode(t *testing.T) {
	keyed := func(name string, scope logic.Scope, window time.Duration) logic.Class {
		return logic.Class{Name: name, Aim: time.Second, Deadline: 3 * time.Second, TokenAim: 60 * time.Millisecond, Worth: 2,
			Repeat: logic.Keyed, Scope: scope, Window: window}
	}
	set := fronttest.Settings()
	set.Classes = append(set.Classes, keyed("all", logic.AllServers, time.Minute), keyed("cell", logic.SameCell, time.Minute),
		keyed("short", logic.AllServers, time.Nanosecond))
	breakOff := func(x *fake.Exchange) { x.Break() }
	full := func(x *fake.Exchange) { x.Status(503, true, "") }
	for _, c := range []struct {
		class  string
		first  func(*fake.Exchange)
		status []int // allowed statuses
		sends  int   // to writers, at most
		cells  int   // that got the request, at most
	}{
		{"enquiry", breakOff, []int{200}, 2, 2},
		{"instruction", breakOff, []int{502}, 1, 1},
		{"instruction", full, []int{200}, 2, 2},
		{"instruction", fronttest.HealthyReader, []int{502}, 1, 1}, // a writer that answers like a reader
		{"all", breakOff, []int{200}, 2, 2},
		{"cell", breakOff, []int{200, 502}, 2, 1},
		{"short", breakOff, []int{503}, 1, 1},
		{"short", full, []int{200}, 2, 2},
	} {
		var arrivals atomic.Int64
		act := func(x *fake.Exchange) {
			if arrivals.Add(1) == 1 {
				c.first(x)
				return
			}
			serve(x)
		}
		rig := fronttest.Start(t, fronttest.HealthyReader, act, act, act)
		if err := rig.Core.UpdateSettings(set, dispatch.Bounds{Requests: 64, Bytes: 16 << 20}, nil); err != nil {
			t.Fatal(err)
		}
		u := rig.Core.List()
		for i := range u.Servers {
			if u.Servers[i].Kind == "writer" {
				u.Servers[i].Cell = int64(i)
			}
		}
		rig.Core.UpdateServers(u)
		addr := rig.Serve(t, New(rig.Core, rig.Pool, set, nil).Server())
		resp, _, complete := readAnswer(t, send(t, addr, rawRequest(c.class, "3000m")))
		sends, cells := rig.WriterRequests(), 0
		for _, w := range rig.Writers {
			if len(w.Calls("POST")) > 0 {
				cells++
			}
		}
		if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: a refusal without Retry-After", c.class)
		}
		if !slices.Contains(c.status, resp.StatusCode) || !complete || sends > c.sends || cells > c.cells {
			t.Errorf("%s: %d, %d sends to %d cells, want one of %v, %d, %d", c.class, resp.StatusCode, sends, cells, c.status, c.sends, c.cells)
		}
	}
}
