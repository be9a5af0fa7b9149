package cluster

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/clusterstate"
	"standpulley/internal/raftlog"
)

// newStateFolder returns options with an empty state folder.
func newStateFolder(t *testing.T) Options {
	return Options{Name: "a", Voters: map[string]string{"a": "x", "b": "y", "c": "z"}, Folder: t.TempDir()}
}

// bootstrapped returns options with a folder whose log holds version 1 in force, followed by the entries.
func bootstrapped(t *testing.T, entries ...clusterstate.Entry) Options {
	t.Helper()
	opt := newStateFolder(t)
	if err := Bootstrap(opt, `{"limits":{"try_limit":1}}`, map[string]string{"limits.try_limit": "1"}, "p1"); err != nil {
		t.Fatal(err)
	}
	writeLog(t, opt.Folder, func(l *raftlog.Log) error {
		for i, e := range entries {
			data, err := jsoniter.Marshal(&e)
			if err != nil {
				return err
			}
			term, index := uint64(2), uint64(2+i)
			if err := l.Save(nil, []*raftpb.Entry{{Term: &term, Index: &index, Data: data}}, nil); err != nil {
				return err
			}
		}
		return nil
	})
	return opt
}

func writeLog(t *testing.T, folder string, f func(l *raftlog.Log) error) {
	t.Helper()
	l, err := raftlog.Open(LogPath(folder), NewID)
	if err == nil {
		err = errors.Join(f(l), l.Close())
	}
	if err != nil {
		t.Fatal(err)
	}
}

var proposeAndActivate = []clusterstate.Entry{{Propose: &clusterstate.Propose{ID: "x", Base: 1, Content: `{"limits":{"try_limit":2}}`, Keys: map[string]string{"limits.try_limit": "2"}, Fingerprint: "p2"}},
	{Activate: &clusterstate.Activate{Number: 2}}}

// TestRebootstrapFromSurvivingFolders checks that a rebootstrapped cluster holds all entries of the
// newest log, also those not known to be committed, the version that a dispatcher acted on and that
// no log has, and a new cluster ID and disk. The old log is kept, an interrupted attempt does no
// harm, and mismatched folders are refused by name.
func TestRebootstrapFromSurvivingFolders(t *testing.T) {
	opt := bootstrapped(t, proposeAndActivate...)
	before, err := Survey(opt.Folder)
	if err != nil || before.Record.InForceNumber != 2 || before.Term != 2 || before.Index != 3 || !before.HasVoterLog {
		t.Fatalf("%+v, %v", before, err)
	}
	member := newStateFolder(t) // no voter, acted on a version that no remaining log holds
	writeLog(t, member.Folder, func(l *raftlog.Log) error {
		data, err := jsoniter.Marshal(&savedState{ActsOn: clusterstate.Version{Number: 5, Fingerprint: "p5", Content: `{"limits":{"try_limit":5}}`, Keys: map[string]string{"limits.try_limit": "5"}}})
		return errors.Join(err, l.SetValue(savedStateKey, data), l.SetCluster(before.Cluster))
	})
	foreign := bootstrapped(t)
	older, newer := copyOf(t, opt.Folder), copyOf(t, opt.Folder)
	writeLog(t, newer, func(l *raftlog.Log) error {
		term, index := uint64(3), uint64(4)
		return l.Save(nil, []*raftpb.Entry{{Term: &term, Index: &index}}, nil)
	})
	for name, x := range map[string]struct {
		lost   uint64
		others []string
		word   string
	}{
		"another cluster's number": {before.Cluster + 1, nil, "not to"},
		"another cluster's folder": {before.Cluster, []string{foreign.Folder}, "belongs to cluster"},
		"a newer log elsewhere":    {before.Cluster, []string{older, newer}, newer},
		"no log there":             {before.Cluster, []string{t.TempDir()}, "no such file"},
	} {
		if _, err := Rebootstrap(opt, x.lost, x.others, "op"); err == nil || !strings.Contains(err.Error(), x.word) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Rebootstrap(member, before.Cluster, nil, "op"); err == nil {
		t.Error("a folder without a voter's log was accepted")
	}
	if err := os.WriteFile(LogPath(opt.Folder)+".new", []byte("cut short"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Rebootstrap(opt, before.Cluster, []string{older, member.Folder}, "op"); err != nil {
		t.Fatal(err)
	}
	after, err := Survey(opt.Folder)
	if err != nil || after.Cluster == before.Cluster || after.Disk == before.Disk || after.Record.InForceNumber != 5 || after.Record.Version(2).State != clusterstate.Superseded || after.Record.Complete {
		t.Errorf("%+v, %v", after, err)
	}
	kept, err := filepath.Glob(LogPath(opt.Folder) + ".*")
	if err != nil || len(kept) != 1 {
		t.Errorf("%v, %v", kept, err)
	}
}

// TestLeaveCluster checks that a dispatcher that leaves a lost cluster belongs to no cluster, has a
// new disk, and keeps its warm rates.
func TestLeaveCluster(t *testing.T) {
	opt := bootstrapped(t, proposeAndActivate...)
	writeLog(t, opt.Folder, func(l *raftlog.Log) error { return l.SetValue(warmRatesKey, []byte(`{"w":3}`)) })
	before, err := Survey(opt.Folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := LeaveCluster(opt.Folder, before.Cluster+1); err == nil {
		t.Error("left a cluster that the folder does not belong to")
	}
	if err := LeaveCluster(opt.Folder, before.Cluster); err != nil {
		t.Fatal(err)
	}
	after, err := Survey(opt.Folder)
	if err != nil || after.Cluster != 0 || after.Disk == before.Disk || after.HasVoterLog || string(after.warmRates) != `{"w":3}` {
		t.Errorf("%+v, %v", after, err)
	}
	if _, err := Survey(t.TempDir()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an empty folder: %v", err)
	}
}

func copyOf(t *testing.T, folder string) string {
	t.Helper()
	to := t.TempDir()
	data, err := os.ReadFile(LogPath(folder))
	if err == nil {
		err = os.WriteFile(LogPath(to), data, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return to
}
