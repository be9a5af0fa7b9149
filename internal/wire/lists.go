package wire

import (
	"bytes"
	"fmt"
	"io"

	"standpulley/logic"
)

func (r *Reader) readList(f *fields) error {
	ref, rows := -1, int64(0)
	for f.next() {
		switch f.name {
		case "ref":
			ref = int(f.int())
		case "rows_in":
			rows = f.int()
		}
	}
	if f.err == nil && (ref < 0 || ref >= len(r.lists)) {
		f.fail("ref", "list numbers range from 0 to 15")
	}
	if f.err == nil && rows < 0 {
		f.fail("rows_in", "a negative count")
	}
	if f.err != nil {
		return f.err
	}
	var list []logic.ServerEntry
	for ; rows > 0; rows-- {
		line, err := r.readLine()
		if err == io.EOF {
			return &Error{r.line, "rows_in", "the input ends within a list"}
		}
		if err != nil {
			return err
		}
		e, err := r.parseEntry(line)
		if err != nil {
			return err
		}
		list = append(list, e)
	}
	r.lists[ref] = list
	return nil
}

func (r *Reader) parseEntry(line []byte) (logic.ServerEntry, error) {
	e := logic.ServerEntry{Weight: 1}
	f := fields{line: r.line}
	rest, ok := bytes.CutPrefix(line, []byte("M\t"))
	if !ok {
		f.fail("rows_in", "a list entry does not begin with M")
		return e, f.err
	}
	f.rest = rest
	for f.next() {
		switch f.name {
		case "host":
			e.ID = r.intern(f.val)
		case "campus":
			e.Zone = r.intern(f.val)
		case "generation_hw":
			e.Kind = r.intern(f.val)
		case "pod":
			e.Cell = f.int()
		case "availability":
			switch string(f.val) {
			case "ready":
				e.Availability = logic.Ready
			case "draining":
				e.Availability = logic.Draining
			case "gone":
				e.Availability = logic.Gone
			default:
				f.fail(f.name, fmt.Sprintf("%q is not known", f.val))
			}
		case "weight":
			e.Weight = f.float()
		case "launched_us":
			e.Started = f.micros()
		}
	}
	if e.ID == "" {
		f.fail("host", "a list entry without an address")
	}
	return e, f.err
}

func (r *Reader) parseTargets(f *fields, m *Message) {
	ref, mode := -1, ""
	for f.next() {
		switch f.name {
		case "ref":
			ref = int(f.int())
		case "mode":
			mode = string(f.val)
		default:
			m.parseInstance(f)
		}
	}
	switch mode {
	case "D":
		m.Event.Kind = logic.ListChanged
	case "F", "C":
		m.Event.Kind = logic.ListComplete
	case "X":
		m.Event.Kind = logic.ListFailed
		return
	default:
		f.fail("mode", fmt.Sprintf("%q is not known", mode))
		return
	}
	if ref < 0 || ref >= len(r.lists) {
		f.fail("ref", "list numbers range from 0 to 15")
		return
	}
	m.Event.Servers = r.lists[ref]
}
