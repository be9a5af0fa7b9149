// Package boltfile opens bbolt files and adds what bbolt leaves to its users. It tells a torn write
// from a damaged file, reports damage as an error instead of a panic, and puts a checksum on each
// record. Tests can place the files on a simulated disk that loses what was not synced.
//
//	boltfile.go  opening, committing, checksums
//	walk.go      checking the pages of a file
//	power.go     the simulated disk
package boltfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	fileMode    = 0o600
	lockTimeout = time.Second // for another process to release the file lock
)

// Options say how a file is opened.
type Options struct {
	Kind string // what the file is, for error messages
	Sync bool   // a commit survives a power loss, not only the end of the process
}

// TestDisk is the simulated disk under all files of this process. It is nil except in tests, which
// set it before they open a file.
var TestDisk *SimulatedDisk

// File is an open file.
type File struct {
	*bolt.DB
	opt   Options
	mount *mount
}

// Open checks and opens a file, or creates it. A torn write, which was never acknowledged, is
// dropped with a warning.
func Open(path string, opt Options) (f *File, err error) {
	f = &File{opt: opt}
	at := path
	if TestDisk != nil {
		if f.mount, err = TestDisk.mount(path); err != nil {
			return nil, err
		}
		at = f.mount.volatile
	}
	if err := checkFile(at, opt.Kind); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = CatchPanic(func() error {
		f.DB, err = bolt.Open(at, fileMode, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType,
			NoFreelistSync: true, // the stored list of free pages has no checksum; a damaged list would let pages in use be overwritten
			NoSync:         !opt.Sync || TestDisk != nil})
		return err
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another program has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: not a %s: %w", path, opt.Kind, err)
	}
	return f, syncFolder(filepath.Dir(path))
}

// Commit runs change in a read-write transaction (bbolt's Update). When it returns nil, all changes
// are on disk; otherwise none of them is.
func (f *File) Commit(change func(tx *bolt.Tx) error) error {
	if err := CatchPanic(func() error { return f.Update(change) }); err != nil {
		return err
	}
	if f.mount != nil && f.opt.Sync {
		return f.mount.sync()
	}
	return nil
}

// Abandon releases the file as the end of the process would: nothing more is written.
func (f *File) Abandon() { _ = f.DB.Close() }

// Close writes what is not yet on disk and closes the file.
func (f *File) Close() error {
	var err error
	switch {
	case f.mount != nil:
		err = f.mount.sync()
	case !f.opt.Sync:
		err = f.DB.Sync()
	}
	return errors.Join(err, f.DB.Close())
}

// CatchPanic calls f and turns a panic into an error, as bbolt panics on damaged pages.
func CatchPanic(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("damaged: %v", r)
		}
	}()
	return f()
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrChecksum is the error for a record that differs from what was written.
var ErrChecksum = errors.New("its checksum is wrong")

// AddChecksum returns the value with a checksum of key and value in front of it.
func AddChecksum(key, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), sum), value...)
}

// VerifyChecksum returns the value passed to AddChecksum, or ErrChecksum if key or value has
// changed.
func VerifyChecksum(key, sealed []byte) ([]byte, error) {
	if len(sealed) < 4 || crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, sealed[4:]) != binary.BigEndian.Uint32(sealed) {
		return nil, ErrChecksum
	}
	return sealed[4:], nil
}

// checkFile checks the meta pages and all pages in use. An interrupted commit leaves one meta page
// torn; the file's other meta page then has the state before that commit, so this is only a
// warning. A file whose end is missing is an error.
func checkFile(path, kind string) error {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	size := int64(os.Getpagesize())
	pages, torn, newest, need, root := 0, 0, uint64(0), int64(0), uint64(0)
	for i := range int64(2) {
		b := make([]byte, 80)
		if _, err := f.ReadAt(b, i*size); err != nil {
			if errors.Is(err, io.EOF) {
				return fmt.Errorf("not a %s, or truncated", kind)
			}
			return err
		}
		meta := b[16:] // magic, version, page size, flags, root (2 words), free list, high-water mark, transaction id, checksum
		if binary.LittleEndian.Uint32(meta) != 0xED0CDAED {
			torn++
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write(meta[:56]) // never fails
		if h.Sum64() != binary.LittleEndian.Uint64(meta[56:]) {
			torn++
			continue
		}
		pages++
		if at := binary.LittleEndian.Uint64(meta[48:]); at >= newest {
			newest, need = at, int64(binary.LittleEndian.Uint64(meta[40:]))*int64(binary.LittleEndian.Uint32(meta[8:]))
			root = binary.LittleEndian.Uint64(meta[16:])
		}
	}
	switch {
	case pages == 0:
		return fmt.Errorf("not a %s", kind)
	case info.Size() < need:
		return fmt.Errorf("the file is truncated: %d bytes of %d", info.Size(), need)
	}
	w := walk{f: f, page: size, highWater: uint64(need / size), visited: map[uint64]bool{}}
	if err := w.checkTree(root); err != nil {
		return err
	}
	if torn > 0 {
		slog.Warn("dropping the last write of a file: it was torn and never acknowledged", "file", path, "is", "a "+kind)
	}
	return nil
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
