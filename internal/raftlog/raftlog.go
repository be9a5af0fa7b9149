// Package raftlog stores the consensus state on disk: a voter's hard state, entries and snapshot,
// and the small named values that every dispatcher keeps about the cluster. Each write is synced
// before it returns. The file is a bbolt database: an interrupted commit leaves no trace, and each
// record has a checksum of its own.
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"sync"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"standpulley/internal/boltfile"
)

const (
	format = "standpulley agreement 1"
)

var (
	metaBucket  = []byte("meta")
	entryBucket = []byte("entries")
	valueBucket = []byte("notes")

	formatKey   = []byte("format")
	identityKey = []byte("identity")
	hardKey     = []byte("hard")
	snapKey     = []byte("snapshot")
)

// Identity says to whom a file belongs. The disk number is drawn when the file is created, so a
// voter whose file is lost becomes another voter.
type Identity struct {
	Disk    uint64 // the voter's id in the consensus, never 0
	Cluster uint64 // 0 until the cluster is known
}

// Log is an open file.
type Log struct {
	db       *boltfile.File
	mu       sync.Mutex // guards identity, as the cluster may be set while the file is in use
	identity Identity
	mem      *raft.MemoryStorage // copy of what is on disk, read by raft
}

// Open opens a file, or creates it with a disk number from newID. A damaged file or a file of
// another program is an error.
func Open(path string, newID func() uint64) (*Log, error) {
	f, err := boltfile.Open(path, boltfile.Options{Kind: "log of the agreement", Sync: true})
	if err != nil {
		return nil, err
	}
	l := &Log{db: f, mem: raft.NewMemoryStorage()}
	err = l.initialize(newID)
	if err == nil {
		err = l.load()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), f.Close())
	}
	return l, nil
}

// initialize creates the buckets of a new file, or reads the identity of an existing one.
func (l *Log) initialize(newID func() uint64) error {
	return l.db.Commit(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			if name, _ := tx.Cursor().First(); name != nil {
				return errors.New("a file of another program")
			}
			for _, b := range [][]byte{metaBucket, entryBucket, valueBucket} {
				if _, err := tx.CreateBucket(b); err != nil {
					return err
				}
			}
			meta = tx.Bucket(metaBucket)
			l.identity = Identity{Disk: newID()}
			return errors.Join(meta.Put(formatKey, []byte(format)), meta.Put(identityKey, l.identity.bytes()))
		}
		if is := string(meta.Get(formatKey)); is != format {
			return fmt.Errorf("file format is %q, want %q", is, format)
		}
		text, err := boltfile.VerifyChecksum(identityKey, meta.Get(identityKey))
		if err != nil || len(text) != 16 {
			return fmt.Errorf("damaged: identity: %w", err)
		}
		l.identity = Identity{binary.BigEndian.Uint64(text), binary.BigEndian.Uint64(text[8:])}
		return nil
	})
}

func (i Identity) bytes() []byte {
	return boltfile.AddChecksum(identityKey, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, i.Disk), i.Cluster))
}

// load reads the snapshot, the hard state and all entries, and checks that they are intact and in
// order.
func (l *Log) load() error {
	return l.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if v := meta.Get(snapKey); v != nil {
			snap := &raftpb.Snapshot{}
			if err := read(snapKey, v, snap); err != nil {
				return fmt.Errorf("damaged: snapshot: %w", err)
			}
			if err := l.mem.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		next, err := l.mem.LastIndex()
		if err != nil {
			return err
		}
		if v := meta.Get(hardKey); v != nil {
			hard := &raftpb.HardState{}
			if err := read(hardKey, v, hard); err != nil {
				return fmt.Errorf("damaged: hard state: %w", err)
			}
			if err := l.mem.SetHardState(hard); err != nil {
				return err
			}
		}
		var all []*raftpb.Entry
		c := tx.Bucket(entryBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			e := &raftpb.Entry{}
			if err := read(k, v, e); err != nil {
				return fmt.Errorf("damaged: entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			next++
			if e.GetIndex() != next {
				return fmt.Errorf("damaged: found entry %d, want %d", e.GetIndex(), next)
			}
			all = append(all, e)
		}
		hard, _, err := l.mem.InitialState()
		if err == nil && hard.GetCommit() > next {
			err = fmt.Errorf("damaged: %d entries are committed but only %d are present", hard.GetCommit(), next)
		}
		return errors.Join(err, l.mem.Append(all))
	})
}

func read(key, sealed []byte, into proto.Message) error {
	text, err := boltfile.VerifyChecksum(key, sealed)
	if err != nil {
		return err
	}
	return proto.Unmarshal(text, into)
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Identity returns to whom the file belongs.
func (l *Log) Identity() Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.identity
}

// SetCluster stores the cluster that the file belongs to from now on.
func (l *Log) SetCluster(cluster uint64) error {
	l.mu.Lock()
	l.identity.Cluster = cluster
	now := l.identity
	l.mu.Unlock()
	return l.db.Commit(func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Put(identityKey, now.bytes()) })
}

// Storage returns the storage that raft reads.
func (l *Log) Storage() *raft.MemoryStorage { return l.mem }

// Save writes a hard state, entries and a snapshot in one commit; any of them may be empty. When it
// returns nil, they are on disk.
func (l *Log) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if raft.IsEmptyHardState(hard) && len(entries) == 0 && raft.IsEmptySnap(snap) {
		return nil
	}
	err := l.db.Commit(func(tx *bolt.Tx) error {
		if !raft.IsEmptySnap(snap) {
			if err := l.putSnapshot(tx, snap, math.MaxUint64); err != nil { // received from another voter: it replaces all entries
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			if err := put(tx.Bucket(metaBucket), hardKey, hard); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		b := tx.Bucket(entryBucket)
		c := b.Cursor() // existing entries from the first new index on were never committed
		for k, _ := c.Seek(number(entries[0].GetIndex())); k != nil; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := put(b, number(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if err := l.mem.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		if err := l.mem.SetHardState(hard); err != nil {
			return err
		}
	}
	return l.mem.Append(entries)
}

func put(b *bolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, boltfile.AddChecksum(key, text))
}

// putSnapshot replaces the entries up to an index by a snapshot.
func (l *Log) putSnapshot(tx *bolt.Tx, snap *raftpb.Snapshot, upTo uint64) error {
	b := tx.Bucket(entryBucket)
	c := b.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= upTo; k, _ = c.First() {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return put(tx.Bucket(metaBucket), snapKey, snap)
}

// Compact replaces the entries up to an index by a snapshot of the state that they led to.
func (l *Log) Compact(index uint64, conf *raftpb.ConfState, data []byte) error {
	snap, err := l.mem.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	if err := l.db.Commit(func(tx *bolt.Tx) error { return l.putSnapshot(tx, snap, index) }); err != nil {
		return err
	}
	return l.mem.Compact(index)
}

// SetValue stores a small value under a name.
func (l *Log) SetValue(name string, value []byte) error {
	return l.db.Commit(func(tx *bolt.Tx) error {
		return tx.Bucket(valueBucket).Put([]byte(name), boltfile.AddChecksum([]byte(name), value))
	})
}

// Value returns the value stored under a name, or nil if there is none.
func (l *Log) Value(name string) (value []byte, err error) {
	err = l.db.View(func(tx *bolt.Tx) error {
		v := tx.Bucket(valueBucket).Get([]byte(name))
		if v == nil {
			return nil
		}
		text, err := boltfile.VerifyChecksum([]byte(name), v)
		if err != nil {
			return fmt.Errorf("damaged: note %s: %w", name, err)
		}
		value = append([]byte(nil), text...)
		return nil
	})
	return value, err
}

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }
