package ledgerstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"standpulley/internal/boltfile"
	"standpulley/internal/ledger"
)

func newID() uint64 { return 42 }

func key(n int) (k ledger.Key) {
	binary.BigEndian.PutUint64(k[8:], uint64(n))
	return k
}

func record(n int) Record {
	r := Record{Key: key(n), Customer: "c", At: time.Duration(n) * time.Second}
	r.Entry.Record(ledger.Attempt{Owner: "v1", Boot: 9, N: uint64(n)}, ledger.Intent)
	return r
}

// opened opens a log and returns the records that it held.
func opened(path string) (*Log, []Record, error) {
	var all []Record
	l, err := Open(path, newID, true, func(r Record) { all = append(all, r) })
	return l, all, err
}

// filled creates a log with the records 1 to n, one commit each, and returns its path.
func filled(t *testing.T, n int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ledger.db")
	l, _, err := opened(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= n; i++ {
		if err := l.Commit([]Record{record(i)}, time.Duration(i)*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReopen(t *testing.T) {
	path := filled(t, 5)
	l, all, err := opened(path)
	if err != nil || len(all) != 5 || !reflect.DeepEqual(all[4], record(5)) {
		t.Fatalf("%+v %v", all, err)
	}
	if s := l.State(); s.Disk != 42 || s.Boots != 2 || s.Whole || s.Clock != 5*time.Second || s.Writes != 7 {
		t.Errorf("%+v", s)
	}
	// Compact deletes the oldest records and appends those that are still needed at the end.
	n, err := l.Compact(3, 6*time.Second, func(r Record) (Record, bool) { return r, r.Key == key(2) })
	if err != nil || n != 3 {
		t.Errorf("%d %v", n, err)
	}
	if !l.SetSeen(map[string]FileVersion{"v2": {7, 8}}) || l.SetSeen(map[string]FileVersion{"v2": {7, 8}}) {
		t.Error("SetSeen must report a change only the first time")
	}
	if err := l.SetComplete(true, 0); err != nil {
		t.Error(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l, all, err = opened(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var keys []ledger.Key
	for _, r := range all {
		keys = append(keys, r.Key)
	}
	if s := l.State(); !reflect.DeepEqual(keys, []ledger.Key{key(4), key(5), key(2)}) || !s.Whole || s.Seen["v2"] != (FileVersion{7, 8}) || s.Clock != 6*time.Second {
		t.Errorf("%v %+v", keys, s)
	}
}

// TestDamageAtEachOffset guards against acknowledged records that are missing without an error.
// Wherever the file is damaged or truncated, all acknowledged records must be there, or opening it
// must fail.
func TestDamageAtEachOffset(t *testing.T) {
	path := filled(t, 3)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	newest, page := 0, os.Getpagesize() // the meta page with the greater transaction id
	if binary.LittleEndian.Uint64(intact[page+64:]) > binary.LittleEndian.Uint64(intact[64:]) {
		newest = page
	}
	folder, tries := t.TempDir(), 0
	try := func(what string, least int, b []byte) {
		tries++
		p := filepath.Join(folder, fmt.Sprint(tries)) // a new path, as a file that failed to open may still be locked
		defer os.Remove(p)
		if err := os.WriteFile(p, b, 0o600); err != nil {
			t.Fatal(err)
		}
		l, all, err := opened(p)
		if err != nil {
			if !strings.Contains(err.Error(), p) {
				t.Errorf("%s: the error does not name the file: %v", what, err)
			}
			return
		}
		defer l.Close()
		if len(all) < least {
			t.Errorf("%s: %d of 3 records, and no error", what, len(all))
		}
	}
	log.SetOutput(io.Discard) // torn writes are logged
	defer log.SetOutput(os.Stderr)
	for at := range intact {
		if intact[at] == 0 && at%64 != 0 {
			continue // most of a small file is empty
		}
		b := bytes.Clone(intact)
		b[at] ^= 0x5a
		least := 3
		if at >= newest && at < newest+os.Getpagesize() {
			least = 2 // indistinguishable from a torn write; other holders know of the later commit (State.Seen)
		}
		try(fmt.Sprintf("byte %d", at), least, b)
	}
	for at := 512; at < len(intact); at += 512 {
		try(fmt.Sprintf("truncated at %d", at), 3, intact[:at])
	}
	if _, _, err := opened(filepath.Join(t.TempDir(), "no", "folder")); err == nil {
		t.Error("opened a file in a missing folder")
	}
}

// TestPowerLossLosesNothingAcknowledged checks, with a simulated disk that loses power, that a
// record whose commit returned is there after any kill. A record whose commit did not return may be
// there or not, but never in part.
func TestPowerLossLosesNothingAcknowledged(t *testing.T) {
	defer func() { boltfile.TestDisk = nil }()
	r := rand.New(rand.NewPCG(1, 2))
	path := filepath.Join(t.TempDir(), "ledger.db")
	acked := 0
	for run := range 20 {
		boltfile.TestDisk = &boltfile.SimulatedDisk{Seed: uint64(run)}
		l, all, err := opened(path)
		if err != nil {
			t.Fatal(err)
		}
		if len(all) < acked {
			t.Fatalf("run %d: %d records, but %d were acknowledged", run, len(all), acked)
		}
		acked = len(all)
		for range r.IntN(8) {
			if err := l.Commit([]Record{record(acked + 1)}, 0); err != nil {
				t.Fatal(err)
			}
			acked++
		}
		if r.IntN(2) == 0 { // the power fails in the middle of a sync that has written some pages
			boltfile.TestDisk.CutPowerAfter(r.IntN(6))
			if err := l.Commit([]Record{record(acked + 1)}, 0); err == nil {
				acked++
			}
		}
		l.Abandon()
	}
	if acked < 20 {
		t.Errorf("only %d records were written", acked)
	}
}

var aRecord = rapid.Custom(func(t *rapid.T) Record {
	r := Record{Customer: rapid.String().Draw(t, "customer"), At: time.Duration(rapid.IntRange(0, 1e9).Draw(t, "at")) * time.Millisecond}
	copy(r.Key[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key"))
	for range rapid.IntRange(0, 4).Draw(t, "attempts") {
		r.Entry.Record(ledger.Attempt{Owner: rapid.StringN(0, 8, -1).Draw(t, "taker"), Boot: rapid.Uint64().Draw(t, "boot"), N: rapid.Uint64().Draw(t, "n")},
			ledger.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
	}
	for range rapid.IntRange(0, 2).Draw(t, "words") {
		r.Entry.Merge(ledger.Entry{Resolutions: []ledger.Resolution{{Ran: rapid.Bool().Draw(t, "ran"), By: rapid.String().Draw(t, "by"), Why: rapid.String().Draw(t, "why")}}})
	}
	return r
})

func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := aRecord.Draw(t, "record")
		again, err := Parse(r.Append(nil))
		if err != nil || !reflect.DeepEqual(again, r) {
			t.Fatalf("%+v %v", again, err)
		}
	})
	// A field that a later version adds is skipped; a required field that is malformed is an error.
	r := record(1)
	later := protowire.AppendVarint(protowire.AppendTag(r.Append(nil), 99, protowire.VarintType), 5)
	if again, err := Parse(later); err != nil || !reflect.DeepEqual(again, r) {
		t.Errorf("%+v %v", again, err)
	}
	odd := appendBytes(r.Append(nil), fieldAttempt, appendVarint(nil, attemptOutcome, 9))
	for name, b := range map[string][]byte{"outcome": odd, "no key": appendVarint(nil, fieldAt, 1), "short key": appendBytes(nil, fieldKey, []byte("x")),
		"type": appendVarint(nil, fieldKey, 1), "cut": r.Append(nil)[:20]} {
		if _, err := Parse(b); err == nil {
			t.Errorf("%s: parsed without an error", name)
		}
	}
}

// TestFirstEncoding parses a record as the first version of the program encoded it, byte for byte.
// Later versions must be able to read it.
func TestFirstEncoding(t *testing.T) {
	text := []byte{0x0a, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 7, 0x12, 1, 'c', 0x18, 0xd8, 0x36, 0x22, 0x0a, 0x0a, 2, 'v', '1', 0x10, 9, 0x18, 7, 0x20, 0}
	r, err := Parse(text)
	if err != nil || !reflect.DeepEqual(r, record(7)) || !bytes.Equal(r.Append(nil), text) {
		t.Errorf("%+v %v", r, err)
	}
}

// A record with all its fields, as the build before the renames encoded it. It guards against changed
// field numbers and outcomes, with which the program would misread the instructions in its ledger file.
func TestFullRecordEncoding(t *testing.T) {
	text, err := os.ReadFile("testdata/record.bin")
	if err != nil {
		t.Fatal(err)
	}
	const boot = 1<<63 + 9
	want := Record{Key: ledger.Key{0: 0xa1, 1: 2, 15: 7}, Customer: "customer-1", At: 7001 * time.Millisecond, Entry: ledger.Entry{
		Attempts: []ledger.AttemptRecord{
			{Attempt: ledger.Attempt{Owner: "a", Boot: boot, N: 300}, Outcome: ledger.Intent},
			{Attempt: ledger.Attempt{Owner: "a", Boot: boot, N: 301}, Outcome: ledger.NeverRan},
			{Attempt: ledger.Attempt{Owner: "b", Boot: 10, N: 1}, Outcome: ledger.Ran},
		},
		Resolutions: []ledger.Resolution{
			{Ran: false, By: "ann", Why: "not in the books", Wall: "2026-01-02T03:04:05Z"},
			{Ran: true, By: "bob", Why: "found in the books", Wall: "2026-01-02T03:04:06Z"},
		},
	}}
	got, err := Parse(text)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v; want %+v", got, err, want)
	}
	if b := want.Append(nil); !bytes.Equal(b, text) {
		t.Errorf("encoded as %x, want %x", b, text)
	}
}

func FuzzParse(f *testing.F) {
	r := record(3)
	r.Entry.Merge(ledger.Entry{Resolutions: []ledger.Resolution{{Ran: true, By: "op", Why: "books", Wall: "now"}}})
	f.Add(r.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Parse(b)
		if err != nil {
			return
		}
		again, err := Parse(r.Append(nil))
		if err != nil || !reflect.DeepEqual(again, r) {
			t.Fatalf("%+v became %+v, %v", r, again, err)
		}
	})
}
