package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/appliance"
	"standpulley/internal/cluster"
	"standpulley/internal/clusterstate"
	"standpulley/internal/config"
	"standpulley/internal/ledger"
	"standpulley/internal/ledgerstore"
	"standpulley/internal/membership"
	"standpulley/internal/raftlog"
)

// storedFolder returns a copy of the state folder that a voter of the build before the renames left.
func storedFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range []string{"active.json", "agreement.db", "ledger.db"} {
		text, err := os.ReadFile(filepath.Join("testdata", "stored", "a", name))
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, name), text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func surveyStored(t *testing.T) cluster.SurveyResult {
	t.Helper()
	r, err := cluster.Survey(storedFolder(t))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The stored settings file is found, holds no key that this build does not know, and gives the agreed
// settings in force. The test guards against an upgrade after which a dispatcher does not start or starts on
// other settings.
func TestStoredSettingsFile(t *testing.T) {
	folder := storedFolder(t)
	text, err := os.ReadFile(filepath.Join(folder, "active.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := config.ParseStrict(text, func(string) string { return "" }); err != nil {
		t.Error(err)
	}
	c, err := appliance.Dir(folder).Load()
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(c.Name, c.Listen, c.Discovery, c.Operator, c.Peers.Listen, c.Agree.Cluster, c.Agree.Voters, c.Agree.Within, c.Agree.Alone,
		c.Agree.Lists != nil, c.Chat.Models, c.Chat.MaxOutput, c.Ledger.Survive, c.Ledger.Keep, c.Recovery != nil)
	want := fmt.Sprint("a", "127.0.0.1:8010", "127.0.0.1:8501", "127.0.0.1:8710", "127.0.0.1:7011", "three",
		map[string]string{"a": "127.0.0.1:7011", "b": "127.0.0.1:7012", "c": "127.0.0.1:7013"}, "2s", "safe",
		true, map[string]string{"assistant": "enquiry", "assistant-act": "instruction"}, 500, "site", "24h", true)
	if got != want {
		t.Errorf("read as\n%s\nwant\n%s", got, want)
	}
	content, err := c.Content()
	survey := surveyStored(t)
	inForce := survey.Record.Version(3)
	if err != nil || content != inForce.Content || config.Fingerprint(content) != inForce.Fingerprint {
		t.Errorf("%v; its settings are\n%s\nand the agreed ones\n%s", err, content, inForce.Content)
	}
}

// The stored consensus log gives the record, the list of replicas and the saved state of the
// dispatcher. The test guards against an upgrade after which a voter loses what was agreed.
func TestStoredLog(t *testing.T) {
	r := surveyStored(t)
	got := fmt.Sprintf("%x %x %v %d %d %d %d %d", r.Cluster, r.Disk, r.HasVoterLog, r.Term, r.Index, r.Record.InForceNumber, r.ActsOn.Number, r.Record.List.Number)
	if want := "5aa47851120ce6e5 6a4c8686b6a0e125 true 2 15 3 3 2"; got != want {
		t.Errorf("surveyed %s, want %s", got, want)
	}
	type version struct {
		number  uint64
		state   clusterstate.State
		by, why string
	}
	var versions []version
	for _, v := range r.Record.Versions {
		versions = append(versions, version{v.Number, v.State, v.By, v.Why})
	}
	if want := []version{{1, "superseded", "a", "the cluster was founded"}, {2, "superseded", "root", "fewer repeats"}, {3, "in force", "root", "back to six"}}; !slices.Equal(versions, want) {
		t.Errorf("versions %v, want %v", versions, want)
	}
	var seats string
	for _, s := range r.Record.Seats {
		seats += s.Name
	}
	orders := membership.Orders{"answer-box-2": {ID: "answer-box-2", Do: "drain", Owner: "root", Why: "smoke", ForMS: 86_400_000, Version: 1}}
	if seats != "abc" || !reflect.DeepEqual(r.Record.Orders, orders) {
		t.Errorf("seats %s, orders %+v", seats, r.Record.Orders)
	}
}

// This build surveys the stored folder with the same result, to the byte, as the build that wrote it.
// The test guards against the loss of any single field of the log's entries.
func TestStoredLogSurvey(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", "stored", "a.survey.json"))
	if err != nil {
		t.Fatal(err)
	}
	r := surveyStored(t)
	r.Folder = ""
	got, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(r, "", "  ")
	if err != nil || !bytes.Equal(append(got, '\n'), want) {
		t.Errorf("%v, surveyed\n%s\nwant\n%s", err, got, want)
	}
}

// The stored ledger file gives its instructions and its metadata. The test guards against an upgrade after
// which an instruction that ran could run again.
func TestStoredLedger(t *testing.T) {
	entries, customers, last := map[string]ledger.Entry{}, map[string]bool{}, time.Duration(0)
	newDisk := func() uint64 {
		t.Error("the file was created anew")
		return 1
	}
	l, err := ledgerstore.Open(ledgerstore.Path(storedFolder(t)), newDisk, false, func(r ledgerstore.Record) {
		e := entries[r.Key.String()]
		e.Merge(r.Entry)
		entries[r.Key.String()], customers[r.Customer], last = e, true, r.At
	})
	if err != nil {
		t.Fatal(err)
	}
	state := l.State()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	attempt := func(owner string, boot, n uint64, o ledger.Outcome) ledger.Entry {
		return ledger.Entry{Attempts: []ledger.AttemptRecord{{Attempt: ledger.Attempt{Owner: owner, Boot: boot, N: n}, Outcome: o}}}
	}
	const bootOfA, bootOfB = 5681521004606703493, 177167535512974997
	want := map[string]ledger.Entry{
		"813c8b20e5bc5a972e9bf6d12d7c4bf8": attempt("a", bootOfA, 1, ledger.Ran),
		"2a3d0f3609f2bd23b5c8ada160fb40e9": attempt("a", bootOfA, 2, ledger.Ran),
		"7a9a46920bd7ca942eee56f966c9e429": attempt("a", bootOfA, 3, ledger.Ran),
		"6d4cd023b398a95dfaf19c3bac527a23": attempt("b", bootOfB, 1, ledger.Intent),
	}
	if !reflect.DeepEqual(entries, want) {
		t.Errorf("entries %+v, want %+v", entries, want)
	}
	statuses := map[ledger.Status]int{}
	for _, e := range entries {
		statuses[e.Status()]++
	}
	if !reflect.DeepEqual(statuses, map[ledger.Status]int{ledger.DidRun: 3, ledger.Unknown: 1}) {
		t.Errorf("statuses %v", statuses)
	}
	if !reflect.DeepEqual(customers, map[string]bool{"990f6f6e80c7b5ee": true}) || last != 8377*time.Millisecond {
		t.Errorf("customers %v, the last record at %v", customers, last)
	}
	// opening the file counts as a start and as a commit
	wantState := ledgerstore.State{Disk: 102816641242882075, Boots: 2, Whole: true, Clock: 8377315471, Writes: 17,
		Seen: map[string]ledgerstore.FileVersion{"b": {Disk: 5676698351532094485, Writes: 9}, "c": {Disk: 2824145715606860087, Writes: 10}}}
	if !reflect.DeepEqual(state, wantState) {
		t.Errorf("state %+v, want %+v", state, wantState)
	}
}

// The stored consensus log gives raft's own state. The test guards against a voter that forgets its vote
// after an upgrade and so votes twice in a term.
func TestStoredVote(t *testing.T) {
	l, err := raftlog.Open(cluster.LogPath(storedFolder(t)), cluster.NewID)
	if err != nil {
		t.Fatal(err)
	}
	hard, conf, err := l.Storage().InitialState()
	if err := errors.Join(err, l.Close()); err != nil {
		t.Fatal(err)
	}
	const diskOfA = 7659644979398107429
	if hard.GetTerm() != 2 || hard.GetVote() != diskOfA || hard.GetCommit() != 15 {
		t.Errorf("hard state %v", hard)
	}
	if want := []uint64{1922341492039467059, 6332968270911349395, diskOfA}; !slices.Equal(conf.GetVoters(), want) {
		t.Errorf("voters %v, want %v", conf.GetVoters(), want)
	}
}
