// Package config is the one place where configuration is read, checked and given defaults. What is wrong is
// reported with the key at fault.
package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/discovery"
	"standpulley/logic"
)

// Config is all that a dispatcher is told.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Operator  string // a door for operators alone; none if empty
	Seed      uint64
	Limits    Limits
	Known     discovery.List
	Chat      Chat
	Agree     Agree // off unless it names a cluster
	Peers     Peers
	Ledger    *Ledger   // nil: off
	Recovery  *Recovery // nil: off
	Settings  logic.Settings

	rawSettings map[string]any  // the settings of the file, loose
	presentKeys map[string]bool // that the file holds, but for those of lists
}

// Chat sets up the front for the chat API; it is off unless the operator's file has it.
type Chat struct {
	Listen    string            `json:"listen"`
	Models    map[string]string `json:"models"`     // class by model
	MaxOutput int64             `json:"max_output"` // tokens, where a request names no limit
}

// Limits bound the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// file is the form on disk. Settings stay loose until they are flattened: logic.Settings is their only type.
type file struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Operator  string         `json:"operator"`
	Seed      string         `json:"seed"`
	Limits    Limits         `json:"limits"`
	Known     discovery.List `json:"known"`
	Chat      Chat           `json:"chat"`
	// These four only an operator's file has. They are decoded there alone: what others mean by such keys does not matter.
	Agree    jsoniter.RawMessage `json:"agree"`
	Peers    jsoniter.RawMessage `json:"peers"`
	Ledger   jsoniter.RawMessage `json:"ledger"`
	Recovery jsoniter.RawMessage `json:"recovery"`
	Settings map[string]any      `json:"settings"`
}

// FromEnvironment reads the file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_OPERATOR
// stand in for keys that it lacks.
func FromEnvironment() (Config, error) {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return Config{}, &Fault{"EDGE_CONFIG", "not set: it names the configuration file"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text, os.Getenv)
	if err == nil {
		err = c.CheckNoCluster()
	}
	return c, err
}

var strictJSON = jsoniter.Config{DisallowUnknownFields: true}.Froze()

// ParseStrict reads an operator's file, in which a key that is not known is a slip. The platform's may hold more.
func ParseStrict(text []byte, env func(string) string) (Config, error) {
	var f file
	if err := strictJSON.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	if len(f.Ledger) > 0 && len(f.Agree) == 0 {
		return Config{}, &Fault{"ledger", "agree is not set: the voters hold the ledger"}
	}
	if len(f.Recovery) > 0 && len(f.Agree) == 0 {
		return Config{}, &Fault{"recovery", "agree is not set: a dispatcher that goes by itself has nobody to come back with"}
	}
	return Parse(text, env)
}

// Parse reads a configuration; env gives what the file lacks.
func Parse(text []byte, env func(string) string) (Config, error) {
	var f file
	if err := jsoniter.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Operator: f.Operator, Limits: f.Limits, Known: f.Known, Chat: f.Chat}
	for _, d := range []struct {
		to  *string
		key string
	}{{&c.Name, "EDGE_NAME"}, {&c.Listen, "EDGE_LISTEN"}, {&c.Discovery, "EDGE_DISCOVERY"}, {&c.Operator, "EDGE_OPERATOR"}} {
		if *d.to == "" {
			*d.to = env(d.key)
		}
	}
	if err := c.checkAddresses(); err != nil {
		return c, err
	}
	c.Seed = rand.Uint64() // where none is told
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return c, &Fault{"seed", fmt.Sprintf("%q is not a number of hex digits", f.Seed)}
		}
		c.Seed = seed
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return c, &Fault{"limits", "a negative figure"}
	}
	c.Limits.setDefaults()
	if c.Limits.Sockets < minSockets {
		return c, &Fault{"limits.sockets", fmt.Sprintf("%d are too few: at least %d", c.Limits.Sockets, minSockets)}
	}
	if err := c.Known.Check(); err != nil {
		return c, &Fault{"known", err.Error()}
	}
	c.Known.Full = true
	if err := c.parseAgree(f); err != nil {
		return c, err
	}
	val := Values{}
	flatten(val, "", f.Settings)
	c.presentKeys, c.rawSettings = f.presentKeys(val), f.Settings
	return c, c.applySettings(val)
}

// settle takes settings up and checks them against all else.
func (c *Config) applySettings(val Values) error {
	settings, err := Settings(val)
	if fault, ok := err.(*Fault); ok {
		return &Fault{"settings." + fault.Key, fault.Text}
	}
	c.Settings = settings
	for model, class := range c.Chat.Models {
		if !slices.ContainsFunc(settings.Classes, func(k logic.Class) bool { return k.Name == class }) {
			return &Fault{"chat.models." + model, fmt.Sprintf("%q is not a class", class)}
		}
	}
	if _, err := logic.New(settings, c.Seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// keys gives what a file holds, of the keys that it can't do without once it had them.
func (f *file) presentKeys(settings Values) map[string]bool {
	keys := map[string]bool{"name": f.Name != "", "listen": f.Listen != "", "discovery": f.Discovery != "",
		"operator": f.Operator != "", "seed": f.Seed != "", "limits": f.Limits != Limits{}}
	for path := range settings {
		if !strings.HasPrefix(path, "services.") && !strings.HasPrefix(path, "tenants.") {
			keys["settings."+path] = true
		}
	}
	return keys
}

// CheckMissingKeys names a key that the file in force has and this one has lost: half a file must not be taken for a whole one.
func (c Config) CheckMissingKeys(inForce Config) error {
	for _, key := range slices.Sorted(maps.Keys(inForce.presentKeys)) {
		if inForce.presentKeys[key] && !c.presentKeys[key] {
			return &Fault{key, "missing, and the file in force has it"}
		}
	}
	return nil
}

// DiffersInDiscoveryOnly tells whether what serves o can serve c with another watch. The seed and the list of
// replicas are for a start.
func (c Config) DiffersInDiscoveryOnly(o Config) bool {
	o.Name, o.Discovery, o.Seed, o.Known, o.presentKeys, o.rawSettings = c.Name, c.Discovery, c.Seed, c.Known, c.presentKeys, c.rawSettings
	return reflect.DeepEqual(c, o)
}

const (
	minSockets       = 64
	defaultMaxOutput = 500 // tokens
)

// checkAddresses wants at least one front, and replicas from discovery or from the file.
func (c *Config) checkAddresses() error {
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"operator", c.Operator}, {"chat.listen", c.Chat.Listen}} {
		if a.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return &Fault{a.key, fmt.Sprintf("%q is not host:port", a.addr)}
		}
	}
	switch {
	case c.Listen == "" && c.Chat.Listen == "":
		return &Fault{"listen", "neither this nor chat.listen is set"}
	case c.Listen == c.Chat.Listen:
		return &Fault{"chat.listen", "the same address as listen"}
	case c.Operator != "" && (c.Operator == c.Listen || c.Operator == c.Chat.Listen):
		return &Fault{"operator", "clients have this address"}
	case c.Discovery == "" && len(c.Known.Servers) == 0:
		return &Fault{"discovery", "not set, and known.servers lists no replica"}
	case c.Chat.Listen != "" && len(c.Chat.Models) == 0:
		return &Fault{"chat.models", "no model is served"}
	case c.Chat.MaxOutput < 0:
		return &Fault{"chat.max_output", "a negative figure"}
	}
	if c.Chat.MaxOutput == 0 {
		c.Chat.MaxOutput = defaultMaxOutput
	}
	return nil
}

// defaults are the limits of a small machine.
func (l *Limits) setDefaults() {
	if l.Cores == 0 {
		l.Cores = 1
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = 192
	}
	if l.Sockets == 0 {
		l.Sockets = 1024
	}
}

// Flatten gives every key of a configuration with its value as text; nothing gives none.
func Flatten(text []byte) (Values, error) {
	val := Values{}
	if len(text) == 0 {
		return val, nil
	}
	var all map[string]any
	if err := jsoniter.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	flatten(val, "", all)
	return val, nil
}

// flatten spells nested settings as the simulator's wire does: paths with dots, lists of simple values joined by
// commas, lists of objects by .count and their numbers.
func flatten(to Values, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, x := range v {
			flatten(to, joinPath(path, key), x)
		}
	case []any:
		words := make([]string, 0, len(v))
		objects := false
		for i, x := range v {
			if _, ok := x.(map[string]any); ok {
				objects = true
				flatten(to, joinPath(path, strconv.Itoa(i)), x)
			} else {
				words = append(words, formatValue(x))
			}
		}
		if objects || len(v) == 0 {
			to[path+".count"] = strconv.Itoa(len(v))
		}
		to[path] = strings.Join(words, ",")
	default:
		to[path] = formatValue(v)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func formatValue(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}
