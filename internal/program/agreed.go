package program

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/agree"
	"standpulley/internal/agreement"
	"standpulley/internal/appliance"
	"standpulley/internal/bookkeeping"
	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	"standpulley/internal/membership"
)

// agreed is the program's part in agreeing on settings: what a version is checked against, and how it is put in force.
type agreed struct {
	p       *program
	node    *agreement.Node
	takeups chan takeup

	mu      sync.Mutex
	file    config.Config // as it was read last; all of it holds but the settings
	content string        // that is in force

	lists  *lists               // nil where each goes by its own register
	back   *comeback            // nil where nothing keeps the order of a return
	keeper *bookkeeping.Service // nil where nothing is remembered together
}

// takeup asks the program's goroutine to act on a version.
type takeup struct {
	cfg     config.Config
	licence dispatch.Lease // nil: the one that it acts under
	reply   chan error
}

// licence is a lease by the node's clock.
type licence struct {
	lease *agree.Lease
	now   func() time.Duration
}

func (l *licence) MayAdmit(q dispatch.Admission) error {
	return l.lease.MayAccept(l.now(), q.AtMostOnce)
}
func (l *licence) MaySend(once, again bool) error { return l.lease.MaySend(l.now(), once, again) }
func (l *licence) AtMostOnce() bool               { return l.lease.AtMostOnce(l.now()) }
func (l *licence) Ready() bool                    { return l.lease.Ready(l.now()) }
func (l *licence) SettingsVersion() string        { return l.lease.SettingsVersion() }

// Bounds of what is agreed on about lists of replicas.
const (
	listBatch = 50 * time.Millisecond     // changes of the register are gathered for so long
	listMost  = membership.MaxPartEntries // entries that one version changes
	listFresh = 15 * time.Second          // a reader that said nothing for so long does not count; its register answers within 10 s
	listFlaps = 4                         // turns of one replica within listCalm, and it stays drained until it was still for that long
	listCalm  = 30 * time.Second
)

// peersShare is the part of the sockets that other dispatchers may hold here.
const peersShare = 0.1

// Options gives what a node of the agreement is told by a configuration.
func Options(cfg config.Config, folder string) agreement.Options {
	opt := agreement.Options{Name: cfg.Name, Cluster: cfg.Agree.Cluster, Voters: cfg.Agree.Voters, Timing: cfg.Agree.Timing(), OnLeaseLoss: cfg.Agree.Alone,
		MaxConns: max(int(peersShare*float64(cfg.Limits.Sockets)), 32), Folder: folder, Hooks: AgreementHooks}
	if l := cfg.Agree.Lists; l != nil {
		opt.Lists = &agreement.Lists{MaxReaders: l.Readers, CanRead: true, Limits: membership.Limits{Bulk: l.Bulk, Batch: listBatch, MaxEntries: listMost,
			MaxAge: listFresh, MaxFlaps: listFlaps, FlapWindow: listCalm}}
	}
	if _, votes := cfg.Agree.Voters[cfg.Name]; votes {
		opt.Listen = cfg.Peers.Listen
	}
	opt.IsMember = func(name string) bool {
		_, votes := cfg.Agree.Voters[name]
		return votes || cfg.Agree.MatchesOthers(name)
	}
	return opt
}

// AgreementHooks are where a test's own build puts faults in; none elsewhere.
var AgreementHooks agreement.Hooks

// ListHooks are those of lists; the zero value puts in none.
var ListHooks struct {
	OverrideMerge func(agreed membership.List, own membership.OwnList, named bool) map[string]membership.Entry
	IgnoreAgreed  bool                    // agreed lists are not acted on
	ForgetOnStop  bool                    // who stops reading forgets what it heard
	MutateEntry   func(*membership.Entry) // of an agreed list, before it is acted on
	ApplyDelay    time.Duration           // agreed lists are acted on so much later, and the lease goes on
}

// WrapLease is another such place; nil elsewhere.
var WrapLease func(dispatch.Lease) dispatch.Lease

func (a *agreed) under(lease *agree.Lease) dispatch.Lease {
	var l dispatch.Lease = &licence{lease, a.node.Now}
	if WrapLease != nil {
		l = WrapLease(l)
	}
	if a.back != nil {
		l = &coming{l, a.back}
	}
	return l
}

// Bootstrap makes the log of a cluster's first voter, with the settings of the file that is in force in a state folder.
func Bootstrap(dir appliance.Dir) error {
	cfg, err := dir.Load()
	if err != nil {
		return err
	}
	if _, votes := cfg.Agree.Voters[cfg.Name]; !votes {
		return &config.Fault{Key: "agree.voters", Text: fmt.Sprintf("%q is no voter: a cluster is founded at one", cfg.Name)}
	}
	content, err := cfg.Content()
	if err != nil {
		return err
	}
	keys, err := config.Flatten([]byte(content))
	if err != nil {
		return err
	}
	return agreement.Bootstrap(Options(cfg, string(dir)), content, keys, config.Fingerprint(content))
}

// ReclaimSeat gives the seat of the voter that runs on a state folder to its present log, as its earlier one is lost.
func ReclaimSeat(dir appliance.Dir) error {
	var r agreement.Reply
	if err := dir.Settings(agreement.Command{Do: "seat"}, &r); err != nil {
		return err
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return nil
}

// Rebootstrap makes a new cluster out of what is left of a lost one, with the voter of a state folder as its first.
func Rebootstrap(dir appliance.Dir, lost uint64, others []string, by string) (agree.Record, error) {
	cfg, err := dir.Load()
	if err != nil {
		return agree.Record{}, err
	}
	if _, votes := cfg.Agree.Voters[cfg.Name]; !votes {
		return agree.Record{}, &config.Fault{Key: "agree.voters", Text: fmt.Sprintf("%q is no voter", cfg.Name)}
	}
	return agreement.Rebootstrap(Options(cfg, string(dir)), lost, others, by)
}

// agreeOn opens the node and gives the configuration to start on: the last version that was acted on, if any, in place of
// the file's settings.
func (p *program) agreeOn(cfg config.Config, folder string) (*agreed, config.Config, error) {
	a := &agreed{p: p, takeups: make(chan takeup), file: cfg}
	opt := Options(cfg, folder)
	if cfg.Ledger != nil {
		opt.Handlers = map[string]agreement.Handler{ledgerCall: a.ledgerCall}
	}
	node, err := agreement.Open(opt)
	if err != nil {
		return nil, cfg, err
	}
	a.node = node
	if cfg.Ledger != nil {
		if a.keeper, err = a.openLedger(cfg, folder); err != nil {
			return nil, cfg, errors.Join(err, node.Close())
		}
	}
	if cfg.Agree.Lists != nil {
		a.lists = newLists(a, cfg)
	}
	if cfg.Recovery != nil {
		a.back = newComeback(a, cfg)
	}
	known, lease := node.RestoreVersion()
	p.licence = a.under(lease)
	a.fit(&cfg)
	if known == nil {
		return a, cfg, nil
	}
	a.content = known.Content
	with, err := cfg.WithSettings(known.Content)
	if err != nil {
		slog.Warn("agreement: the version that this dispatcher acted on does not go with its file any more", "version", known.Number, "error", err)
		return a, cfg, nil
	}
	a.fit(&with)
	return a, with, nil
}

// fit gives a configuration what this dispatcher knows of the fleet, which no file says.
func (a *agreed) fit(cfg *config.Config) {
	if a.lists != nil && a.lists.count() > 0 {
		cfg.Settings.Siblings = a.lists.count()
	}
	if a.back != nil {
		a.back.fit(cfg)
	}
}

// Check says why this dispatcher can't act on a content: it is faulty, or does not go with this dispatcher's own file.
func (a *agreed) Check(content string) *agree.Fault {
	a.mu.Lock()
	file := a.file
	a.mu.Unlock()
	cfg, err := file.WithSettings(content)
	if err == nil && len(file.Known.Servers) > 0 {
		if err = file.Known.CheckKinds(cfg.Settings.Kinds); err != nil {
			err = fmt.Errorf("key known: %w", err)
		}
	}
	return config.AgreeFault(err)
}

// TakeUp acts on a version from now on. What is open stays open.
func (a *agreed) Activate(v agree.Version, lease *agree.Lease) error {
	a.mu.Lock()
	cfg, err := a.file.WithSettings(v.Content)
	a.mu.Unlock()
	if err != nil {
		return err
	}
	a.fit(&cfg)
	return a.act(cfg, a.under(lease), v.Content)
}

// act hands a configuration to the program, with a licence if it is another.
func (a *agreed) act(cfg config.Config, lic dispatch.Lease, content string) (err error) {
	t := takeup{cfg, lic, make(chan error, 1)}
	select {
	case a.takeups <- t:
		err = <-t.reply
	case <-a.p.draining: // nothing but the rules for what is still open changes
		err = a.p.live.Load().retune(cfg, t.licence)
	}
	if err == nil {
		a.mu.Lock()
		a.content = content
		a.mu.Unlock()
	}
	return err
}

// TakeList acts on an agreed list of replicas from now on, and goes by the number of dispatchers that live.
func (a *agreed) ApplyList(l membership.List, living int, counted bool) error {
	if !a.lists.take(l, living, counted) {
		return nil
	}
	return a.again()
}

// again acts on the settings in force with what is known of the fleet by now.
func (a *agreed) again() error {
	a.mu.Lock()
	content := a.content
	cfg, err := a.file.WithSettings(content)
	a.mu.Unlock()
	if err != nil || content == "" {
		return nil // there is nothing yet that goes by the number
	}
	a.fit(&cfg)
	return a.act(cfg, nil, content)
}

// Read starts or stops reading the register for all.
func (a *agreed) SetReading(yes bool) {
	if a.lists != nil {
		a.lists.read(yes)
	}
}

// Alone tells that there is no lease: nobody reads the register for this dispatcher.
func (a *agreed) LeaseLost() {
	if a.lists != nil {
		a.lists.alone()
	}
}

// Deaf tells that the register is read and says nothing.
func (a *agreed) RegistrySilent() bool { return a.lists != nil && a.lists.Deaf() }

// console adds what a console shows of it.
func (a *agreed) console(r *appliance.Reply) {
	if a.back != nil {
		r.Stage = a.back.say()
	}
	if o := a.node.Status(); o.LeaseMS <= 0 {
		r.Why = o.Why
	}
}

// Phase is the program's, for people.
func (a *agreed) Phase() string {
	s := a.p.live.Load()
	if s == nil {
		return "starting"
	}
	phase := s.core.Phases.Now()
	if a.back != nil && phase <= dispatch.Ready {
		if stage := a.back.say(); stage != "" {
			return stage
		}
	}
	return phase.String()
}

// Serves is how long the program has served as usual.
func (a *agreed) ServingTime() time.Duration {
	if a.back == nil {
		return 0
	}
	return a.back.servesFor()
}

// Bears is what replicas are known to bear; nil where nothing goes by it.
func (a *agreed) WarmRates() map[string]float64 {
	if a.back == nil {
		return nil
	}
	return a.back.own()
}

// adopt gives a file that was read anew its settings: those that are agreed on. A file that changes them itself is refused.
func (a *agreed) adopt(cfg config.Config) (config.Config, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := cfg.CheckReload(a.file, a.content); err != nil {
		return cfg, err
	}
	with, err := cfg, error(nil)
	if a.content != "" {
		with, err = cfg.WithSettings(a.content)
	}
	if err == nil {
		a.file = cfg
		a.fit(&with)
	}
	return with, err
}

// settings answers a command of an operator.
func (a *agreed) settings(text []byte) []byte {
	var c agreement.Command
	err := jsoniter.Unmarshal(text, &c)
	r := agreement.Reply{}
	if err != nil {
		r.Error = err.Error()
	} else {
		r = a.node.Do(c, func(content string) (map[string]string, error) { return config.Flatten([]byte(content)) }, config.Fingerprint)
	}
	if a.keeper != nil && strings.HasPrefix(c.Do, "ledger-") {
		r = a.ledger(c)
	}
	if a.lists != nil && r.View != nil {
		r.RegistryDifferences = a.lists.beside()
	}
	answer, err := jsoniter.Marshal(&r)
	if err != nil {
		return []byte(`{"error":"the answer can't be written"}`)
	}
	return answer
}

// figures are those of the agreement at the operators' door.
func (a *agreed) figures(say func(name string, value int, kind string)) {
	o := a.node.Status()
	say("agreement.version", int(o.Version), "g")
	say("agreement.lease_ms", int(o.LeaseMS), "g")
	say("agreement.lost_ms", int(o.LostMS), "g")
	leads := 0
	if o.Leader == o.Name {
		leads = 1
	}
	say("agreement.leads", leads, "g")
	say("agreement.elections", int(o.Elected), "c")
	say("agreement.turned_down", int(o.TurnedDown), "c")
	say("agreement.alone_acts", int(o.LateActs), "c")
	for _, cause := range slices.Sorted(maps.Keys(o.Dropped)) {
		say("agreement.dropped."+cause, int(o.Dropped[cause]), "c")
	}
	say("agreement.calls_in", int(o.Calls[0]), "c")
	say("agreement.calls_out", int(o.Calls[1]), "c")
	say("agreement.bytes_in", int(o.Bytes[0]), "c")
	say("agreement.bytes_out", int(o.Bytes[1]), "c")
	if a.keeper != nil {
		a.ledgerFigures(say)
	}
	if a.back != nil {
		a.back.figures(say)
	}
}
