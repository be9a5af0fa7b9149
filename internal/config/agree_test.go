package config

import (
	"strings"
	"testing"
	"time"

	"standpulley/internal/clusterstate"
	"standpulley/internal/intentlog"
	"standpulley/internal/ledger"
)

const agreeSection = `"agree":{"cluster":"k","voters":{"n0":"127.0.0.1:71","n1":"127.0.0.1:72","n2":"127.0.0.1:73"},"others":["m*"],"within":"1s"},
 "peers":{"listen":"127.0.0.1:71"},"name":"n0"`

func withAgree() string { return strings.Replace(validConfig, `"name":"n0"`, agreeSection, 1) }

func TestAgreeFaultsNameTheKey(t *testing.T) {
	c, err := Parse([]byte(withAgree()), noEnv)
	if err != nil || !c.Agree.Enabled() || c.Agree.Alone != clusterstate.Safe || c.Agree.Timing().Within.String() != "1s" {
		t.Fatalf("%+v %v", c.Agree, err)
	}
	if !c.Agree.MatchesOthers("m7") || c.Agree.MatchesOthers("n7") {
		t.Error("MatchesOthers does not follow agree.others")
	}
	if err := c.CheckNoCluster(); err == nil || !strings.Contains(err.Error(), "key agree:") {
		t.Errorf("on the platform: %v", err)
	}
	for _, f := range []struct{ old, new, key string }{
		{`"cluster":"k"`, `"cluster":""`, "agree.cluster"},
		{`"n2":"127.0.0.1:73"`, `"n2":"127.0.0.1:73","n3":"127.0.0.1:74"`, "agree.voters"},
		{`"n2":"127.0.0.1:73"`, `"n2":"127.0.0.1:72"`, "agree.voters.n2"},
		{`"n2":"127.0.0.1:73"`, `"n2":"10.0.0.1:73"`, "agree.voters.n2"},
		{`"n2":"127.0.0.1:73"`, `"n2":"there"`, "agree.voters.n2"},
		{`"within":"1s"`, `"within":"100ms"`, "agree.within"},
		{`"within":"1s"`, `"within":"soon"`, "agree.within"},
		{`"within":"1s"`, `"within":"1s","alone":"run"`, "agree.alone"},
		{`"within":"1s"`, `"wihtin":"1s"`, "agree"},
		{`["m*"]`, `["["]`, "agree.others.0"},
		{`"name":"n0"`, `"name":"x0"`, "agree.others"},
		{`"name":"n0"`, `"name":"m0"`, "peers.listen"},
		{`{"listen":"127.0.0.1:71"}`, `{}`, "peers.listen"},
		{`{"listen":"127.0.0.1:71"}`, `{"listen":"0.0.0.0:71"}`, "peers.listen"},
		{`{"listen":"127.0.0.1:71"}`, `{"lisen":"127.0.0.1:71"}`, "peers"},
	} {
		_, err := Parse([]byte(strings.Replace(withAgree(), f.old, f.new, 1)), noEnv)
		if err == nil || !strings.Contains(err.Error(), "key "+f.key+":") {
			t.Errorf("%s: %v, want %s", f.new, err, f.key)
		}
	}
	trusted := strings.Replace(withAgree(), `{"listen":"127.0.0.1:71"}`, `{"listen":"10.1.0.1:71","trusted_network":true}`, 1)
	if _, err := Parse([]byte(trusted), noEnv); err != nil {
		t.Errorf("a trusted network: %v", err)
	}
}

func TestLedgerFaultsNameTheKey(t *testing.T) {
	with := func(ledger string) string {
		return strings.Replace(withAgree(), `"name":"n0"`, `"name":"n0","ledger":`+ledger, 1)
	}
	c, err := Parse([]byte(with(`{}`)), noEnv)
	if err != nil || c.Ledger == nil || c.Ledger.FindTimeout() != 200*time.Millisecond || c.Ledger.Limits() != (ledger.Limits{MaxEntries: 1e6, Retention: 24 * time.Hour, Share: 2}) ||
		c.Ledger.Survive != intentlog.DurabilitySite {
		t.Errorf("%+v %v", c.Ledger, err)
	}
	for text, key := range map[string]string{
		`{"keep":"1s"}`: "ledger.keep", `{"keep":"soon"}`: "ledger.keep", `{"find":"1ms"}`: "ledger.find", `{"entries":-1}`: "ledger.entries",
		`{"share":-1}`: "ledger.share", `{"survive":"all"}`: "ledger.survive", `{"kep":"1h"}`: "ledger", `7`: "ledger",
	} {
		if _, err := Parse([]byte(with(text)), noEnv); err == nil || !strings.Contains(err.Error(), "key "+key+":") {
			t.Errorf("%s: %v, want %s", text, err, key)
		}
	}
	alone := strings.Replace(validConfig, `"name":"n0"`, `"name":"n0","ledger":{}`, 1)
	if _, err := ParseStrict([]byte(alone), noEnv); err == nil || !strings.Contains(err.Error(), "key ledger:") {
		t.Errorf("without agree: %v", err)
	}
	if c, err := Parse([]byte(alone), noEnv); err != nil || c.Ledger != nil {
		t.Errorf("on the platform: %v", err)
	}
}

// TestPeersWithoutAgreeAreIgnored checks that the key peers in a platform's file, which may mean
// something else there, does not prevent a start.
func TestPeersWithoutAgreeAreIgnored(t *testing.T) {
	c, err := Parse([]byte(strings.Replace(validConfig, `"name":"n0"`, `"name":"n0","peers":["10.0.0.1"]`, 1)), noEnv)
	if err != nil || c.Agree.Enabled() || c.CheckNoCluster() != nil {
		t.Errorf("%v", err)
	}
}

func TestAgreedContent(t *testing.T) {
	c, err := Parse([]byte(withAgree()), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	content, err := c.Content()
	if err != nil || strings.Contains(content, "zone") || !strings.Contains(content, `"try_limit": 6`) {
		t.Fatalf("%s %v", content, err)
	}
	again, err := ReadContent([]byte(withAgree()))
	if err != nil || again != content || Fingerprint(again) != Fingerprint(content) {
		t.Errorf("ReadContent of the file: %v\n%s", err, again)
	}
	next := strings.Replace(content, `"try_limit": 6`, `"try_limit": 5`, 1)
	agreed, err := c.WithSettings(next)
	if err != nil || agreed.Settings.MaxAttempts != 5 || agreed.Settings.Zone != "z" || c.Settings.MaxAttempts != 6 {
		t.Errorf("%v %+v", err, agreed.Settings)
	}
	for old, key := range map[string]string{`"try_limit": 6`: "settings.limits.try_limt", `"siblings": 3`: "settings.zone", `"repeat": "idempotent"`: "settings.services.0.repeat"} {
		bad := map[string]string{"settings.limits.try_limt": `"try_limt": 6`, "settings.zone": `"siblings": 3, "zone": "z"`, "settings.services.0.repeat": `"repeat": "often"`}[key]
		if _, err := c.WithSettings(strings.Replace(content, old, bad, 1)); err == nil || !strings.Contains(err.Error(), "key "+key+":") {
			t.Errorf("%s: %v", key, err)
		}
	}
	// A reloaded file may have the agreed settings or those it had before, but no other settings
	// and no other cluster.
	change := func(old, new string) Config {
		t.Helper()
		c, err := Parse([]byte(strings.Replace(withAgree(), old, new, 1)), noEnv)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	agreedFile, otherFile := change(`"try_limit":6`, `"try_limit":5`), change(`"try_limit":6`, `"try_limit":4`)
	if err := agreedFile.CheckReload(c, next); err != nil {
		t.Errorf("a file with the agreed settings: %v", err)
	}
	if err := c.CheckReload(c, next); err != nil {
		t.Errorf("an unchanged file: %v", err)
	}
	if err := otherFile.CheckReload(c, next); err == nil || !strings.Contains(err.Error(), "key settings.limits.try_limit:") {
		t.Errorf("%v", err)
	}
	if err := change(`"within":"1s"`, `"within":"3s"`).CheckReload(c, content); err == nil || !strings.Contains(err.Error(), "key agree:") {
		t.Errorf("%v", err)
	}
}
