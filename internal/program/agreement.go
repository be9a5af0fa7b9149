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

	"standpulley/internal/appliance"
	"standpulley/internal/cluster"
	"standpulley/internal/clusterstate"
	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	"standpulley/internal/intentlog"
	"standpulley/internal/membership"
)

// agreementAdapter connects the program to the cluster, which agrees on settings: it checks
// proposed versions and puts agreed ones in force.
type agreementAdapter struct {
	p             *program
	node          *cluster.Node
	applyRequests chan applyRequest

	mu      sync.Mutex
	file    config.Config // the last file that was read; all of it applies except the settings
	inForce string        // content of the settings in force

	lists    *listMerger        // nil if each dispatcher uses its own discovery service
	recovery *recoveryState     // nil if recovery in stages is not configured
	keeper   *intentlog.Service // nil if there is no shared ledger
}

// applyRequest asks the main goroutine of the program to apply a version.
type applyRequest struct {
	cfg   config.Config
	lease dispatch.Lease // nil: keep the present lease
	reply chan error
}

// nodeLease is a lease measured by the clock of the node.
type nodeLease struct {
	lease *clusterstate.Lease
	now   func() time.Duration
}

func (l *nodeLease) MayAdmit(q dispatch.Admission) error {
	return l.lease.MayAccept(l.now(), q.AtMostOnce)
}
func (l *nodeLease) MaySend(once, again bool) error { return l.lease.MaySend(l.now(), once, again) }
func (l *nodeLease) AtMostOnce() bool               { return l.lease.AtMostOnce(l.now()) }
func (l *nodeLease) Ready() bool                    { return l.lease.Ready(l.now()) }
func (l *nodeLease) SettingsVersion() string        { return l.lease.SettingsVersion() }

// Limits of the agreed replica lists.
const (
	listBatch      = 50 * time.Millisecond     // changes from discovery are collected for this long
	listMaxEntries = membership.MaxPartEntries // most entries that one list version changes
	// A dispatcher that reads discovery and has reported nothing for this long does not count as a
	// reader. Its discovery service answers within 10 s.
	listReaderTimeout = 15 * time.Second
	// After this many state changes within listCalm a replica stays drained until it has not
	// changed for listCalm.
	listFlaps = 4
	listCalm  = 30 * time.Second
)

// peersShare is the share of the sockets that connections from other dispatchers may use.
const peersShare = 0.1

// Options returns the options of the cluster node for a configuration and a state folder.
func Options(cfg config.Config, folder string) cluster.Options {
	opt := cluster.Options{Name: cfg.Name, Cluster: cfg.Agree.Cluster, Voters: cfg.Agree.Voters, Timing: cfg.Agree.Timing(), OnLeaseLoss: cfg.Agree.Alone,
		MaxConns: max(int(peersShare*float64(cfg.Limits.Sockets)), 32), Folder: folder, Hooks: AgreementHooks}
	if l := cfg.Agree.Lists; l != nil {
		opt.Lists = &cluster.Lists{MaxReaders: l.Readers, CanRead: true, Limits: membership.Limits{Bulk: l.Bulk, Batch: listBatch, MaxEntries: listMaxEntries,
			MaxAge: listReaderTimeout, MaxFlaps: listFlaps, FlapWindow: listCalm}}
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

// AgreementHooks are fault injection hooks of the cluster node, set only in test builds.
var AgreementHooks cluster.Hooks

// ListHooks are fault injection hooks for replica lists, set only in test builds. The zero value
// injects nothing.
var ListHooks struct {
	OverrideMerge func(agreed membership.List, own membership.OwnList, named bool) map[string]membership.Entry
	IgnoreAgreed  bool                    // do not apply agreed lists
	ForgetOnStop  bool                    // forget the discovered entries when reading discovery stops
	MutateEntry   func(*membership.Entry) // changes an entry of an agreed list before it is applied
	ApplyDelay    time.Duration           // apply agreed lists this much later, while the lease is renewed as usual
}

// WrapLease wraps each lease for fault injection; nil outside test builds.
var WrapLease func(dispatch.Lease) dispatch.Lease

func (a *agreementAdapter) wrapLease(lease *clusterstate.Lease) dispatch.Lease {
	var l dispatch.Lease = &nodeLease{lease, a.node.Now}
	if WrapLease != nil {
		l = WrapLease(l)
	}
	if a.recovery != nil {
		l = &recoveryLease{l, a.recovery}
	}
	return l
}

// Bootstrap creates the log of the first voter of a new cluster, with the settings of the file in
// force in a state folder.
func Bootstrap(dir appliance.Dir) error {
	cfg, err := dir.Load()
	if err != nil {
		return err
	}
	if _, votes := cfg.Agree.Voters[cfg.Name]; !votes {
		return &config.Fault{Key: "agree.voters", Text: fmt.Sprintf("%q is not a voter: a cluster can only be bootstrapped at a voter", cfg.Name)}
	}
	content, err := cfg.Content()
	if err != nil {
		return err
	}
	keys, err := config.Flatten([]byte(content))
	if err != nil {
		return err
	}
	return cluster.Bootstrap(Options(cfg, string(dir)), content, keys, config.Fingerprint(content))
}

// ReclaimSeat assigns the seat of the voter that runs on a state folder to its present log, because
// its earlier log is lost.
func ReclaimSeat(dir appliance.Dir) error {
	var r cluster.Reply
	if err := dir.Settings(cluster.Command{Do: "seat"}, &r); err != nil {
		return err
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return nil
}

// Rebootstrap creates a new cluster from the remains of a lost one. The voter of the state folder
// dir becomes its first voter.
func Rebootstrap(dir appliance.Dir, lost uint64, others []string, by string) (clusterstate.Record, error) {
	cfg, err := dir.Load()
	if err != nil {
		return clusterstate.Record{}, err
	}
	if _, votes := cfg.Agree.Voters[cfg.Name]; !votes {
		return clusterstate.Record{}, &config.Fault{Key: "agree.voters", Text: fmt.Sprintf("%q is not a voter", cfg.Name)}
	}
	return cluster.Rebootstrap(Options(cfg, string(dir)), lost, others, by)
}

// openAgreement opens the cluster node and returns the configuration to start with: if this
// dispatcher has acted on an agreed version before, that version replaces the settings of the file.
func (p *program) openAgreement(cfg config.Config, folder string) (*agreementAdapter, config.Config, error) {
	a := &agreementAdapter{p: p, applyRequests: make(chan applyRequest), file: cfg}
	opt := Options(cfg, folder)
	if cfg.Ledger != nil {
		opt.Handlers = map[string]cluster.Handler{ledgerCall: a.ledgerCall}
	}
	node, err := cluster.Open(opt)
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
		a.lists = newListMerger(a, cfg)
	}
	if cfg.Recovery != nil {
		a.recovery = newRecoveryState(a, cfg)
	}
	known, lease := node.RestoreVersion()
	p.lease = a.wrapLease(lease)
	a.fillSettings(&cfg)
	if known == nil {
		return a, cfg, nil
	}
	a.inForce = known.Content
	with, err := cfg.WithSettings(known.Content)
	if err != nil {
		slog.Warn("agreement: the last applied version does not fit the file any more; starting with the settings of the file", "version", known.Number, "error", err)
		return a, cfg, nil
	}
	a.fillSettings(&with)
	return a, with, nil
}

// fillSettings sets the settings that depend on what this dispatcher knows of the fleet and that no
// file contains: the number of siblings and the known capacity.
func (a *agreementAdapter) fillSettings(cfg *config.Config) {
	if a.lists != nil && a.lists.liveCount() > 0 {
		cfg.Settings.Siblings = a.lists.liveCount()
	}
	if a.recovery != nil {
		a.recovery.fillSettings(cfg)
	}
}

// Check returns why this dispatcher can't use the content of a version, or nil. The content may be
// faulty or not fit this dispatcher's own file.
func (a *agreementAdapter) Check(content string) *clusterstate.Fault {
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

// Activate puts a version in force under a lease. Open requests stay open.
func (a *agreementAdapter) Activate(v clusterstate.Version, lease *clusterstate.Lease) error {
	a.mu.Lock()
	cfg, err := a.file.WithSettings(v.Content)
	a.mu.Unlock()
	if err != nil {
		return err
	}
	a.fillSettings(&cfg)
	return a.apply(cfg, a.wrapLease(lease), v.Content)
}

// apply passes a configuration to the main goroutine, with a lease if that changes too.
func (a *agreementAdapter) apply(cfg config.Config, lease dispatch.Lease, content string) (err error) {
	t := applyRequest{cfg, lease, make(chan error, 1)}
	select {
	case a.applyRequests <- t:
		err = <-t.reply
	case <-a.p.draining: // only the rules for requests that are still open change
		err = a.p.live.Load().updateSettings(cfg, t.lease)
	}
	if err == nil {
		a.mu.Lock()
		a.inForce = content
		a.mu.Unlock()
	}
	return err
}

// ApplyList applies an agreed replica list and the number of live dispatchers.
func (a *agreementAdapter) ApplyList(l membership.List, live int, hasShare bool) error {
	if !a.lists.applyAgreed(l, live, hasShare) {
		return nil
	}
	return a.reapply()
}

// reapply applies the settings in force again with what is now known of the fleet.
func (a *agreementAdapter) reapply() error {
	a.mu.Lock()
	content := a.inForce
	cfg, err := a.file.WithSettings(content)
	a.mu.Unlock()
	if err != nil || content == "" {
		return nil // no settings are in force yet that depend on the fleet
	}
	a.fillSettings(&cfg)
	return a.apply(cfg, nil, content)
}

// SetReader makes this dispatcher one of those that read discovery on behalf of all, or no longer one.
func (a *agreementAdapter) SetReader(on bool) {
	if a.lists != nil {
		a.lists.setReader(on)
	}
}

// LeaseLost is called when there is no lease. This dispatcher then starts to read discovery itself,
// as no other dispatcher reads it on its behalf.
func (a *agreementAdapter) LeaseLost() {
	if a.lists != nil {
		a.lists.becomeReaderAlone()
	}
}

// RegistrySilent reports whether this dispatcher watches discovery and gets no answers.
func (a *agreementAdapter) RegistrySilent() bool { return a.lists != nil && a.lists.discoveryFailing() }

// fillConsole adds the recovery stage and the reason for a missing lease to a console reply.
func (a *agreementAdapter) fillConsole(r *appliance.Reply) {
	if a.recovery != nil {
		r.Stage = a.recovery.describe()
	}
	if o := a.node.Status(); o.LeaseMS <= 0 {
		r.Why = o.Why
	}
}

// Phase returns the phase or recovery stage of the program as text for operators.
func (a *agreementAdapter) Phase() string {
	s := a.p.live.Load()
	if s == nil {
		return "starting"
	}
	phase := s.core.Phases.Now()
	if a.recovery != nil && phase <= dispatch.Ready {
		if stage := a.recovery.describe(); stage != "" {
			return stage
		}
	}
	return phase.String()
}

// ServingTime returns for how long the program has served without the restrictions of recovery.
func (a *agreementAdapter) ServingTime() time.Duration {
	if a.recovery == nil {
		return 0
	}
	return a.recovery.servingFor()
}

// WarmRates returns the known capacity of replicas by kind; nil if nothing uses it.
func (a *agreementAdapter) WarmRates() map[string]float64 {
	if a.recovery == nil {
		return nil
	}
	return a.recovery.ownKnown()
}

// adopt combines a file that was read again with the agreed settings. A file that changes the
// settings itself is rejected.
func (a *agreementAdapter) adopt(cfg config.Config) (config.Config, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := cfg.CheckReload(a.file, a.inForce); err != nil {
		return cfg, err
	}
	with, err := cfg, error(nil)
	if a.inForce != "" {
		with, err = cfg.WithSettings(a.inForce)
	}
	if err == nil {
		a.file = cfg
		a.fillSettings(&with)
	}
	return with, err
}

// runCommand answers an operator's command.
func (a *agreementAdapter) runCommand(text []byte) []byte {
	var c cluster.Command
	err := jsoniter.Unmarshal(text, &c)
	r := cluster.Reply{}
	if err != nil {
		r.Error = err.Error()
	} else {
		r = a.node.Do(c, func(content string) (map[string]string, error) { return config.Flatten([]byte(content)) }, config.Fingerprint)
	}
	if a.keeper != nil && strings.HasPrefix(c.Do, "ledger-") {
		r = a.runLedgerCommand(c)
	}
	if a.lists != nil && r.View != nil {
		r.RegistryDifferences = a.lists.differences()
	}
	answer, err := jsoniter.Marshal(&r)
	if err != nil {
		return []byte(`{"error":"the answer can't be written"}`)
	}
	return answer
}

// metrics emits the cluster's metrics for the admin endpoint.
func (a *agreementAdapter) metrics(emit func(name string, value int, kind string)) {
	o := a.node.Status()
	emit("agreement.version", int(o.Version), "g")
	emit("agreement.lease_ms", int(o.LeaseMS), "g")
	emit("agreement.lost_ms", int(o.LostMS), "g")
	leads := 0
	if o.Leader == o.Name {
		leads = 1
	}
	emit("agreement.leads", leads, "g")
	emit("agreement.elections", int(o.Elected), "c")
	emit("agreement.turned_down", int(o.TurnedDown), "c")
	emit("agreement.alone_acts", int(o.LateActs), "c")
	for _, cause := range slices.Sorted(maps.Keys(o.Dropped)) {
		emit("agreement.dropped."+cause, int(o.Dropped[cause]), "c")
	}
	emit("agreement.calls_in", int(o.Calls[0]), "c")
	emit("agreement.calls_out", int(o.Calls[1]), "c")
	emit("agreement.bytes_in", int(o.Bytes[0]), "c")
	emit("agreement.bytes_out", int(o.Bytes[1]), "c")
	if a.keeper != nil {
		a.ledgerMetrics(emit)
	}
	if a.recovery != nil {
		a.recovery.metrics(emit)
	}
}
