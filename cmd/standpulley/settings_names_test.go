package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"standpulley/internal/fake"
)

// siteSettings returns the settings of a made-up site. All of its names are unknown to the program.
func siteSettings(zone, kinds, duties string, classes []string, tenants string) string {
	var services []string
	for i, c := range classes {
		repeat := []string{`"idempotent"`, `"at_most_once"`, `"deduplicated","key_scope":"all","window_us":2000000`,
			`"deduplicated","key_scope":"zone","window_us":1500000`, `"deduplicated","key_scope":"cell","window_us":900000`}[i%5]
		services = append(services, fmt.Sprintf(`{"name":%q,"goal_time_us":%d,"deadline_us":%d,"repeat":%s,"credit":%d}`,
			c, 700000+i*100000, 5000000+i*500000, repeat, i+1))
	}
	return fmt.Sprintf(`{"siblings":3,%s"host_types":%s,"family_info":{"duty_by_kind":%s,"kv_tokens":[100000],"let_go_by_us":300000},
 "limits":{"try_limit":3,"cancel":true},"obligations":{"cold_from":0.4,"ramp_time_us":5000000,"fall_multiple":3,"fall_us":2000000},
 %s"services":[%s]}`, zone, kinds, duties, tenants, strings.Join(services, ","))
}

// TestSettingsWithOtherNames checks that the names of kinds, classes, zones and tenants come from
// the settings alone: with one class or five, none of the usual names, no zones, no tenants and
// other kinds.
func TestSettingsWithOtherNames(t *testing.T) {
	zoned, noZones := `"zone":"dock-7","zones":["dock-7","dock-9"],`, ""
	for name, c := range map[string]struct {
		settings        string
		classes         []string
		kinds           [2]string
		zone, tenantTag string
	}{
		"one class, no zones, no tenants": {siteSettings(noZones, `["tide","ebb"]`, `["read","write"]`, []string{"ask"}, ""), []string{"ask"}, [2]string{"tide", "ebb"}, "", ""},
		"five classes with zones and tenants": {siteSettings(zoned, `["in","out"]`, `["read","write"]`, []string{"a", "b", "c", "d", "e"},
			`"tenants":[{"name":"fleet","portion":0.6,"quota_rps":50},{"name":"yard","portion":0.4,"quota_rps":50}],`),
			[]string{"a", "b", "c", "d", "e"}, [2]string{"in", "out"}, "dock-7", "X-Customer: fleet\r\n"},
		"servers that do both": {siteSettings(noZones, `["all-in-one"]`, `["both"]`, []string{"x", "y"}, ""), []string{"x", "y"}, [2]string{"all-in-one", "all-in-one"}, "", ""},
	} {
		act := func(x *fake.Exchange) { x.Answer("one") }
		read := func(x *fake.Exchange) { x.Read(0) }
		if c.kinds[0] == c.kinds[1] {
			read = act
		}
		_, reader := startReplica(t, "s1", c.kinds[0], read)
		_, writer := startReplica(t, "s2", c.kinds[1], act)
		reader.Zone, writer.Zone = c.zone, c.zone
		agent, addr, path := startAgent(t, reader, writer), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		_, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, c.settings, ""))
		waitFor(t, name+": a ready program", func() bool { code, _ := call("GET", addr, "/-/ready"); return code == 200 })
		for n, class := range c.classes {
			text := strings.Replace(requestText(addr, n+1), "X-Qos: instruction\r\n", "X-Qos: "+class+"\r\n"+c.tenantTag, 1)
			if got := readAnswer(t, sendText(t, addr, text)); !strings.HasSuffix(got, "[DONE]\n\n") {
				t.Errorf("%s, class %s: %q\n%s", name, class, got, out)
			}
		}
	}
	// Unusable settings must be rejected with an error that names the key.
	usable := siteSettings(zoned, `["in","out"]`, `["read","write"]`, []string{"a", "b", "c"}, "")
	for text, key := range map[string]string{
		strings.Replace(usable, `"read","write"`, `"read","sing"`, 1):                          "family_info.duty_by_kind",
		strings.Replace(usable, `"repeat":"at_most_once"`, `"repeat":"sometimes"`, 1):          "services.1.repeat",
		strings.Replace(usable, `"key_scope":"all"`, `"key_scope":"street"`, 1):                "services.2.key_scope",
		strings.Replace(usable, `"siblings":3`, `"siblings":0`, 1):                             "siblings",
		strings.Replace(usable, `"deadline_us":5000000`, `"deadline_us":"soon"`, 1):            "services.0.deadline_us",
		strings.Replace(usable, `"name":"b",`, "", 1):                                          "services.1.name",
		strings.Replace(usable, `"limits":{"try_limit":3,`, `"limits":{"try_limit":"few",`, 1): "limits.try_limit",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		cmd, out := startProgram(t, writeConfig(t, path, freeAddr(t), freeAddr(t), text, ""))
		if err := cmd.Wait(); err == nil || !strings.Contains(out.String(), key) {
			t.Errorf("want %s: %v\n%s", key, err, out)
		}
	}
}

// TestDeployFileListsLinkedPackages checks that the deploy file lists exactly the packages of this
// repository that the dispatcher links, and that it lists every file of package logic as policy.
func TestDeployFileListsLinkedPackages(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct {
		Policy []string `toml:"policy"`
		Node   []string `toml:"node"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	decisions, err := filepath.Glob("../../logic/*.go")
	if err != nil || len(decisions) == 0 {
		t.Fatalf("no files in package logic: %v", err)
	}
	for _, path := range decisions {
		file := filepath.Join("logic", filepath.Base(path))
		if !strings.HasSuffix(file, "_test.go") && !slices.Contains(deploy.Policy, file) {
			t.Errorf("%s is not listed as policy", file)
		}
	}
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	var links []string
	for _, pkg := range strings.Fields(string(out)) {
		if path, ours := strings.CutPrefix(pkg, "standpulley/"); ours {
			links = append(links, path)
		}
	}
	under := func(path, folder string) bool { return path == folder || strings.HasPrefix(path, folder+"/") }
	named := slices.Clone(deploy.Node)
	for _, p := range deploy.Policy {
		named = append(named, filepath.Dir(p))
	}
	for _, pkg := range links {
		if !slices.ContainsFunc(named, func(n string) bool { return under(pkg, n) }) {
			t.Errorf("%s is linked but not listed", pkg)
		}
	}
	for _, n := range deploy.Node {
		if !slices.ContainsFunc(links, func(pkg string) bool { return under(pkg, n) }) {
			t.Errorf("%s is listed but not linked", n)
		}
	}
}
