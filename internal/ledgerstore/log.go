// Package ledgerstore stores a holder's copy of the ledger on disk, as checksummed records in the
// order in which they were written, many to a commit. The file is a bbolt database, like the
// consensus log. Records are appended to the end of one bucket, so that a commit writes few pages
// however the keys are spread.
//
//	record.go  a record and its encoding
//	log.go     the file
package ledgerstore

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

// State is the file's metadata. It is stored as JSON under its field names.
type State struct {
	Disk  uint64 // random, drawn when the file is created: a file that replaces a lost one has another number
	Boots uint64 // how often the file was opened
	// Whole tells that the holder has all that it ever acknowledged. Otherwise an instruction that
	// is missing here may have been recorded by this holder before it lost its data.
	Whole  bool
	Clock  time.Duration          // the holder's clock at the last commit
	Writes uint64                 // commits so far; an old copy of the file has fewer
	Seen   map[string]FileVersion // last known versions of the other holders' files
}

// FileVersion is the version of a holder's file as other holders know it.
type FileVersion struct {
	Disk   uint64 `json:"disk,omitempty"`
	Writes uint64 `json:"writes,omitempty"`
}

// Log is an open file. Except for Read, it must be used by one goroutine at a time.
type Log struct {
	db    *boltfile.File
	state State
	next  uint64 // number of the next record
}

// Path returns the path of the ledger file in a state folder.
func Path(folder string) string { return filepath.Join(folder, "ledger.db") }

// Open opens the file, or creates it with a disk number from newID, and passes its records to each
// in order. A damaged file or a file of another program is an error. Without sync, a commit
// survives the end of the process but not a power loss.
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

// initialize creates the buckets of a new file, or reads the state of an existing one.
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
			return fmt.Errorf("file format is %q, want %q", is, format)
		}
		text, err := boltfile.VerifyChecksum(stateKey, meta.Get(stateKey))
		if err != nil {
			return fmt.Errorf("damaged: state: %w", err)
		}
		return l.state.parse(text)
	})
}

// load reads all records and checks that each is intact and that none is missing in between.
func (l *Log) load(each func(Record)) error {
	return l.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(recordBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			n := binary.BigEndian.Uint64(k)
			if n != l.next && l.next != 1 {
				return fmt.Errorf("damaged: found record %d, want %d", n, l.next)
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

// State returns the file's metadata.
func (l *Log) State() State { return l.state }

// Commit appends records and writes the clock in one commit. When it returns nil, they are on disk.
func (l *Log) Commit(records []Record, clock time.Duration) error {
	return l.write(nil, records, clock)
}

// write deletes the records with the keys in deletions and appends others, in one commit.
func (l *Log) write(deletions [][]byte, records []Record, clock time.Duration) error {
	state, next := l.state, l.next
	state.Clock, state.Writes = max(clock, state.Clock), state.Writes+1
	err := l.db.Commit(func(tx *bolt.Tx) error {
		b := tx.Bucket(recordBucket)
		b.FillPercent = 0.95 // records are appended in key order, so pages need no room for insertions
		for _, k := range deletions {
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

// SetComplete stores whether the holder has all that it ever acknowledged (State.Whole).
func (l *Log) SetComplete(complete bool, clock time.Duration) error {
	before := l.state.Whole
	l.state.Whole = complete
	if err := l.Commit(nil, clock); err != nil {
		l.state.Whole = before
		return err
	}
	return nil
}

// Read passes at most limit records after the given one to each, in order. It returns the number
// of the last record read and whether there are no more. It may be called from any goroutine,
// concurrently with a writer.
func (l *Log) Read(after uint64, limit int, each func(Record)) (next uint64, last bool, err error) {
	next, last = after, true
	err = l.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(recordBucket).Cursor()
		read := 0
		for k, v := c.Seek(binary.BigEndian.AppendUint64(nil, after+1)); k != nil; k, v = c.Next() {
			if read == limit {
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

// Compact deletes the oldest records, at most limit, and appends in their place the records that
// live returns for them; live returns false for a record that is no longer needed. Compact returns
// how many records it deleted.
func (l *Log) Compact(limit int, clock time.Duration, live func(Record) (Record, bool)) (removed int, err error) {
	var kept []Record
	var keys [][]byte
	err = l.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(recordBucket).Cursor()
		for k, v := c.First(); k != nil && len(keys) < limit; k, v = c.Next() {
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
				kept = append(kept, now)
			}
		}
		return nil
	})
	if err != nil || len(keys) == 0 {
		return 0, err
	}
	return len(keys), l.write(keys, kept, clock)
}

// Size returns the size of the file in bytes, 0 if it cannot be determined.
func (l *Log) Size() int64 {
	info, err := os.Stat(l.db.Path())
	if err != nil {
		return 0
	}
	return info.Size()
}

// Abandon releases the file without a final sync, as the end of the process would. For tests.
func (l *Log) Abandon() { l.db.Abandon() }

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }

// SetSeen sets the versions of the other holders' files, which the next commit writes. It reports
// whether they have changed.
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
		return nil // cannot happen: a State always encodes
	}
	return b
}

func (s *State) parse(b []byte) error {
	if err := jsoniter.Unmarshal(b, s); err != nil {
		return fmt.Errorf("damaged: state: %w", err)
	}
	return nil
}
