package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"
)

// fields iterates over the name=value fields of a line and keeps the first error.
type fields struct {
	rest []byte
	line int
	name string
	val  []byte
	err  error
}

func (f *fields) next() bool {
	for len(f.rest) > 0 && f.err == nil {
		part := f.rest
		if i := bytes.IndexByte(f.rest, '\t'); i >= 0 {
			part, f.rest = f.rest[:i], f.rest[i+1:]
		} else {
			f.rest = nil
		}
		if len(part) == 0 {
			continue
		}
		i := bytes.IndexByte(part, '=')
		if i < 0 {
			f.fail(string(part), "no '=' in it")
			return false
		}
		f.name, f.val = string(part[:i]), part[i+1:]
		return true
	}
	return false
}

func (f *fields) fail(field, text string) {
	if f.err == nil {
		f.err = &Error{f.line, field, text}
	}
}

func (f *fields) int() int64 {
	v, err := strconv.ParseInt(string(f.val), 10, 64)
	if err != nil {
		u, uerr := strconv.ParseUint(string(f.val), 10, 64)
		if uerr == nil {
			return int64(min(u, math.MaxInt64))
		}
		f.fail(f.name, fmt.Sprintf("%q is not a whole number", f.val))
	}
	return v
}

func (f *fields) float() float64 {
	v, err := strconv.ParseFloat(string(f.val), 64)
	if err != nil {
		f.fail(f.name, fmt.Sprintf("%q is not a number", f.val))
	}
	return v
}

func (f *fields) micros() time.Duration {
	const limit = math.MaxInt64 / int64(time.Microsecond) / 4
	return time.Duration(max(min(f.int(), limit), -limit)) * time.Microsecond
}

func (f *fields) key() uint64 {
	v, err := strconv.ParseUint(string(f.val), 16, 64)
	if err != nil {
		f.fail(f.name, fmt.Sprintf("%q is not a key of hex digits", f.val))
	}
	return v
}

func (f *fields) bool() bool {
	switch string(f.val) {
	case "1", "true":
		return true
	case "0", "false":
		return false
	}
	f.fail(f.name, fmt.Sprintf("%q is not a bool", f.val))
	return false
}
