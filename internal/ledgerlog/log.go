// Package ledgerlog keeps a holder's part of the ledger on disk: records in the order in which they were written, many to a
// commit, each with a checksum. bbolt holds the file, as it does the log of the agreement; records go to the end of one
// bucket, so that a commit writes few pages however the keys are spread.
//
//	record.go  a record and its form on disk
//	log.go     the file
package ledgerlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"time"

	jsoniter "github.com/json-iterator/go"
	bolt "go.etcd.io/bbolt"

	"standpulley/internal/boltfile"
)

const (
	format = "standpulley ledger 1"
)

var (
	metaBucket   = []byte("meta")
	recordBucket = []byte("records")

	formatKey = []byte("format")
	stateKey  = []byte("state")
)

// State is what a file says of itself, beside its records.
type State struct {
	Disk   uint64                 // drawn with the file: one that was lost is another
	Boots  uint64                 // how often it was opened
	Whole  bool                   // it knows all that its holder ever acknowledged; else what it does not know tells nothing
	Clock  time.Duration          // what the holder's clock had counted by the last commit
	Writes uint64                 // commits so far: a copy from earlier has fewer
	Seen   map[string]FileVersion // what was heard last of other holders' files
}

// Seen is a holder's file as another one heard of it.
type FileVersion struct {
	Disk   uint64 `json:"disk,omitempty"`
	Writes uint64 `json:"writes,omitempty"`
}

// Log is an open file. It belongs to one goroutine.
type Log struct {
	db    *boltfile.File
	state State
	next  uint64 // number of the record to come
}

// Path is the file of a state folder that holds the ledger.
func Path(folder string) string { return filepath.Join(folder, "ledger.db") }

// Open opens a file, or makes one with a drawn number, and hands out its records in order. What is damaged or foreign is an
// error that says so. Without sync a commit survives the end of the process, and not a loss of power.
func Open(path string, newID func() uint64, sync bool, each func(Record)) (*Log, error) {
	f, err := boltfile.Open(path, boltfile.Options{Kind: "ledger", Sync: sync})
	if err != nil {
		return nil, err
	}
	l := &Log{next: 1}
	l.db = f
	err = boltfile.CatchPanic(func() error {
		if err := l.initialize(newID); err != nil {
			return err
		}
		return l.load(each)
	})
	if err == nil {
		l.state.Boots++
		err = l.Commit(nil, l.state.Clock)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), f.Close())
	}
	return l, nil
}

func (l *Log) initialize(newID func() uint64) error {
	return l.db.Commit(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			if name, _ := tx.Cursor().First(); name != nil {
				return errors.New("a file of another program")
			}
			for _, b := range [][]byte{metaBucket, recordBucket} {
				if _, err := tx.CreateBucket(b); err != nil {
					return err
				}
			}
			l.state = State{Disk: newID()}
			meta = tx.Bucket(metaBucket)
			return errors.Join(meta.Put(formatKey, []byte(format)), meta.Put(stateKey, boltfile.AddChecksum(stateKey, l.state.bytes())))
		}
		if is := string(meta.Get(formatKey)); is != format {
			return fmt.Errorf("its format is %q, wanted is %q", is, format)
		}
		text, err := boltfile.VerifyChecksum(stateKey, meta.Get(stateKey))
		if err != nil {
			return fmt.Errorf("damaged: state: %w", err)
		}
		return l.state.parse(text)
	})
}

// load reads all records and checks that each is whole and none is missing between two.
func (l *Log) load(each func(Record)) error {
	return l.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(recordBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			n := binary.BigEndian.Uint64(k)
			if n != l.next && l.next != 1 {
				return fmt.Errorf("damaged: record %d where %d should follow", n, l.next)
			}
			text, err := boltfile.VerifyChecksum(k, v)
			if err != nil {
				return fmt.Errorf("damaged: record %d: %w", n, err)
			}
			r, err := Parse(text)
			if err != nil {
				return fmt.Errorf("damaged: record %d: %w", n, err)
			}
			each(r)
			l.next = n + 1
		}
		return nil
	})
}

// State gives what the file says of itself.
func (l *Log) State() State { return l.state }

// Commit writes records in one commit. They are on disk when it returns.
func (l *Log) Commit(records []Record, clock time.Duration) error {
	return l.write(nil, records, clock)
}

// write takes records out and puts others behind those that are there, in one commit.
func (l *Log) write(out [][]byte, records []Record, clock time.Duration) error {
	state, next := l.state, l.next
	state.Clock, state.Writes = max(clock, state.Clock), state.Writes+1
	err := l.db.Commit(func(tx *bolt.Tx) error {
		b := tx.Bucket(recordBucket)
		b.FillPercent = 0.95 // they come in order
		for _, k := range out {
			if err := b.Delete(k); err != nil {
				return err
			}
		}
		for _, r := range records {
			k := binary.BigEndian.AppendUint64(nil, next)
			if err := b.Put(k, boltfile.AddChecksum(k, r.Append(nil))); err != nil {
				return err
			}
			next++
		}
		return tx.Bucket(metaBucket).Put(stateKey, boltfile.AddChecksum(stateKey, state.bytes()))
	})
	if err == nil {
		l.state, l.next = state, next
	}
	return err
}

// Whole notes that the file knows all that its holder ever acknowledged, or that it does not.
func (l *Log) SetComplete(complete bool, clock time.Duration) error {
	before := l.state.Whole
	l.state.Whole = complete
	if err := l.Commit(nil, clock); err != nil {
		l.state.Whole = before
		return err
	}
	return nil
}

// Read hands out the records that follow one, in order, at most so many, with the number of the last and whether there are no more.
// It may be called from any goroutine, beside the one that writes.
func (l *Log) Read(after uint64, most int, each func(Record)) (next uint64, last bool, err error) {
	next, last = after, true
	err = l.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(recordBucket).Cursor()
		read := 0
		for k, v := c.Seek(binary.BigEndian.AppendUint64(nil, after+1)); k != nil; k, v = c.Next() {
			if read == most {
				last = false
				return nil
			}
			read++
			next = binary.BigEndian.Uint64(k)
			text, err := boltfile.VerifyChecksum(k, v)
			if err != nil {
				return fmt.Errorf("damaged: record %d: %w", next, err)
			}
			r, err := Parse(text)
			if err != nil {
				return fmt.Errorf("damaged: record %d: %w", next, err)
			}
			each(r)
		}
		return nil
	})
	return next, last, err
}

// Fold takes the oldest records out, so many at most, and puts in their place what live gives for their keys: nothing of what
// is no longer kept. It tells how many it took out.
func (l *Log) Compact(most int, clock time.Duration, live func(Record) (Record, bool)) (folded int, err error) {
	var again []Record
	var keys [][]byte
	err = l.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(recordBucket).Cursor()
		for k, v := c.First(); k != nil && len(keys) < most; k, v = c.Next() {
			text, err := boltfile.VerifyChecksum(k, v)
			if err != nil {
				return err
			}
			r, err := Parse(text)
			if err != nil {
				return err
			}
			keys = append(keys, append([]byte(nil), k...))
			if now, ok := live(r); ok {
				again = append(again, now)
			}
		}
		return nil
	})
	if err != nil || len(keys) == 0 {
		return 0, err
	}
	return len(keys), l.write(keys, again, clock)
}

// Size gives the file's bytes.
func (l *Log) Size() int64 {
	info, err := os.Stat(l.db.Path())
	if err != nil {
		return 0
	}
	return info.Size()
}

// Abandon lets go of the file as the end of the process would, for tests.
func (l *Log) Abandon() { l.db.Abandon() }

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }

// Remember takes what was heard of other holders' files, for the next commit. It tells whether that is news.
func (l *Log) SetSeen(seen map[string]FileVersion) bool {
	if maps.Equal(seen, l.state.Seen) {
		return false
	}
	l.state.Seen = seen
	return true
}

func (s State) bytes() []byte {
	b, err := jsoniter.Marshal(s)
	if err != nil {
		return nil // numbers and names always can be
	}
	return b
}

func (s *State) parse(b []byte) error {
	if err := jsoniter.Unmarshal(b, s); err != nil {
		return fmt.Errorf("damaged: state: %w", err)
	}
	return nil
}
