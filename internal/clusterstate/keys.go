package clusterstate

import (
	"maps"
	"slices"
	"strings"
)

// Effect is the effect of two dispatchers acting on different values of one key.
type Effect uint8

// The effects.
const (
	Unknown  Effect = iota // the key is not one of the settings
	Local                  // the key belongs to each dispatcher alone and is never agreed on
	Harmless               // values may differ for a while: they change what answers earn, not what is allowed
	Harmful                // dispatchers must not act on both values at once: they conflict
)

// Key is one row of the table of keys. In Path, * matches one part.
type Key struct {
	Path   string
	Effect Effect
	Why    string
}

// Keys lists all keys that settings may hold. A version with any other key is turned down.
var Keys = []Key{
	{"zone", Local, "where this dispatcher stands"},

	{"siblings", Harmful, "shares of cold servers and of repeats are counted by it"},
	{"registry_mode", Harmful, "the load on the register is summed over the fleet"},
	{"host_types", Harmful, "what a server of a kind is sent"},
	{"family_info.duty_by_kind", Harmful, "what a server of a kind is sent"},
	{"family_info.kv_tokens", Harmful, "a server's memory is shared by all dispatchers"},
	{"family_info.let_go_by_us", Harmful, "how long anything may be held"},
	{"family_info.read_in_place", Harmful, "what a writer is sent"},
	{"family_info.resume", Harmful, "whether the rest of a stream is sent out again"},
	{"family_info.aim_us_per_1000_prompt_tokens", Harmless, "what an answer earns"},
	{"family_info.token_aim_us", Harmless, "what an answer earns"},
	{"over_share_worth", Harmful, "a price"},
	{"prices.*", Harmful, "a price"},
	{"limits.try_limit", Harmful, "attempts are summed over the fleet"},
	{"limits.max_open", Harmful, "a limit"},
	{"limits.cancel", Harmful, "whether an attempt may be given up"},
	{"limits.probes", Harmful, "probes are summed over the fleet"},
	{"limits.retry_after", Harmless, "what clients are told"},
	{"limits.max_retry_after_us", Harmless, "what clients are told"},
	{"limits.conn_idle_us", Harmless, "what is known of the machines"},
	{"limits.connect_timeout_us", Harmless, "what is known of the network"},
	{"obligations.*", Harmful, "figures for cold servers, drains and answers"},
	{"services.count", Harmful, "which classes there are"},
	{"services", Harmful, "which classes there are"},
	{"services.*.name", Harmful, "which classes there are"},
	{"services.*.repeat", Harmful, "whether a class may repeat"},
	{"services.*.key_scope", Harmful, "whether a class may repeat"},
	{"services.*.window_us", Harmful, "whether a class may repeat"},
	{"services.*.deadline_us", Harmful, "a deadline"},
	{"services.*.goal_time_us", Harmless, "what an answer earns"},
	{"services.*.late_worth", Harmless, "what an answer earns"},
	{"services.*.credit", Harmless, "what an answer earns"},
	{"services.*.stream", Harmless, "how an answer comes"},
	{"tenants.count", Harmful, "shares are summed over the fleet"},
	{"tenants", Harmful, "shares are summed over the fleet"},
	{"tenants.*.name", Harmful, "shares are summed over the fleet"},
	{"tenants.*.quota_rps", Harmful, "shares are summed over the fleet"},
}

// EffectOf returns the effect of a key by the table, with the reason.
func EffectOf(path string) (Effect, string) {
	for _, k := range Keys {
		if matches(k.Path, path) {
			return k.Effect, k.Why
		}
	}
	return Unknown, "not one of the settings"
}

func matches(pattern, path string) bool {
	for {
		p, restP, moreP := strings.Cut(pattern, ".")
		s, restS, moreS := strings.Cut(path, ".")
		if p != "*" && p != s || moreP != moreS {
			return false
		}
		if !moreP {
			return true
		}
		pattern, path = restP, restS
	}
}

// DifferingKeys returns the sorted keys whose values differ. A key that only b has counts as empty
// in a.
func DifferingKeys(a, b map[string]string) []string {
	var keys []string
	for k, v := range a {
		if b[k] != v {
			keys = append(keys, k)
		}
	}
	for k, v := range b {
		if _, ok := a[k]; !ok && v != "" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// ConflictingKeys returns the keys whose values differ and on which no two dispatchers may act
// differently. An unknown key conflicts.
func ConflictingKeys(a, b map[string]string) []string {
	return slices.DeleteFunc(DifferingKeys(a, b), func(key string) bool {
		effect, _ := EffectOf(key)
		return effect == Harmless || effect == Local
	})
}

// CheckKeys returns a fault for the first key that may not be part of a version, nil if there is
// none. For an unknown key, the fault suggests the most similar known one.
func CheckKeys(keys map[string]string) *Fault {
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		switch effect, why := EffectOf(key); effect {
		case Unknown:
			return &Fault{Key: key, Reason: why + suggestion(key)}
		case Local:
			return &Fault{Key: key, Reason: "not agreed on: it is " + why}
		}
	}
	return nil
}

// suggestion returns the end of an error text that names the known key whose last part is most
// similar, or nothing where fewer than four letters agree.
func suggestion(key string) string {
	last := key[strings.LastIndexByte(key, '.')+1:]
	best, longest := "", 3
	for _, k := range Keys {
		if n := commonLetters(last, k.Path[strings.LastIndexByte(k.Path, '.')+1:]); n > longest {
			best, longest = k.Path, n
		}
	}
	if best == "" {
		return ""
	}
	return "; is " + best + " meant?"
}

// commonLetters returns the combined length of the common prefix and suffix of two words.
func commonLetters(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	m := 0
	for m < len(a)-n && m < len(b)-n && a[len(a)-1-m] == b[len(b)-1-m] {
		m++
	}
	return n + m
}
