package cluster

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"standpulley/internal/clusterstate"
	"standpulley/internal/raftlog"
)

// SurveyResult is what a state folder holds of a cluster. The program must not be running on it.
type SurveyResult struct {
	Folder      string `json:"folder"`
	Cluster     uint64 `json:"cluster"` // 0 if it has never joined one
	Disk        uint64 `json:"disk"`
	HasVoterLog bool   `json:"voted"` // the folder holds a voter's log
	// of the last entry; Term and Index tell which of two logs is newer
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
	// after all entries of the log, also those that may not have been committed
	Record    clusterstate.Record  `json:"book"`
	ActsOn    clusterstate.Version `json:"acts"` // the version that the dispatcher acted on last
	warmRates []byte
}

// Newer reports whether r's log is newer than another.
func (r *SurveyResult) Newer(than *SurveyResult) bool {
	if r.Term != than.Term {
		return r.Term > than.Term
	}
	return r.Index > than.Index
}

// Survey reads what a state folder holds of a cluster.
func Survey(folder string) (SurveyResult, error) {
	r := SurveyResult{Folder: folder}
	if _, err := os.Stat(LogPath(folder)); err != nil {
		return r, err
	}
	l, err := raftlog.Open(LogPath(folder), NewID)
	if err != nil {
		return r, err
	}
	err = r.read(l)
	if err != nil {
		err = fmt.Errorf("%s: %w", LogPath(folder), err)
	}
	return r, errors.Join(err, l.Close())
}

func (r *SurveyResult) read(l *raftlog.Log) error {
	r.Cluster, r.Disk = l.Identity().Cluster, l.Identity().Disk
	data, err := l.Value(savedStateKey)
	if err != nil {
		return err
	}
	if data != nil {
		var saved savedState
		if err := jsoniter.Unmarshal(data, &saved); err != nil {
			return fmt.Errorf("damaged: saved state of the dispatcher: %w", err)
		}
		r.ActsOn = saved.ActsOn
	}
	if r.warmRates, err = l.Value(warmRatesKey); err != nil {
		return err
	}
	storage := l.Storage()
	snap, err := storage.Snapshot()
	if err != nil || raft.IsEmptySnap(snap) {
		return err // no voter's log
	}
	r.HasVoterLog = true
	r.Index, r.Term = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetTerm()
	if err := jsoniter.Unmarshal(snap.GetData(), &r.Record); err != nil {
		return fmt.Errorf("decoding the raft snapshot: %w", err)
	}
	last, err := storage.LastIndex()
	if err != nil || last <= r.Index {
		return err
	}
	entries, err := storage.Entries(r.Index+1, last+1, ^uint64(0))
	if err != nil {
		return err
	}
	for _, e := range entries {
		change, _, err := decodeEntry(e)
		if err != nil {
			return err
		}
		if change != nil {
			_, _ = r.Record.Apply(*change) // an invalid entry changes nothing, here as at the voters
		}
		r.Index, r.Term = e.GetIndex(), e.GetTerm()
	}
	return nil
}

// decodeEntry returns the change of the record and the change of the raft configuration that an entry
// holds; each is nil if there is none.
func decodeEntry(e *raftpb.Entry) (change *clusterstate.Entry, conf *raftpb.ConfChangeV2, err error) {
	data := e.GetData()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		conf = &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(data, conf); err != nil {
			return nil, nil, err
		}
		data = conf.GetContext()
	case raftpb.EntryNormal:
	default:
		return nil, nil, fmt.Errorf("unsupported type of raft entry: %v", e.GetType())
	}
	if len(data) == 0 {
		return nil, conf, nil
	}
	change = &clusterstate.Entry{}
	if err := jsoniter.Unmarshal(data, change); err != nil {
		return nil, nil, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	return change, conf, nil
}

// warmRatesKey is the key of the program's warm rates. They are carried over to a new cluster, as they
// describe replicas and not the cluster.
const warmRatesKey = "program.bears"

// Rebootstrap creates a new cluster from what is left of a lost one, of which most voters' logs are
// gone, with the voter of this folder as the first. folders are those of all other dispatchers that
// are left; none may hold a newer log than this one. The old log is kept next to the new one.
func Rebootstrap(opt Options, lostCluster uint64, folders []string, by string) (clusterstate.Record, error) {
	own, err := Survey(opt.Folder)
	if err != nil {
		return clusterstate.Record{}, err
	}
	if !own.HasVoterLog {
		return clusterstate.Record{}, fmt.Errorf("%s holds no voter's log", LogPath(opt.Folder))
	}
	if own.Cluster != lostCluster {
		return clusterstate.Record{}, fmt.Errorf("%s belongs to cluster %x, not to %x", LogPath(opt.Folder), own.Cluster, lostCluster)
	}
	actedOn := []clusterstate.Version{own.ActsOn}
	for _, folder := range folders {
		r, err := Survey(folder)
		switch {
		case err != nil:
			return clusterstate.Record{}, err
		case r.Cluster != 0 && r.Cluster != lostCluster:
			return clusterstate.Record{}, fmt.Errorf("%s belongs to cluster %x, not to %x", folder, r.Cluster, lostCluster)
		case r.HasVoterLog && r.Newer(&own):
			return clusterstate.Record{}, fmt.Errorf("the log in %s is newer than this one (term %d, entry %d; here term %d, entry %d): make the new cluster there",
				folder, r.Term, r.Index, own.Term, own.Index)
		}
		actedOn = append(actedOn, r.ActsOn)
	}
	cluster, disk := NewID(), NewID()
	record, err := own.Record.Rebootstrap(cluster, len(opt.Voters), clusterstate.Seat{Name: opt.Name, Disk: disk}, actedOn, by)
	if err != nil {
		return record, err
	}
	if opt.Hooks.Rebootstrap != nil {
		opt.Hooks.Rebootstrap(&own.Record, &record)
	}
	return record, replaceLog(&own, disk, func(l *raftlog.Log) error { return writeInitialLog(l, &record) })
}

// LeaveCluster detaches a folder from a lost cluster, so that its dispatcher can join the cluster that
// replaced it. The old log is kept next to the new one.
func LeaveCluster(folder string, cluster uint64) error {
	r, err := Survey(folder)
	if err != nil {
		return err
	}
	if r.Cluster != cluster {
		return fmt.Errorf("%s belongs to cluster %x, not to %x", LogPath(folder), r.Cluster, cluster)
	}
	return replaceLog(&r, NewID(), func(*raftlog.Log) error { return nil })
}

// replaceLog replaces a log with a new one of another disk. The new log is completed under another name
// first, and the old one is kept under a name with its disk number. The warm rates are carried over.
// At any interruption, either the old or the new log is in place.
func replaceLog(old *SurveyResult, disk uint64, fill func(*raftlog.Log) error) error {
	path := LogPath(old.Folder)
	newPath, backup := path+".new", fmt.Sprintf("%s.%x", path, old.Disk)
	// left by an interrupted attempt
	if err := os.Remove(newPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	l, err := raftlog.Open(newPath, func() uint64 { return disk })
	if err != nil {
		return err
	}
	err = fill(l)
	if err == nil && old.warmRates != nil {
		err = l.SetValue(warmRatesKey, old.warmRates)
	}
	if err = errors.Join(err, l.Close()); err != nil {
		return err
	}
	if err := os.Link(path, backup); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	if err := os.Rename(newPath, path); err != nil {
		return err
	}
	f, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
