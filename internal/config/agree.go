package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"path"
	"reflect"
	"slices"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/clusterstate"
)

// Agree configures the cluster in which dispatchers agree on settings. It is off if the operator's
// file lacks it.
type Agree struct {
	Cluster string                       `json:"cluster"` // name of the cluster
	Voters  map[string]string            `json:"voters"`  // addresses by dispatcher name; three or five
	Others  []string                     `json:"others"`  // names or patterns of names of the other dispatchers
	Within  string                       `json:"within"`  // time after which no dispatcher acts on a superseded version
	Alone   clusterstate.LeaseLossPolicy `json:"alone"`   // what a dispatcher does after it has lost contact
	Lists   *Lists                       `json:"lists"`   // nil: each dispatcher uses the list of its own registry
}

// Lists configures how dispatchers agree on the list of replicas.
type Lists struct {
	Readers int     `json:"readers"`  // how many dispatchers read the registry at once; 2 if not set
	NamedBy string  `json:"named_by"` // ByAgreed (default): the agreed list names a replica; ByOwn: the own registry must name it too
	Bulk    float64 `json:"bulk"`     // share of a role or zone that may leave at once without a second reading; 0.5 if not set
}

// The values of Lists.NamedBy.
const (
	ByAgreed = "agreed"
	ByOwn    = "own"
)

func (l *Lists) check() error {
	if l.Readers == 0 {
		l.Readers = 2
	}
	if l.NamedBy == "" {
		l.NamedBy = ByAgreed
	}
	if l.Bulk == 0 {
		l.Bulk = 0.5
	}
	switch {
	case l.Readers < 1 || l.Readers > 16:
		return &Fault{"agree.lists.readers", fmt.Sprintf("%d is not between 1 and 16", l.Readers)}
	case l.NamedBy != ByAgreed && l.NamedBy != ByOwn:
		return &Fault{"agree.lists.named_by", fmt.Sprintf("%q is neither %s nor %s", l.NamedBy, ByAgreed, ByOwn)}
	case l.Bulk < 0 || l.Bulk > 1:
		return &Fault{"agree.lists.bulk", "not between 0 and 1"}
	}
	return nil
}

// Peers configures the address at which other dispatchers connect to this one.
type Peers struct {
	Listen         string `json:"listen"`
	TrustedNetwork bool   `json:"trusted_network"` // everyone who can reach the address is trusted
}

// VoterNames returns the sorted names of the voters.
func (a Agree) VoterNames() []string { return slices.Sorted(maps.Keys(a.Voters)) }

// Enabled reports whether the dispatcher belongs to a cluster.
func (a Agree) Enabled() bool { return a.Cluster != "" }

// Timing returns the timeouts and intervals that follow from Within.
func (a Agree) Timing() clusterstate.Timing {
	within, err := time.ParseDuration(a.Within)
	if err != nil {
		within = clusterstate.DefaultWithin // only if Within is not set, as checkAgree rejects invalid ones
	}
	return clusterstate.TimingOf(within)
}

// CheckNoCluster rejects a cluster on a platform, where dispatchers share nothing.
func (c Config) CheckNoCluster() error {
	if c.Agree.Enabled() {
		return &Fault{"agree", "not allowed where the environment (EDGE_CONFIG) configures the program: dispatchers there may not talk to each other"}
	}
	return nil
}

// parseAgree decodes and checks the sections agree, peers, ledger and recovery. Without agree the
// other three are ignored.
func (c *Config) parseAgree(f file) error {
	if len(f.Agree) == 0 {
		return nil
	}
	if err := strictJSON.Unmarshal(f.Agree, &c.Agree); err != nil {
		return &Fault{"agree", err.Error()}
	}
	if len(f.Peers) > 0 {
		if err := strictJSON.Unmarshal(f.Peers, &c.Peers); err != nil {
			return &Fault{"peers", err.Error()}
		}
	}
	if len(f.Ledger) > 0 {
		c.Ledger = &Ledger{}
		if err := strictJSON.Unmarshal(f.Ledger, c.Ledger); err != nil {
			return &Fault{"ledger", err.Error()}
		}
		if err := c.Ledger.check(); err != nil {
			return err
		}
	}
	if len(f.Recovery) > 0 {
		c.Recovery = &Recovery{}
		if err := strictJSON.Unmarshal(f.Recovery, c.Recovery); err != nil {
			return &Fault{"recovery", err.Error()}
		}
		if err := c.Recovery.check(c.Agree.Lists); err != nil {
			return err
		}
	}
	return c.checkAgree()
}

// checkAgree checks the sections agree and peers and fills in defaults.
func (c *Config) checkAgree() error {
	a := &c.Agree
	if a.Cluster == "" {
		return &Fault{"agree.cluster", "missing: the cluster's name"}
	}
	if c.Name == "" {
		return &Fault{"name", "missing: dispatchers in a cluster know each other by name"}
	}
	if n := len(a.Voters); n != 3 && n != 5 {
		return &Fault{"agree.voters", fmt.Sprintf("%d voters are set, there must be three or five", n)}
	}
	seen := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(a.Voters)) {
		key := "agree.voters." + name
		if err := c.checkPeer(key, a.Voters[name]); err != nil {
			return err
		}
		if other, twice := seen[a.Voters[name]]; twice {
			return &Fault{key, "the same address as voter " + other}
		}
		seen[a.Voters[name]] = name
	}
	for i, pattern := range a.Others {
		if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
			return &Fault{fmt.Sprintf("agree.others.%d", i), fmt.Sprintf("%q is neither a name nor a pattern", pattern)}
		}
	}
	_, votes := a.Voters[c.Name]
	switch {
	case !votes && !a.MatchesOthers(c.Name):
		return &Fault{"agree.others", fmt.Sprintf("this dispatcher, %q, is neither a voter nor among them", c.Name)}
	case votes && c.Peers.Listen == "":
		return &Fault{"peers.listen", "missing: this dispatcher is a voter"}
	case !votes && c.Peers.Listen != "":
		return &Fault{"peers.listen", "set, but this dispatcher is not a voter, so no other dispatcher connects to it"}
	}
	if votes {
		if err := c.checkPeer("peers.listen", c.Peers.Listen); err != nil {
			return err
		}
	}
	if a.Within != "" {
		within, err := time.ParseDuration(a.Within)
		if err == nil {
			err = clusterstate.TimingOf(within).Check()
		}
		if err != nil {
			return &Fault{"agree.within", err.Error()}
		}
	}
	if a.Lists != nil {
		if err := a.Lists.check(); err != nil {
			return err
		}
	}
	if a.Alone == "" {
		a.Alone = clusterstate.Safe
	}
	if !a.Alone.Valid() {
		return &Fault{"agree.alone", fmt.Sprintf("%q is not one of stop, safe and hold", a.Alone)}
	}
	return nil
}

// MatchesOthers reports whether Others contains a name or a pattern that matches it.
func (a Agree) MatchesOthers(name string) bool {
	return slices.ContainsFunc(a.Others, func(pattern string) bool { ok, _ := path.Match(pattern, name); return ok })
}

// checkPeer checks the address of a dispatcher. It must be a loopback address unless the network is
// trusted.
func (c *Config) checkPeer(key, addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return &Fault{key, fmt.Sprintf("%q is not host:port", addr)}
	}
	if ip, err := netip.ParseAddr(host); (err != nil || !ip.IsLoopback()) && !c.Peers.TrustedNetwork {
		return &Fault{key, fmt.Sprintf("%q is not a loopback address, and peers.trusted_network is not set: whoever reaches it could vote", addr)}
	}
	return nil
}

// Content returns the settings of the file in the form on which dispatchers agree: JSON with sorted
// keys, without the settings that are local to each dispatcher.
func (c Config) Content() (string, error) { return marshalContent(c.rawSettings) }

func marshalContent(settings map[string]any) (string, error) {
	shared := maps.Clone(settings)
	maps.DeleteFunc(shared, func(key string, _ any) bool {
		effect, _ := clusterstate.EffectOf(key)
		return effect == clusterstate.Local
	})
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(shared, "", " ")
	return string(text), err
}

// ReadContent returns the content of a proposal, which is either an operator's file or the settings
// alone.
func ReadContent(text []byte) (string, error) {
	var all map[string]any
	if err := jsoniter.Unmarshal(text, &all); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	if inner, ok := all["settings"].(map[string]any); ok {
		all = inner
	}
	return marshalContent(all)
}

// Fingerprint returns a short hash that identifies a content.
func Fingerprint(content string) string {
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:16])
}

// WithSettings returns the configuration with agreed settings in place of the file's. The local
// settings are kept. The error names the agreed key that this dispatcher can't act on.
func (c Config) WithSettings(content string) (Config, error) {
	values, err := Flatten([]byte(content))
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if fault := clusterstate.CheckKeys(values); fault != nil {
		return c, &Fault{"settings." + fault.Key, fault.Reason}
	}
	for key, v := range c.rawSettings {
		if effect, _ := clusterstate.EffectOf(key); effect == clusterstate.Local {
			flatten(values, key, v)
		}
	}
	return c, c.applySettings(values)
}

// CheckReload rejects a file that changes a setting, compared with the file before, to anything but
// its agreed value, as settings change only by a proposal. It also rejects a change of the cluster.
func (c Config) CheckReload(before Config, agreed string) error {
	if !before.Agree.Enabled() && !c.Agree.Enabled() {
		return nil
	}
	if !sameAgreement(c, before) {
		return &Fault{"agree", "can't change while the program runs"}
	}
	text, err := c.Content()
	if err != nil {
		return err
	}
	beforeText, err := before.Content()
	if err != nil {
		return err
	}
	now, err := Flatten([]byte(text))
	if err != nil {
		return err
	}
	previous, err := Flatten([]byte(beforeText))
	if err != nil {
		return err
	}
	inForce, err := Flatten([]byte(agreed))
	if err != nil {
		return err
	}
	for _, key := range clusterstate.DifferingKeys(previous, now) {
		if now[key] != inForce[key] {
			return &Fault{"settings." + key, fmt.Sprintf("changed to %q, and the agreed value is %q: propose it (standpulley settings propose)",
				now[key], inForce[key])}
		}
	}
	return nil
}

func sameAgreement(a, b Config) bool {
	return a.Peers == b.Peers && a.Name == b.Name && a.Agree.Cluster == b.Agree.Cluster && a.Agree.Within == b.Agree.Within &&
		a.Agree.Alone == b.Agree.Alone && reflect.DeepEqual(a.Agree.Lists, b.Agree.Lists) && maps.Equal(a.Agree.Voters, b.Agree.Voters) && slices.Equal(a.Agree.Others, b.Agree.Others)
}

// AgreeFault converts an error to the form in which a dispatcher reports that it rejects a version.
func AgreeFault(err error) *clusterstate.Fault {
	if err == nil {
		return nil
	}
	if f, ok := err.(*Fault); ok {
		return &clusterstate.Fault{Key: strings.TrimPrefix(f.Key, "settings."), Reason: f.Text}
	}
	return &clusterstate.Fault{Reason: err.Error()}
}
