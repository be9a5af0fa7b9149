package boltfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
)

// The layout of a bbolt file, format version 2. Pages carry no checksum, and bbolt panics, partly
// on goroutines of its own, on a page that does not match the references to it. Therefore all pages
// in use are checked before bbolt opens the file.
const (
	pageHeader   = 16 // id, flags, count, overflow
	elementSize  = 16 // of branch and leaf pages
	branchPage   = 0x01
	leafPage     = 0x02
	bucketLeaf   = 0x01
	bucketHeader = 16 // root, sequence
	maxDepth     = 64
)

// walk checks the page tree of a file.
type walk struct {
	f         *os.File
	page      int64
	highWater uint64 // high-water mark: page ids are below it
	visited   map[uint64]bool
}

var errDamaged = errors.New("damaged")

// checkTree checks all pages in use, starting from the root of the newest meta page.
func (w *walk) checkTree(root uint64) error { return w.checkPage(root, 0, nil, nil) }

// checkPage checks a page and all pages that it refers to. Its keys must be at least low and below
// high; nil is no bound.
func (w *walk) checkPage(id uint64, depth int, low, high []byte) error {
	if depth > maxDepth || id < metaPages || id >= w.highWater {
		return fmt.Errorf("%w: reference to page %d, of %d pages", errDamaged, id, w.highWater)
	}
	head := make([]byte, pageHeader)
	if _, err := w.f.ReadAt(head, int64(id)*w.page); err != nil {
		return fmt.Errorf("%w: page %d: %w", errDamaged, id, err)
	}
	flags, count, overflow := binary.LittleEndian.Uint16(head[8:]), int(binary.LittleEndian.Uint16(head[10:])), uint64(binary.LittleEndian.Uint32(head[12:]))
	if is := binary.LittleEndian.Uint64(head); is != id || flags != branchPage && flags != leafPage || overflow >= w.highWater-id {
		return fmt.Errorf("%w: page %d has id %d, flags %d and %d overflow pages", errDamaged, id, is, flags, overflow)
	}
	for i := id; i <= id+overflow; i++ {
		if w.visited[i] {
			return fmt.Errorf("%w: page %d is referenced twice", errDamaged, i)
		}
		w.visited[i] = true
	}
	b := make([]byte, int64(overflow+1)*w.page)
	if _, err := w.f.ReadAt(b, int64(id)*w.page); err != nil {
		return fmt.Errorf("%w: page %d: %w", errDamaged, id, err)
	}
	return w.checkElements(id, b[pageHeader:], flags, count, depth, low, high)
}

// checkElements checks the elements of a page, whose contents without the header are b.
func (w *walk) checkElements(id uint64, b []byte, flags uint16, count, depth int, low, high []byte) error {
	if count*elementSize > len(b) {
		return fmt.Errorf("%w: page %d is too small for %d elements", errDamaged, id, count)
	}
	keys := make([][]byte, count)
	for i := range count {
		e := b[i*elementSize:]
		at, size := int(binary.LittleEndian.Uint32(e)), int(binary.LittleEndian.Uint32(e[4:])) // of the key, in a branch page
		if flags == leafPage {
			at, size = size, int(binary.LittleEndian.Uint32(e[8:]))
		}
		from := i*elementSize + at
		if from+size > len(b) {
			return fmt.Errorf("%w: page %d: malformed element %d", errDamaged, id, i)
		}
		keys[i] = b[from : from+size]
		if i > 0 && bytes.Compare(keys[i-1], keys[i]) >= 0 || low != nil && bytes.Compare(keys[i], low) < 0 || high != nil && bytes.Compare(keys[i], high) >= 0 {
			return fmt.Errorf("%w: page %d: keys out of order", errDamaged, id)
		}
	}
	for i := range count {
		e := b[i*elementSize:]
		if flags == branchPage { // an element is: position, key size, page id
			next := high
			if i+1 < count {
				next = keys[i+1]
			}
			if err := w.checkPage(binary.LittleEndian.Uint64(e[8:]), depth+1, keys[i], next); err != nil {
				return err
			}
			continue
		}
		kind, at := binary.LittleEndian.Uint32(e), int(binary.LittleEndian.Uint32(e[4:])) // flags and position; the sizes of key and value follow
		key, value := int(binary.LittleEndian.Uint32(e[8:])), int(binary.LittleEndian.Uint32(e[12:]))
		from := i*elementSize + at + key
		if kind > bucketLeaf || from+value > len(b) || kind == bucketLeaf && value < bucketHeader {
			return fmt.Errorf("%w: page %d: malformed element %d", errDamaged, id, i)
		}
		if kind != bucketLeaf {
			continue
		}
		if root := binary.LittleEndian.Uint64(b[from:]); root != 0 {
			if err := w.checkPage(root, depth+1, nil, nil); err != nil {
				return err
			}
		} else if inner := b[from+bucketHeader : from+value]; len(inner) < pageHeader || binary.LittleEndian.Uint16(inner[8:]) != leafPage {
			return fmt.Errorf("%w: page %d: malformed inline bucket", errDamaged, id)
		} else if err := w.checkElements(id, inner[pageHeader:], leafPage, int(binary.LittleEndian.Uint16(inner[10:])), depth+1, nil, nil); err != nil {
			return err
		}
	}
	return nil
}
