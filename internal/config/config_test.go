package config

import (
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

const validConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"92094eb940cf389a",
 "known":{"version":4,"full":true,"servers":[{"id":"s","addr":"a:1","zone":"z","kind":"p","cell":1,"state":"in_service","weight":1}]},
 "settings":{"siblings":3,"host_types":["p","d"],"zone":"z",
  "family_info":{"duty_by_kind":["read","write"],"kv_tokens":[100,200],"let_go_by_us":500000,"token_aim_us":[60000.0]},
  "limits":{"try_limit":6,"cancel":true,"probes":true,"conn_idle_us":30000000},"prices":{"probe":0.0032},
  "services":[{"name":"c","goal_time_us":1500000,"deadline_us":6000000,"repeat":"idempotent","credit":3.0}]}}`

func noEnv(string) string { return "" }

// TestNestedAndFlatSettingsAreEqual checks that the nested JSON form and the simulator's flat form
// of the same settings give equal results.
func TestNestedAndFlatSettingsAreEqual(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	flat, err := Settings(Values{"siblings": "3", "host_types": "p,d", "zone": "z", "family_info.duty_by_kind": "read,write",
		"family_info.kv_tokens": "100,200", "family_info.let_go_by_us": "500000", "family_info.token_aim_us": "60000.0",
		"limits.try_limit": "6", "limits.cancel": "true", "limits.probes": "true", "prices.probe": "0.0032", "limits.conn_idle_us": "30000000", "services.count": "1",
		"services.0.name": "c", "services.0.goal_time_us": "1500000", "services.0.deadline_us": "6000000",
		"services.0.repeat": "idempotent", "services.0.credit": "3.0"})
	if err != nil || !reflect.DeepEqual(c.Settings, flat) {
		t.Errorf("%v\n%+v\n%+v", err, c.Settings, flat)
	}
	if !flat.CanProbe || flat.ProbePrice != 0.0032 {
		t.Errorf("probes: %v at %v", flat.CanProbe, flat.ProbePrice)
	}
	if c.Seed != 0x92094eb940cf389a || c.Limits != (Limits{1, 192, 1024}) || c.Known.Version != 4 {
		t.Errorf("got %+v", c)
	}
}

func TestFaultsNameTheKey(t *testing.T) {
	for _, f := range []struct{ old, new, key string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:2",`, `"discovery":"x",`, "discovery"},
		{`"name":"n0"`, `"name":"n0","chat":{"listen":"127.0.0.1:3"}`, "chat.models"},
		{`"name":"n0"`, `"name":"n0","chat":{"listen":"127.0.0.1:3","models":{"m":"none"}}`, "chat.models.m"},
		{`"name":"n0"`, `"name":"n0","chat":{"listen":"127.0.0.1:1","models":{"m":"c"}}`, "chat.listen"},
		{`"seed":"9`, `"seed":"x`, "seed"},
		{`"state":"in_service"`, `"state":"well"`, "known"},
		{`"repeat":"idempotent"`, `"repeat":"often"`, "settings.services.0.repeat"},
		{`"siblings":3`, `"siblings":"few"`, "settings.siblings"},
		{`"siblings":3,`, ``, "settings.siblings"},
		{`"siblings":3`, `"siblings":0`, "settings.siblings"},
		{`"probe":0.0032`, `"cross_zone":-0.1`, "settings.prices.cross_zone"},
		{`"probes":true`, `"probes":"often"`, "settings.limits.probes"},
		{`["read","write"]`, `["read","sing"]`, "settings.family_info.duty_by_kind"},
		{`["read","write"]`, `["read"]`, "settings.family_info.duty_by_kind"}, // the second kind would count as a reader
		{`"try_limit":6`, `"try_limit":0`, "MaxAttempts"},
		{`"name":"c",`, ``, "settings.services.0.name"},
		{`"deadline_us":6000000,`, ``, "settings.services.0.deadline_us"},
		{`"deadline_us":6000000`, `"deadline_us":-6`, "Deadline"},
		{`"name":"n0"`, `"name":"n0","limits":{"sockets":3}`, "limits.sockets"},
		{`"name":"n0"`, `"name":7`, "name"},
	} {
		text := strings.Replace(validConfig, f.old, f.new, 1)
		if _, err := Parse([]byte(text), noEnv); text == validConfig || err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(f.key)) {
			t.Errorf("%s: %v", f.new, err)
		}
	}
}

// TestUnknownKeysInOperatorFile checks that a misspelt key in an operator's file is reported, not
// ignored.
func TestUnknownKeysInOperatorFile(t *testing.T) {
	text := []byte(strings.Replace(validConfig, `"name":"n0"`, `"name":"n0","chatt":{}`, 1))
	if _, err := Parse(text, noEnv); err != nil {
		t.Errorf("the platform's file may hold more: %v", err)
	}
	if _, err := ParseStrict(text, noEnv); err == nil || !strings.Contains(err.Error(), "chatt") {
		t.Errorf("got %v", err)
	}
	if _, err := ParseStrict([]byte(validConfig), noEnv); err != nil {
		t.Error(err)
	}
}

// TestRepositoryFilesAreValid checks the configuration files that the README names.
func TestRepositoryFilesAreValid(t *testing.T) {
	for _, path := range []string{"../../deploy/chat.json", "../../example/config.json"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := ParseStrict(text, noEnv); err != nil || c.Chat.Listen == "" || len(c.Settings.Classes) != 2 {
			t.Errorf("%s: %+v, %v", path, c, err)
		}
	}
}

func TestEnvironmentReplacesMissingKeys(t *testing.T) {
	text := strings.Replace(validConfig, `"listen":"127.0.0.1:1",`, ``, 1)
	c, err := Parse([]byte(text), func(key string) string { return map[string]string{"EDGE_LISTEN": "127.0.0.1:9"}[key] })
	if err != nil || c.Listen != "127.0.0.1:9" {
		t.Errorf("%q, %v", c.Listen, err)
	}
}

// TestMissingKeysAreNamed guards against a truncated file that is accepted as complete, because
// defaults and the environment replace the missing keys.
func TestMissingKeysAreNamed(t *testing.T) {
	inForce, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	env := func(key string) string { return "127.0.0.1:" + strconv.Itoa(len(key)) }
	for _, lost := range []string{`"listen":"127.0.0.1:1",`, `"discovery":"127.0.0.1:2",`, `"cancel":true,`} {
		c, err := Parse([]byte(strings.Replace(validConfig, lost, "", 1)), env)
		if key := strings.Split(lost, `"`)[1]; err != nil || c.CheckMissingKeys(inForce) == nil || !strings.Contains(c.CheckMissingKeys(inForce).Error(), key) {
			t.Errorf("without %s: %v, %v", key, err, c.CheckMissingKeys(inForce))
		}
	}
	if err := inForce.CheckMissingKeys(inForce); err != nil {
		t.Error(err)
	}
}
