package raftlog

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

func newID() uint64 { return 42 }

func entry(index, term uint64, text string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(text)}
}

func hard(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func reopen(t *testing.T, path string) *Log {
	t.Helper()
	l, err := Open(path, func() uint64 { t.Error("a second identity was drawn"); return 0 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// filled creates a log with the entries 1 to 5 and returns its path.
func filled(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log.db")
	l, err := Open(path, newID)
	if err != nil {
		t.Fatal(err)
	}
	for _, err := range []error{
		l.SetCluster(7),
		l.Save(hard(1, 42, 0), []*raftpb.Entry{entry(1, 1, "one"), entry(2, 1, "two"), entry(3, 1, "never committed")}, nil),
		l.Save(hard(2, 42, 3), []*raftpb.Entry{entry(3, 2, "three"), entry(4, 2, "four"), entry(5, 2, strings.Repeat("five", 3000))}, nil),
		l.SetValue("life", []byte("long")),
		l.Close(),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	return path
}

func TestReopen(t *testing.T) {
	path := filled(t)
	l := reopen(t, path)
	if l.Identity() != (Identity{42, 7}) {
		t.Errorf("identity %+v", l.Identity())
	}
	state, _, _ := l.Storage().InitialState()
	all, err := l.Storage().Entries(1, 6, 1<<20)
	if err != nil || state.GetTerm() != 2 || state.GetVote() != 42 || state.GetCommit() != 3 || len(all) != 5 || string(all[2].GetData()) != "three" {
		t.Fatalf("%v %v %v", state, all, err)
	}
	if note, err := l.Value("life"); string(note) != "long" || err != nil {
		t.Errorf("value %q %v", note, err)
	}
	if note, err := l.Value("other"); note != nil || err != nil {
		t.Errorf("value %q %v", note, err)
	}
	if _, err := Open(path, newID); err == nil || !strings.Contains(err.Error(), "another program") {
		t.Errorf("second open of the same file: %v", err)
	}
	// Compact keeps the entries after its snapshot; a received snapshot replaces all entries.
	if err := l.Compact(3, &raftpb.ConfState{Voters: []uint64{42}}, []byte("made")); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l = reopen(t, path)
	if first, _ := l.Storage().FirstIndex(); first != 4 {
		t.Errorf("first %d", first)
	}
	index, term := uint64(90), uint64(5)
	snap := &raftpb.Snapshot{Data: []byte("theirs"), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{42}}}}
	if err := l.Save(hard(5, 0, 90), nil, snap); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l = reopen(t, path)
	if last, _ := l.Storage().LastIndex(); last != 90 {
		t.Errorf("last %d", last)
	}
}

// TestDamage checks that a damaged file or a file of another program fails to open, with an error
// that says so, and that a torn write is dropped.
func TestDamage(t *testing.T) {
	path := filled(t)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	try := func(name, want string, change func(b []byte) []byte) {
		t.Helper()
		p := filepath.Join(t.TempDir(), "log.db")
		if err := os.WriteFile(p, change(bytes.Clone(intact)), 0o600); err != nil {
			t.Fatal(err)
		}
		l, err := Open(p, newID)
		if err == nil {
			defer l.Close()
		}
		if want == "" != (err == nil) || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", name, err, want)
		}
	}
	flip := func(at int) func([]byte) []byte { return func(b []byte) []byte { b[at] ^= 1; return b } }
	all := func(word string, after int) func([]byte) []byte { // also on pages that have been freed
		return func(b []byte) []byte {
			for at := 0; ; {
				i := bytes.Index(b[at:], []byte(word))
				if i < 0 {
					return b
				}
				at += i + len(word)
				b[at+after] ^= 1
			}
		}
	}
	try("intact", "", func(b []byte) []byte { return b })
	try("another file", "not a log", func([]byte) []byte { return bytes.Repeat([]byte("nonsense "), 4000) })
	try("a short file", "not a log", func([]byte) []byte { return []byte("x") })
	try("truncated", "truncated", func(b []byte) []byte { return b[:3*os.Getpagesize()] })
	try("an entry", "damaged: entry 4", all("fou", 0))
	try("the identity", "identity", all(string(identityKey), 8))
	// If the newer meta page is torn, the older one is used, which has all but the last commit.
	newest := 0
	if page := os.Getpagesize(); bytes.Compare(intact[16+48:16+56], intact[page+16+48:page+16+56]) < 0 {
		newest = page
	}
	try("the last write", "", flip(newest+16+20))
	try("both pages", "not a log", func(b []byte) []byte { return flip(16 + 20)(flip(os.Getpagesize() + 16 + 20)(b)) })
}
