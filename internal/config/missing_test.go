package config

import (
	"strings"
	"testing"
)

// fullConfig sets every key that a next file may not lose, with a class of each effect and a tenant.
const fullConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","operator":"127.0.0.1:4","seed":"1","limits":{"cores":0.5,"memory_mb":96,"sockets":512},
 "known":{"version":4,"full":true,"servers":[{"id":"s","addr":"a:1","zone":"z","kind":"p","cell":1,"state":"in_service","weight":1}]},
 "chat":{"listen":"127.0.0.1:3","models":{"m":"transfer"},"max_output":400},
 "settings":{"siblings":3,"host_types":["p","d"],"zone":"z","family_info":{"duty_by_kind":["read","write"]},"limits":{"try_limit":6},
  "tenants":[{"name":"t1","quota_rps":5}],
  "services":[{"name":"enquiry","goal_time_us":1500000,"deadline_us":6000000,"repeat":"idempotent","key_scope":"all","window_us":5000000,"credit":3,"late_worth":0.3,"aim_stretch":2},
   {"name":"transfer","goal_time_us":1400000,"deadline_us":5000000,"repeat":"deduplicated","key_scope":"zone","window_us":4000000,"credit":2,"late_worth":0.2}]}}`

// TestFileThatLosesAKeyIsRejected guards against a default in place of a lost key: a deduplicated
// class without key_scope was repeated in other zones, where it ran again (review case 2).
func TestFileThatLosesAKeyIsRejected(t *testing.T) {
	inForce := parseOK(t, fullConfig)
	for _, f := range []struct{ old, new, key string }{
		{`"key_scope":"zone",`, ``, "settings.services.1.key_scope"},
		{`"key_scope":"zone"`, `"key_scope":""`, "settings.services.1.key_scope"},
		{`"key_scope":"zone"`, `"key_scope":null`, "settings.services.1.key_scope"},
		{`"key_scope":"all",`, ``, "settings.services.0.key_scope"},
		{`"window_us":4000000,`, ``, "settings.services.1.window_us"},
		{`"credit":2,`, ``, "settings.services.1.credit"},
		{`,"late_worth":0.2`, ``, "settings.services.1.late_worth"},
		{`"name":"transfer","goal_time_us":1400000`, `"goal_time_us":1400000`, "settings.services.1.name"},
		{`,"quota_rps":5`, ``, "settings.tenants.0.quota_rps"},
		{`"cores":0.5,`, ``, "limits.cores"},
		{`"memory_mb":96,`, ``, "limits.memory_mb"},
		{`,"sockets":512`, ``, "limits.sockets"},
		{`,"max_output":400`, ``, "chat.max_output"},
		{`"chat":{"listen":"127.0.0.1:3","models":{"m":"transfer"},"max_output":400},`, ``, "chat."},
		{`"known":{`, `"known-":{`, "known"},
		// A new class has what all classes in force have.
		{`"name":"transfer","goal_time_us":1400000,"deadline_us":5000000,"repeat":"deduplicated","key_scope":"zone","window_us":4000000`,
			`"name":"transfer","goal_time_us":1400000,"deadline_us":5000000,"repeat":"at_most_once","key_scope":"zone","window_us":4000000,"credit":2,"late_worth":0.2},
			 {"name":"new","goal_time_us":1400000,"deadline_us":5000000,"repeat":"idempotent","key_scope":"zone"`, "settings.services.2.window_us"},
	} {
		if err := reloadError(t, inForce, f.old, f.new); err == nil || !strings.Contains(err.Error(), f.key) {
			t.Errorf("%s in place of %s: %v, want a fault that names %s", f.new, f.old, err, f.key)
		}
	}
}

// TestWholeEntriesMayBeDropped checks that a class, a tenant and the key that the wire page lets be
// absent may leave.
func TestWholeEntriesMayBeDropped(t *testing.T) {
	inForce := parseOK(t, fullConfig)
	for _, f := range []struct{ old, new string }{
		{`,"aim_stretch":2`, ``},
		{`{"name":"t1","quota_rps":5}`, ``},
		{`"name":"enquiry"`, `"name":"question"`},
		{`{"name":"enquiry","goal_time_us":1500000,"deadline_us":6000000,"repeat":"idempotent","key_scope":"all","window_us":5000000,"credit":3,"late_worth":0.3,"aim_stretch":2},`, ``},
		{`"repeat":"deduplicated"`, `"repeat":"at_most_once"`},
	} {
		if err := reloadError(t, inForce, f.old, f.new); err != nil {
			t.Errorf("%s in place of %s: %v", f.new, f.old, err)
		}
	}
}

// TestDeduplicatedClassNeedsItsScope guards against a first file, or a proposal, in which the
// missing key_scope of a deduplicated class means all servers.
func TestDeduplicatedClassNeedsItsScope(t *testing.T) {
	const text = `"repeat":"idempotent"`
	for _, bad := range []string{`"repeat":"deduplicated","window_us":5000000`, `"repeat":"deduplicated","key_scope":null`, `"repeat":"deduplicated","key_scope":"region"`} {
		_, err := Parse([]byte(strings.Replace(validConfig, text, bad, 1)), noEnv)
		if err == nil || !strings.Contains(err.Error(), "key settings.services.0.key_scope:") {
			t.Errorf("%s: %v", bad, err)
		}
	}
	if _, err := Parse([]byte(strings.Replace(validConfig, text, `"repeat":"deduplicated","key_scope":"cell"`, 1)), noEnv); err != nil {
		t.Error(err)
	}
}

func parseOK(t *testing.T, text string) Config {
	t.Helper()
	c, err := Parse([]byte(text), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// reloadError returns why the full file with one part replaced may not follow the one in force.
func reloadError(t *testing.T, inForce Config, old, replacement string) error {
	t.Helper()
	text := strings.Replace(fullConfig, old, replacement, 1)
	if text == fullConfig {
		t.Fatalf("%s is not in the file", old)
	}
	next, err := Parse([]byte(text), noEnv)
	if err != nil {
		return err
	}
	return next.CheckMissingKeys(inForce)
}
