package boltfile

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// SimulatedDisk stands for a disk that loses power when the process is killed, so that tests see what was not synced really lost. bbolt
// works on a volatile copy of each file, which is thrown away at the next start. A sync carries the pages that differ to the
// file proper, in any order, and the two pages of record after all others, as bbolt syncs between them. Killed in between, some
// are exists and others are not. A write of one page may be torn, too.
//
// A file of the same name with the ending Stall holds up syncs for as long as it is exists, one with the ending Full has them fail.
type SimulatedDisk struct {
	Seed uint64

	mu        sync.Mutex
	pagesLeft int // so many pages more, and the power is gone; 0: it stays
	rand      *rand.Rand
}

// pages of record, at the beginning of a file.
const metaPages = 2

type mount struct {
	disk           *SimulatedDisk
	path, volatile string
	page           int
}

// volatileSuffix is that of the copy that bbolt works on.
const volatileSuffix = ".volatile"

func (d *SimulatedDisk) mount(path string) (*mount, error) {
	m := &mount{disk: d, path: path, volatile: path + volatileSuffix, page: os.Getpagesize()}
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		err = os.Remove(m.volatile)
		if errors.Is(err, fs.ErrNotExist) {
			err = nil
		}
		return m, err
	case err != nil:
		return nil, err
	}
	return m, os.WriteFile(m.volatile, text, fileMode)
}

// The endings of the files by which a test holds a disk up, or has it be full.
const (
	StallSuffix = ".stall"
	FullSuffix  = ".full"
)

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

var errPowerLost = errors.New("the power is gone")

// CutAfter has the power go once so many pages more were written: nothing is written any more.
func (d *SimulatedDisk) CutPowerAfter(pages int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pagesLeft = pages + 1
}

func (d *SimulatedDisk) powerLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pagesLeft > 1 {
		d.pagesLeft--
		return false
	}
	return d.pagesLeft == 1
}

// sync carries over what has changed.
func (m *mount) sync() error {
	d := m.disk
	for exists(m.path + StallSuffix) {
		time.Sleep(5 * time.Millisecond)
	}
	if exists(m.path + FullSuffix) {
		return syscall.ENOSPC
	}
	now, err := os.ReadFile(m.volatile)
	if err != nil {
		return err
	}
	was, err := os.ReadFile(m.path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := os.OpenFile(m.path, os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // each write was checked
	var record, others []int
	for at := 0; at < len(now); at += m.page {
		end := min(at+m.page, len(now))
		if end <= len(was) && bytes.Equal(now[at:end], was[at:end]) {
			continue
		}
		if at < metaPages*m.page {
			record = append(record, at)
		} else {
			others = append(others, at)
		}
	}
	d.mu.Lock()
	if d.rand == nil {
		d.rand = rand.New(rand.NewPCG(d.Seed, 22))
	}
	d.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	torn := d.rand.IntN(m.page)
	d.mu.Unlock()
	for _, at := range append(others, record...) {
		if d.powerLost() {
			return errPowerLost
		}
		end := min(at+m.page, len(now))
		cut := min(at+torn, end) // in two writes: the process may be killed between
		if _, err := f.WriteAt(now[at:cut], int64(at)); err != nil {
			return err
		}
		if _, err := f.WriteAt(now[cut:end], int64(cut)); err != nil {
			return err
		}
	}
	return nil
}
