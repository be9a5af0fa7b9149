package program

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"standpulley/internal/config"
)

// testSite is a configuration that tests change step by step.
type testSite struct {
	listen, chat string
	models       string // JSON members of chat.models
	deadlineUS   int
	class        string // name of the second class
}

func (s testSite) parse(t *testing.T) config.Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","seed":"1","listen":%q,"chat":{"listen":%q,"models":{%s}},
 "known":{"servers":[{"id":"r","addr":"127.0.0.1:1","kind":"reader","state":"in_service","weight":1},{"id":"w","addr":"127.0.0.1:2","kind":"writer","state":"in_service","weight":1}]},
 "settings":{"siblings":1,"host_types":["reader","writer"],"family_info":{"duty_by_kind":["read","write"]},"limits":{"try_limit":4},"services":[
  {"name":"enquiry","goal_time_us":100000,"deadline_us":%d,"repeat":"idempotent"},{"name":%q,"goal_time_us":100000,"deadline_us":1000000,"repeat":"at_most_once"}]}}`,
		s.listen, s.chat, s.models, s.deadlineUS, s.class)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestCoreOutlivesConfigurations guards against state of a rule that lives only as long as one
// configuration: the table of open requests, held state, budgets of slow start and the list are the
// core's, and one core serves under every configuration. A configuration whose address can't be
// opened changes nothing.
func TestCoreOutlivesConfigurations(t *testing.T) {
	p := newProgram()
	site := testSite{listen: freeAddr(t), chat: freeAddr(t), models: `"ask":"enquiry"`, deadlineUS: 1000000, class: "instruction"}
	if err := p.apply(site.parse(t)); err != nil {
		t.Fatal(err)
	}
	core, instructions := p.current.core, p.current.chat.Instructions
	for name, change := range map[string]func(*testSite){
		"model":             func(s *testSite) { s.models += `,"act":"enquiry"` },
		"class":             func(s *testSite) { s.class += "-2" },
		"deadline":          func(s *testSite) { s.deadlineUS++ },
		"chat address":      func(s *testSite) { s.chat = freeAddr(t) },
		"client address":    func(s *testSite) { s.listen = freeAddr(t) },
		"both addresses":    func(s *testSite) { s.listen, s.chat = freeAddr(t), freeAddr(t) },
		"swapped addresses": func(s *testSite) { s.listen, s.chat = s.chat, s.listen },
	} {
		change(&site)
		if err := p.apply(site.parse(t)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if p.current.core != core || p.current.chat.Instructions != instructions {
			t.Errorf("%s: another core or memory of instructions serves", name)
		}
		if len(p.ports) != 2 || p.ports[site.listen] == nil || p.ports[site.chat] == nil ||
			p.current.fronts[site.listen].protocol != platformProtocol || p.current.fronts[site.chat].protocol != chatProtocol {
			t.Errorf("%s: ports %v, fronts %v", name, p.ports, p.current.fronts)
		}
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	bad, before := site, p.current.cfg
	bad.listen, bad.chat, bad.deadlineUS = freeAddr(t), taken.Addr().String(), 2000000
	if err := p.apply(bad.parse(t)); err == nil || !strings.Contains(err.Error(), "key chat.listen:") {
		t.Errorf("an address in use: %v", err)
	}
	if c, err := net.Dial("tcp", bad.listen); err == nil {
		_ = c.Close()
		t.Error("an address of the rejected configuration is open")
	}
	if p.current.cfg.Listen != before.Listen || p.current.cfg.Settings.Classes[0].Deadline != before.Settings.Classes[0].Deadline || len(p.ports) != 2 {
		t.Errorf("the rejected configuration changed %+v", p.current.cfg)
	}
	if err := p.drain(time.Now()); err != nil {
		t.Error(err)
	}
}
