// Package boltfile opens the files that bbolt holds, with what bbolt leaves to its users: a write that was torn is told from a
// damaged file, what is damaged is an error and no panic, records carry checksums of their own, and tests may have a disk
// below that loses what was not synced.
//
//	boltfile.go  opening, committing, checksums
//	walk.go      whether a file is sound
//	power.go     the disk of tests
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
	lockTimeout = time.Second // for another process to let go of the file
)

// Options say how a file is opened.
type Options struct {
	Kind string // what the file is, for people
	Sync bool   // a commit survives a loss of power; else only the end of the process
}

// TestDisk is the disk below all files of this process; nil but in tests, which set it before they open any.
var TestDisk *SimulatedDisk

// File is an open file.
type File struct {
	*bolt.DB
	opt   Options
	mount *mount
}

// Open opens a file, or makes one. A torn write, which was never acknowledged, is cut with a line of the log.
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
			NoFreelistSync: true, // a list of free pages has no checksum, and a damaged one would overwrite what is in use
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

// Commit is bbolt's Update: when it returns, what f wrote is on disk, or none of it.
func (f *File) Commit(change func(tx *bolt.Tx) error) error {
	if err := CatchPanic(func() error { return f.Update(change) }); err != nil {
		return err
	}
	if f.mount != nil && f.opt.Sync {
		return f.mount.sync()
	}
	return nil
}

// Abandon lets go of the file as the end of the process would: nothing more is written.
func (f *File) Abandon() { _ = f.DB.Close() }

// Close closes the file.
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

// Guard turns a panic into an error: bbolt panics on pages that are damaged.
func CatchPanic(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("damaged: %v", r)
		}
	}()
	return f()
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrChecksum says that a record is not as it was written.
var ErrChecksum = errors.New("its checksum is wrong")

// Seal puts a checksum over key and value before the value.
func AddChecksum(key, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), sum), value...)
}

// Unseal gives the value that Seal was given, if it is still that.
func VerifyChecksum(key, sealed []byte) ([]byte, error) {
	if len(sealed) < 4 || crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, sealed[4:]) != binary.BigEndian.Uint32(sealed) {
		return nil, ErrChecksum
	}
	return sealed[4:], nil
}

// checkFile tells of a commit that was cut short, which the file's other page of record makes up for, and of a file whose
// end is missing, which nothing does.
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
				return fmt.Errorf("not a %s, or cut short", kind)
			}
			return err
		}
		meta := b[16:] // magic, version, page size, flags, root (2 words), free list, high water, transaction, checksum
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
		return fmt.Errorf("the file is cut short: %d bytes of %d", info.Size(), need)
	}
	w := walk{f: f, page: size, high: uint64(need / size), used: map[uint64]bool{}}
	if err := w.checkTree(root); err != nil {
		return err
	}
	if torn > 0 {
		slog.Warn("the last write was torn and is cut; it was never acknowledged", "file", path, "is", "a "+kind)
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
