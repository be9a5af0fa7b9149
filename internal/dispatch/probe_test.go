package dispatch

import (
	"slices"
	"testing"
	"time"

	"standpulley/logic"
)

// fakeProber records which addresses are probed. The test gives the answers.
type fakeProber struct {
	asked []string
	reply []func(logic.Outcome)
}

func (p *fakeProber) Probe(addr string, then func(logic.Outcome)) {
	p.asked, p.reply = append(p.asked, addr), append(p.reply, then)
}

// TestProbesAreSentAndAnswered checks that probes are sent only to servers in service, and their
// answers reach the decision module. Without a prober no answer is awaited.
func TestProbesAreSentAndAnswered(t *testing.T) {
	set := logic.Settings{Siblings: 300, MaxAttempts: 3, CanCancel: true, CanProbe: true, Classes: classes, ReleaseWithin: 500 * time.Millisecond,
		RampTime: time.Second, FallTime: time.Second, FallMultiple: 2, Kinds: []logic.Kind{{Name: "r", Role: logic.Reader}, {Name: "w", Role: logic.Writer}}}
	for _, prober := range []*fakeProber{{}, nil} {
		list := Update{Full: true}
		for _, s := range [][2]string{{"r1", "r"}, {"r2", "r"}, {"w1", "w"}} {
			list.Servers = append(list.Servers, Server{Addr: s[0], ServerEntry: logic.ServerEntry{ID: s[0], Kind: s[1], Weight: 1}})
		}
		d, err := New(set, 1, list, &fakeReleaser{}, Bounds{9, 100})
		if err != nil {
			t.Fatal(err)
		}
		if prober != nil {
			d.Prober = prober
		}
		_, p := submit(d, "a", "safe")
		if prober == nil {
			now := d.clock().Add(time.Second)
			d.clock = func() time.Time { return now }
			d.runTimers() // the time to wait for probe answers is over
		} else {
			if len(p.sent) != 0 || len(prober.asked) != 2 {
				t.Fatalf("%d sends, probed %v", len(p.sent), prober.asked)
			}
			prober.reply[0](logic.Delivered)
			processAll(d)
		}
		if len(p.sent) != 1 || prober != nil && p.sent[0].target.Server != prober.asked[0] {
			t.Errorf("unexpected number of sends: %d", len(p.sent))
		}
		if prober == nil {
			continue
		}
		Update{Servers: []Server{{Addr: "r2", ServerEntry: logic.ServerEntry{ID: "r2", Kind: "r", Availability: logic.Draining}}}}.apply(d)
		before := len(prober.asked)
		d.probe("r2")
		d.probe("unknown")
		if len(prober.asked) != before || slices.Contains(prober.asked[before:], "r2") {
			t.Errorf("probed %v", prober.asked)
		}
	}
}
