package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"standpulley/internal/fake"
)

// TestStartFromTheKnownList checks what a start asks discovery for. If lists are fetched on
// request, a start asks only for changes to the list in its configuration: with no change it is
// ready at once with that list, and with a drain no request goes to the draining replica. If lists
// are pushed, it asks for the full list.
func TestStartFromTheKnownList(t *testing.T) {
	for _, c := range []struct {
		mode, query string
		version     int // version of the known list; the agent has version 1
		drains      bool
	}{{"on_request", "index=1&wait=0", 1, false}, {"on_request", "index=0&wait=0", 0, true}, {"pushed", "", 1, false}} {
		_, r := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
		leaving, l := startReplica(t, "leaving", "writer", func(x *fake.Exchange) { x.Answer("leaving") })
		_, s := startReplica(t, "staying", "writer", func(x *fake.Exchange) { x.Answer("staying") })
		var known []string
		for _, e := range []fake.Entry{r, l, s} {
			known = append(known, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":%q,"state":"in_service"}`, e.ID, e.Addr, e.Kind))
		}
		if c.drains {
			l.State = "terminating"
		}
		agent, addr, path := startAgent(t, r, l, s), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		changed := strings.Replace(settings, `"siblings":1,`, `"siblings":1,"registry_mode":"`+c.mode+`",`, 1)
		_, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, changed, fmt.Sprintf(`,"known":{"version":%d,"full":true,"servers":[%s]}`, c.version, strings.Join(known, ","))))
		waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		if asked := agent.Queries(); asked[0] != c.query || strings.Contains(out.String(), "no list from discovery yet") {
			t.Errorf("%s, version %d: asked %q\n%s", c.mode, c.version, asked, out)
		}
		if c.drains {
			waitFor(t, "the drain", func() bool {
				return strings.Contains(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining")
			})
		}
		answers := map[string]bool{}
		for n := range 20 {
			text := readAnswer(t, sendRequest(t, addr, n+1))
			answers["leaving"] = answers["leaving"] || strings.Contains(text, "leaving")
		}
		if sent := len(leaving.Calls("POST")) > 0; c.drains && (sent || answers["leaving"]) {
			t.Errorf("%s, version %d: requests sent to the draining writer", c.mode, c.version)
		}
		if c.mode == "on_request" && slices.Contains(agent.Queries(), "") {
			t.Errorf("%s, version %d: asked for the full list: %q", c.mode, c.version, agent.Queries())
		}
	}
}
