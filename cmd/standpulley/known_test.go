package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"standpulley/internal/standin"
)

// Where lists are asked for, a start asks what has changed of the list that its configuration brings: nothing, and it is ready at once by
// that list, or a drain, and nothing goes to who leaves. Where they are pushed it asks for the whole.
func TestStartFromTheKnownList(t *testing.T) {
	for _, c := range []struct {
		mode, asks string
		version    int // of the list that is known; the agent has version 1
		drains     bool
	}{{"on_request", "index=1&wait=0", 1, false}, {"on_request", "index=0&wait=0", 0, true}, {"pushed", "", 1, false}} {
		_, r := replicaOf(t, "reader", "reader", func(x *standin.Exchange) { x.Read(0) })
		leaving, l := replicaOf(t, "leaving", "writer", func(x *standin.Exchange) { x.Answer("leaving") })
		_, s := replicaOf(t, "staying", "writer", func(x *standin.Exchange) { x.Answer("staying") })
		var known []string
		for _, e := range []standin.Entry{r, l, s} {
			known = append(known, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":%q,"state":"in_service"}`, e.ID, e.Addr, e.Kind))
		}
		if c.drains {
			l.State = "terminating"
		}
		agent, addr, path := agentOf(t, r, l, s), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		set := strings.Replace(settings, `"siblings":1,`, `"siblings":1,"registry_mode":"`+c.mode+`",`, 1)
		_, out := start(t, configure(t, path, addr, agent.Addr, set, fmt.Sprintf(`,"known":{"version":%d,"full":true,"servers":[%s]}`, c.version, strings.Join(known, ","))))
		wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		if asked := agent.Asked(); asked[0] != c.asks || strings.Contains(out.String(), "no list from discovery yet") {
			t.Errorf("%s, version %d: asked %q\n%s", c.mode, c.version, asked, out)
		}
		if c.drains {
			wait(t, "the drain", func() bool {
				return strings.Contains(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining")
			})
		}
		answers := map[string]bool{}
		for n := range 20 {
			text := answered(t, ask(t, addr, n+1))
			answers["leaving"] = answers["leaving"] || strings.Contains(text, "leaving")
		}
		if sent := len(leaving.Calls("POST")) > 0; c.drains && (sent || answers["leaving"]) {
			t.Errorf("%s, version %d: sent to who leaves", c.mode, c.version)
		}
		if c.mode == "on_request" && slices.Contains(agent.Asked(), "") {
			t.Errorf("%s, version %d: asked for the whole list: %q", c.mode, c.version, agent.Asked())
		}
	}
}
