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

// SimulatedDisk is a disk for tests that loses power when the process is killed, so that data that
// was not synced is lost. bbolt works on a volatile copy of each file, which is replaced at the
// next start. A sync writes the pages that differ to the real file, in random order but the two
// meta pages last, as bbolt syncs between the other pages and the meta page. If the process is
// killed in between, some pages are written and others are not. The write of a single page may be
// torn, too.
//
// While a file with the suffix StallSuffix exists beside a database file, syncs of that file block;
// while one with the suffix FullSuffix exists, they fail.
type SimulatedDisk struct {
	Seed uint64

	mu        sync.Mutex
	pagesLeft int // 1 + number of pages that can be written until the power fails; 0: it does not fail
	rand      *rand.Rand
}

// metaPages is the number of meta pages at the beginning of a file.
const metaPages = 2

type mount struct {
	disk           *SimulatedDisk
	path, volatile string
	page           int
}

// volatileSuffix is the suffix of the copy that bbolt works on.
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

// The suffixes of the files by which a test blocks a disk or makes it full.
const (
	StallSuffix = ".stall"
	FullSuffix  = ".full"
)

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

var errPowerLost = errors.New("simulated power loss")

// CutPowerAfter makes the power fail after so many more pages are written. Later writes fail.
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

// sync writes the pages of the volatile copy that have changed to the real file.
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
	defer f.Close() //nolint:errcheck // the result of each write is checked
	var metas, others []int
	for at := 0; at < len(now); at += m.page {
		end := min(at+m.page, len(now))
		if end <= len(was) && bytes.Equal(now[at:end], was[at:end]) {
			continue
		}
		if at < metaPages*m.page {
			metas = append(metas, at)
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
	for _, at := range append(others, metas...) {
		if d.powerLost() {
			return errPowerLost
		}
		end := min(at+m.page, len(now))
		cut := min(at+torn, end) // two writes, as the process may be killed between them
		if _, err := f.WriteAt(now[at:cut], int64(at)); err != nil {
			return err
		}
		if _, err := f.WriteAt(now[cut:end], int64(cut)); err != nil {
			return err
		}
	}
	return nil
}
