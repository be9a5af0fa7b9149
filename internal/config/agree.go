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

	"standpulley/internal/agree"
)

// Agree sets up settings on which dispatchers agree. It is off where the operator's file has none.
type Agree struct {
	Cluster string                `json:"cluster"` // its name
	Voters  map[string]string     `json:"voters"`  // address by name of dispatcher: three or five
	Others  []string              `json:"others"`  // names of the other dispatchers, or patterns of them
	Within  string                `json:"within"`  // after this nobody acts on a version that another took the place of
	Alone   agree.LeaseLossPolicy `json:"alone"`   // what a dispatcher does that has lost contact
	Lists   *Lists                `json:"lists"`   // nil: each goes by its own register
}

// Lists sets up lists of replicas on which dispatchers agree.
type Lists struct {
	Readers int     `json:"readers"`  // of the register, at once; 2 if not set
	NamedBy string  `json:"named_by"` // "agreed" (if not set): an agreed list names a replica; "own": the own register must, too
	Bulk    float64 `json:"bulk"`     // part of a role or zone that may go at once without a second reading; 0.5 if not set
}

// The words of NamedBy.
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

// Peers is the address at which other dispatchers speak to this one.
type Peers struct {
	Listen         string `json:"listen"`
	TrustedNetwork bool   `json:"trusted_network"` // whoever can reach the address is trusted
}

// VoterNames gives the voters' names, in order.
func (a Agree) VoterNames() []string { return slices.Sorted(maps.Keys(a.Voters)) }

// Enabled tells whether dispatchers agree.
func (a Agree) Enabled() bool { return a.Cluster != "" }

// Timing gives the times that follow from Within.
func (a Agree) Timing() agree.Timing {
	within, err := time.ParseDuration(a.Within)
	if err != nil {
		within = agree.DefaultWithin // the checks have seen to it
	}
	return agree.TimingOf(within)
}

// CheckNoCluster refuses what a platform does not have, on which dispatchers share nothing.
func (c Config) CheckNoCluster() error {
	if c.Agree.Enabled() {
		return &Fault{"agree", "not where the environment starts the program (EDGE_CONFIG): dispatchers there may not talk to each other"}
	}
	return nil
}

// readAgree decodes both parts. Without the first one the second means nothing here.
func (c *Config) readAgree(f file) error {
	if len(f.Agree) == 0 {
		return nil
	}
	if err := strict.Unmarshal(f.Agree, &c.Agree); err != nil {
		return &Fault{"agree", err.Error()}
	}
	if len(f.Peers) > 0 {
		if err := strict.Unmarshal(f.Peers, &c.Peers); err != nil {
			return &Fault{"peers", err.Error()}
		}
	}
	if len(f.Ledger) > 0 {
		c.Ledger = &Ledger{}
		if err := strict.Unmarshal(f.Ledger, c.Ledger); err != nil {
			return &Fault{"ledger", err.Error()}
		}
		if err := c.Ledger.check(); err != nil {
			return err
		}
	}
	if len(f.Recovery) > 0 {
		c.Recovery = &Recovery{}
		if err := strict.Unmarshal(f.Recovery, c.Recovery); err != nil {
			return &Fault{"recovery", err.Error()}
		}
		if err := c.Recovery.check(c.Agree.Lists); err != nil {
			return err
		}
	}
	return c.checkAgree()
}

// checkAgree checks and completes both parts.
func (c *Config) checkAgree() error {
	a := &c.Agree
	if a.Cluster == "" {
		return &Fault{"agree.cluster", "missing: the cluster's name"}
	}
	if c.Name == "" {
		return &Fault{"name", "missing: dispatchers that agree know each other by name"}
	}
	if n := len(a.Voters); n != 3 && n != 5 {
		return &Fault{"agree.voters", fmt.Sprintf("%d are named: three or five vote", n)}
	}
	seen := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(a.Voters)) {
		key := "agree.voters." + name
		if err := c.checkPeer(key, a.Voters[name]); err != nil {
			return err
		}
		if other, twice := seen[a.Voters[name]]; twice {
			return &Fault{key, "the address of " + other}
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
		return &Fault{"peers.listen", "set, and this dispatcher is no voter: nobody comes to it"}
	}
	if votes {
		if err := c.checkPeer("peers.listen", c.Peers.Listen); err != nil {
			return err
		}
	}
	if a.Within != "" {
		within, err := time.ParseDuration(a.Within)
		if err == nil {
			err = agree.TimingOf(within).Check()
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
		a.Alone = agree.Safe
	}
	if !a.Alone.Valid() {
		return &Fault{"agree.alone", fmt.Sprintf("%q is none of stop, safe and hold", a.Alone)}
	}
	return nil
}

// MatchesOthers tells whether a name is one of the others.
func (a Agree) MatchesOthers(name string) bool {
	return slices.ContainsFunc(a.Others, func(pattern string) bool { ok, _ := path.Match(pattern, name); return ok })
}

// checkPeer wants a loopback address unless the network is trusted.
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

// Content gives the settings of the file in the form on which dispatchers agree: JSON with its keys in order, without
// what is each dispatcher's own.
func (c Config) Content() (string, error) { return contentOf(c.content) }

func contentOf(settings map[string]any) (string, error) {
	own := maps.Clone(settings)
	maps.DeleteFunc(own, func(key string, _ any) bool { effect, _ := agree.EffectOf(key); return effect == agree.Local })
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(own, "", " ")
	return string(text), err
}

// ReadContent reads a proposal: an operator's file, or the settings alone.
func ReadContent(text []byte) (string, error) {
	var all map[string]any
	if err := jsoniter.Unmarshal(text, &all); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	if inner, ok := all["settings"].(map[string]any); ok {
		all = inner
	}
	return contentOf(all)
}

// Fingerprint is the fingerprint of a content.
func Fingerprint(content string) string {
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:16])
}

// WithSettings gives the configuration with agreed settings in place of the file's, or says which key of theirs this dispatcher
// can't act on.
func (c Config) WithSettings(content string) (Config, error) {
	val, err := Flatten([]byte(content))
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if fault := agree.CheckKeys(val); fault != nil {
		return c, &Fault{"settings." + fault.Key, fault.Reason}
	}
	for key, v := range c.content {
		if effect, _ := agree.EffectOf(key); effect == agree.Local {
			flatten(val, key, v)
		}
	}
	return c, c.settle(val)
}

// CheckReload refuses a file whose settings have changed since the one before, to what is not the agreed content: settings
// change by a proposal.
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
	then, err := Flatten([]byte(beforeText))
	if err != nil {
		return err
	}
	force, err := Flatten([]byte(agreed))
	if err != nil {
		return err
	}
	for _, key := range agree.DifferingKeys(then, now) {
		if now[key] != force[key] {
			return &Fault{"settings." + key, fmt.Sprintf("changed to %q, and the agreed value is %q: propose it (standpulley settings propose)",
				now[key], force[key])}
		}
	}
	return nil
}

func sameAgreement(a, b Config) bool {
	return a.Peers == b.Peers && a.Name == b.Name && a.Agree.Cluster == b.Agree.Cluster && a.Agree.Within == b.Agree.Within &&
		a.Agree.Alone == b.Agree.Alone && reflect.DeepEqual(a.Agree.Lists, b.Agree.Lists) && maps.Equal(a.Agree.Voters, b.Agree.Voters) && slices.Equal(a.Agree.Others, b.Agree.Others)
}

// AgreeFault gives an error the form in which a version is turned down.
func AgreeFault(err error) *agree.Fault {
	if err == nil {
		return nil
	}
	if f, ok := err.(*Fault); ok {
		return &agree.Fault{Key: strings.TrimPrefix(f.Key, "settings."), Reason: f.Text}
	}
	return &agree.Fault{Reason: err.Error()}
}
