// Package config is the one place where the configuration is read, checked and given defaults.
// Errors name the key at fault.
package config

import (
	"fmt"
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

// Config is the whole configuration of a dispatcher.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Operator  string // address of the admin endpoint; none if empty
	Seed      uint64
	Limits    Limits
	Known     discovery.List // replicas known before discovery answers
	Chat      Chat
	Agree     Agree // off unless a cluster is named
	Peers     Peers
	Ledger    *Ledger   // nil: off
	Recovery  *Recovery // nil: off
	Settings  logic.Settings

	rawSettings map[string]any // the settings as decoded from the file
	present     presentKeys
}

// Chat configures the front for the chat API. It is off unless the operator's file has it.
type Chat struct {
	Listen    string            `json:"listen"`
	Models    map[string]string `json:"models"`     // class by model
	MaxOutput int64             `json:"max_output"` // tokens, for requests without a limit of their own
}

// Limits are the resources of the machine that the program may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// file is the configuration as stored on disk. Settings are decoded into a plain map and flattened
// later, as logic.Settings is their only type.
type file struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Operator  string         `json:"operator"`
	Seed      string         `json:"seed"`
	Limits    Limits         `json:"limits"`
	Known     discovery.List `json:"known"`
	Chat      Chat           `json:"chat"`
	// Only an operator's file has the next four. They are decoded only if agree is set, because a
	// platform's file may use keys of the same names for something else.
	Agree    jsoniter.RawMessage `json:"agree"`
	Peers    jsoniter.RawMessage `json:"peers"`
	Ledger   jsoniter.RawMessage `json:"ledger"`
	Recovery jsoniter.RawMessage `json:"recovery"`
	Settings map[string]any      `json:"settings"`
}

// FromEnvironment reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
// EDGE_OPERATOR replace keys that the file lacks.
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

// ParseStrict parses an operator's file, in which an unknown key is an error. A platform's file may
// have other keys, so Parse accepts them.
func ParseStrict(text []byte, env func(string) string) (Config, error) {
	var f file
	if err := strictJSON.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	if len(f.Ledger) > 0 && len(f.Agree) == 0 {
		return Config{}, &Fault{"ledger", "agree is not set: the voters hold the ledger"}
	}
	if len(f.Recovery) > 0 && len(f.Agree) == 0 {
		return Config{}, &Fault{"recovery", "agree is not set: a dispatcher without a cluster has no peers to recover with"}
	}
	return Parse(text, env)
}

// Parse parses a configuration; env returns the environment variables for keys that the file lacks.
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
	c.Seed = rand.Uint64() // unless the file sets one
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return c, &Fault{"seed", fmt.Sprintf("%q is not a hexadecimal number", f.Seed)}
		}
		c.Seed = seed
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return c, &Fault{"limits", "must not be negative"}
	}
	c.Limits.setDefaults()
	if c.Limits.Sockets < minSockets {
		return c, &Fault{"limits.sockets", fmt.Sprintf("%d is too low, the minimum is %d", c.Limits.Sockets, minSockets)}
	}
	if err := c.Known.Check(); err != nil {
		return c, &Fault{"known", err.Error()}
	}
	c.Known.Full = true
	if err := c.parseAgree(f); err != nil {
		return c, err
	}
	values := Values{}
	flatten(values, "", f.Settings)
	c.present, c.rawSettings = f.presentKeys(values), f.Settings
	return c, c.applySettings(values)
}

// applySettings decodes settings into c and checks them against the rest of the configuration.
func (c *Config) applySettings(values Values) error {
	settings, err := Settings(values)
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

// DiffersInDiscoveryOnly reports whether a program that serves o can serve c by changing only its
// discovery watch. The seed and the known replicas are ignored, as they matter only at a start.
func (c Config) DiffersInDiscoveryOnly(o Config) bool {
	o.Name, o.Discovery, o.Seed, o.Known, o.present, o.rawSettings = c.Name, c.Discovery, c.Seed, c.Known, c.present, c.rawSettings
	return reflect.DeepEqual(c, o)
}

const (
	minSockets       = 64
	defaultMaxOutput = 500 // tokens
)

// checkAddresses checks the addresses. At least one front must be set, and replicas must come from
// discovery or from the file.
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
		return &Fault{"operator", "the same address as listen or chat.listen"}
	case c.Discovery == "" && len(c.Known.Servers) == 0:
		return &Fault{"discovery", "not set, and known.servers lists no replica"}
	case c.Chat.Listen != "" && len(c.Chat.Models) == 0:
		return &Fault{"chat.models", "no model is served"}
	case c.Chat.MaxOutput < 0:
		return &Fault{"chat.max_output", "must not be negative"}
	}
	if c.Chat.MaxOutput == 0 {
		c.Chat.MaxOutput = defaultMaxOutput
	}
	return nil
}

// setDefaults fills in the limits of a small machine.
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

// Flatten returns every key of a configuration with its value as text. An empty text has no keys.
func Flatten(text []byte) (Values, error) {
	values := Values{}
	if len(text) == 0 {
		return values, nil
	}
	var all map[string]any
	if err := jsoniter.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	flatten(values, "", all)
	return values, nil
}

// flatten converts nested settings to the simulator's wire form: paths with dots, lists of simple
// values joined by commas, and lists of objects as .count and a path per index.
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
