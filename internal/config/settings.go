package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"standpulley/logic"
)

// Fault is an error in a configuration: the key at fault and what is wrong with its value.
type Fault struct{ Key, Text string }

func (f *Fault) Error() string { return fmt.Sprintf("key %s: %s", f.Key, f.Text) }

// Values holds settings by path, in the form of the simulator's wire. Nested JSON is flattened into
// it, so that both forms use the same mapping in Settings.
type Values map[string]string

// decoder reads Values and keeps the first fault.
type decoder struct {
	values Values
	err    *Fault
}

func (c *decoder) fail(key, text string) {
	if c.err == nil {
		c.err = &Fault{key, text}
	}
}

func (c *decoder) number(path string) float64 {
	text, ok := c.values[path]
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		c.fail(path, fmt.Sprintf("%q is not a number", text))
	}
	return v
}

func micros(v float64) time.Duration {
	return time.Duration(max(min(v*1000, math.MaxInt64/4), -math.MaxInt64/4))
}

func (c *decoder) duration(path string) time.Duration { return micros(c.number(path)) }

func (c *decoder) boolean(path string) bool {
	switch c.values[path] {
	case "", "false", "0":
		return false
	case "true", "1":
		return true
	}
	c.fail(path, fmt.Sprintf("%q is not a bool", c.values[path]))
	return false
}

func (c *decoder) list(path string) []string {
	if c.values[path] == "" {
		return nil
	}
	return strings.Split(c.values[path], ",")
}

// element returns the i-th number of a list. The last number also applies to all further indexes.
func (c *decoder) element(path string, i int) float64 {
	l := c.list(path)
	if len(l) == 0 {
		return 0
	}
	v, err := strconv.ParseFloat(l[min(i, len(l)-1)], 64)
	if err != nil {
		c.fail(path, fmt.Sprintf("%q holds what is not a number", c.values[path]))
	}
	return v
}

// count returns the length of a list of objects.
func (c *decoder) count(path string) int {
	n := c.number(path + ".count")
	if n < 0 || n > 10000 {
		c.fail(path+".count", "out of range")
		return 0
	}
	return int(n)
}

func enum[T any](c *decoder, path string, known map[string]T) (v T) {
	if text, ok := c.values[path]; ok {
		if v, ok = known[text]; !ok {
			c.fail(path, fmt.Sprintf("%q is not known", text))
		}
	}
	return v
}

var (
	roles   = map[string]logic.Role{"read": logic.Reader, "write": logic.Writer, "both": logic.Mixed}
	repeats = map[string]logic.Repeat{"idempotent": logic.Safe, "deduplicated": logic.Keyed,
		"at_most_once": logic.Unsafe}
	scopes = map[string]logic.Scope{"all": logic.AllServers, "zone": logic.SameZone, "cell": logic.SameCell}
)

// Settings converts values to logic.Settings, the only type that holds decoded settings.
func Settings(values Values) (logic.Settings, error) {
	c, s := &decoder{values: values}, &logic.Settings{}
	s.Siblings = int(c.number("siblings"))
	s.Zone = c.values["zone"]
	duties := c.list("family_info.duty_by_kind")
	for i, name := range c.list("host_types") {
		k := logic.Kind{Name: name, MemoryTokens: int64(c.element("family_info.kv_tokens", i))}
		if i >= len(duties) {
			c.fail("family_info.duty_by_kind", fmt.Sprintf("missing for %q, number %d of host_types", name, i))
			break
		}
		role, ok := roles[duties[i]]
		if !ok {
			c.fail("family_info.duty_by_kind", fmt.Sprintf("%q is not known", duties[i]))
		}
		k.Role = role
		s.Kinds = append(s.Kinds, k)
	}
	for i := range c.count("services") {
		p := fmt.Sprintf("services.%d.", i)
		s.Classes = append(s.Classes, logic.Class{
			Name: c.values[p+"name"], Aim: c.duration(p + "goal_time_us"), Deadline: c.duration(p + "deadline_us"),
			AimPer1K:  micros(c.element("family_info.aim_us_per_1000_prompt_tokens", i)),
			TokenAim:  micros(c.element("family_info.token_aim_us", i)),
			LateWorth: c.number(p + "late_worth"), Worth: c.number(p + "credit"),
			Repeat: enum(c, p+"repeat", repeats), Scope: enum(c, p+"key_scope", scopes),
			Window: c.duration(p + "window_us"),
		})
		c.requireInClass(p)
	}
	for i := range c.count("tenants") {
		p := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, logic.Tenant{Name: c.values[p+"name"], QuotaRPS: c.number(p + "quota_rps")})
	}
	s.OverQuotaWorth = c.number("over_share_worth")
	s.CrossZonePrice = c.number("prices.cross_zone")
	s.ReadInPlace = c.boolean("family_info.read_in_place")
	s.CanCancel = c.boolean("limits.cancel")
	s.CanProbe = c.boolean("limits.probes")
	s.ProbePrice = c.number("prices.probe")
	s.ListOnRequest = c.values["registry_mode"] == "on_request"
	s.MaxAttempts = int(c.number("limits.try_limit"))
	if c.boolean("limits.retry_after") {
		s.MaxRetryAfter = c.duration("limits.max_retry_after_us")
	}
	s.ReleaseWithin = c.duration("family_info.let_go_by_us")
	s.ColdFrom = c.number("obligations.cold_from")
	s.RampTime = c.duration("obligations.ramp_time_us")
	s.FallMultiple = c.number("obligations.fall_multiple")
	s.FallTime = c.duration("obligations.fall_us")
	s.ListPollInterval = c.duration("obligations.ask_every_us")
	s.DrainGrace = c.duration("obligations.drain_grace_us")
	s.AnswerSlack = c.duration("obligations.answer_slack_us")
	s.ConnIdle = c.duration("limits.conn_idle_us")
	s.ConnectTimeout = c.duration("limits.connect_timeout_us")
	s.MaxOpen = int(c.number("limits.max_open"))
	s.Resume = c.boolean("family_info.resume")
	if s.Siblings < 1 {
		c.fail("siblings", "the setting must be the number of dispatchers, 1 or more")
	}
	for _, path := range slices.Sorted(maps.Keys(values)) {
		if strings.HasPrefix(path, "prices.") && c.number(path) < 0 {
			c.fail(path, "a price may not be negative")
		}
	}
	if c.err != nil {
		return *s, c.err
	}
	return *s, nil
}
