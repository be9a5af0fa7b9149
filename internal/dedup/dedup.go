// Package dedup remembers the ids of requests that must not run twice. A Table holds the ids that
// were claimed last, in memory of a fixed size that two processes of one dispatcher may share while
// one of them takes over from the other. It needs no clock and no lock, so a process that is stopped
// or killed does not hold the other one up.
package dedup

import (
	"fmt"
	"hash/fnv"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	bucketSize  = 8       // entries among which an id may be
	bucketCount = 1 << 12 // a power of two
	entryCount  = bucketSize * bucketCount
	wordBytes   = 8
	// fileBytes is the size of a shared table: its entries and the number of claims so far.
	fileBytes = (entryCount + 1) * wordBytes

	// An entry has the hash of an id in its upper bits and the number of its claim in the lower ones.
	// 0 is a free entry.
	numberBits = 24
	numberMask = 1<<numberBits - 1

	// createTime is how long another process may take to create a shared table.
	createTime  = 200 * time.Millisecond
	createCheck = 5 * time.Millisecond
)

// Table is a set of claimed ids. When it is full, the ids that were claimed first are forgotten.
type Table struct {
	words *[entryCount + 1]atomic.Uint64
}

// New returns a table for this process alone.
func New() *Table { return &Table{new([entryCount + 1]atomic.Uint64)} }

// Open returns the table in a file, which other processes may have open too. It creates the file if
// there is none. The table stays mapped until the process ends.
func Open(path string) (*Table, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err == nil {
		// Writing takes the memory now: a page that is missing later would end the process.
		_, err = f.Write(make([]byte, fileBytes))
	} else if os.IsExist(err) {
		f, err = openExisting(path)
	}
	if err != nil {
		return nil, fmt.Errorf("table of ids: %w", err)
	}
	defer f.Close() // the mapping stays
	mapped, err := unix.Mmap(int(f.Fd()), 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("table of ids: %s: %w", path, err)
	}
	return &Table{(*[entryCount + 1]atomic.Uint64)(unsafe.Pointer(&mapped[0]))}, nil
}

// openExisting opens a file that another process creates or has created.
func openExisting(path string) (*os.File, error) {
	for deadline := time.Now().Add(createTime); ; time.Sleep(createCheck) {
		info, err := os.Stat(path)
		switch {
		case err != nil:
			return nil, err
		case info.Size() == fileBytes:
			return os.OpenFile(path, os.O_RDWR, 0)
		case time.Now().After(deadline):
			return nil, fmt.Errorf("%s has %d bytes in place of %d", path, info.Size(), fileBytes)
		}
	}
}

// Claim claims an id and reports whether it was free.
func (t *Table) Claim(id string) bool {
	bucket, tag := t.locate(id)
	for {
		i, entry, claimed := choose(bucket, tag, t.claims())
		if claimed {
			return false
		}
		number := t.claims().Add(1) & numberMask
		if bucket[i].CompareAndSwap(entry, tag|number) {
			return !yield(bucket, tag, i)
		}
	}
}

// choose returns the entry for a new id: a free one, or the one that was claimed first. It reports
// whether the id is claimed already.
func choose(bucket []atomic.Uint64, tag uint64, claims *atomic.Uint64) (index int, entry uint64, claimed bool) {
	best := uint64(0)
	for i := range bucket {
		word := bucket[i].Load()
		age := (claims.Load() - word) & numberMask
		if word == 0 {
			age = numberMask + 1
		} else if word&^numberMask == tag {
			return i, word, true
		}
		if i == 0 || age > best {
			index, entry, best = i, word, age
		}
	}
	return index, entry, false
}

// yield gives a claim back if another process has claimed the same id in another entry at the same
// time, and reports whether it did. It may be that both processes yield.
func yield(bucket []atomic.Uint64, tag uint64, index int) bool {
	for i := range bucket {
		if i != index && bucket[i].Load()&^numberMask == tag {
			free(&bucket[index], tag)
			return true
		}
	}
	return false
}

// Release gives the claim of an id back.
func (t *Table) Release(id string) {
	bucket, tag := t.locate(id)
	for i := range bucket {
		free(&bucket[i], tag)
	}
}

func free(entry *atomic.Uint64, tag uint64) {
	if word := entry.Load(); word&^numberMask == tag {
		entry.CompareAndSwap(word, 0) // if it fails, the entry belongs to another id by now
	}
}

// claims is the number of claims so far.
func (t *Table) claims() *atomic.Uint64 { return &t.words[entryCount] }

// locate returns the bucket of an id and its hash as the upper bits of an entry.
func (t *Table) locate(id string) (bucket []atomic.Uint64, tag uint64) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	hash := mix(h.Sum64())
	first := hash % bucketCount * bucketSize
	// The lower bits of the tag make room for the number; 0 would be a free entry.
	return t.words[first : first+bucketSize], hash&^numberMask | 1<<numberBits
}

// mix spreads a hash over all bits (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
