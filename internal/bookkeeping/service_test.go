package bookkeeping

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerlog"
	"standpulley/logic"
)

// ring is three holders in one process, whose calls go directly, unless they are cut.
type ring struct {
	t       *testing.T
	folder  string
	mu      sync.Mutex
	keepers map[string]*Service
	cut     map[string]bool
	disks   map[string]uint64 // on record
	boots   uint64
}

var names = []string{"a", "b", "c"}

func newRing(t *testing.T) *ring {
	r := &ring{t: t, folder: t.TempDir(), keepers: map[string]*Service{}, cut: map[string]bool{}, disks: map[string]uint64{}}
	for _, name := range names {
		r.start(name)
	}
	t.Cleanup(func() {
		for _, name := range names {
			r.end(name)
		}
	})
	return r
}

func (r *ring) Disk(name string) (uint64, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.disks[name]
	return d, ok, nil
}

func (r *ring) SetDisk(name string, disk uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disks[name] = disk
	return nil
}

func (r *ring) path(name string) string { return ledgerlog.Path(filepath.Join(r.folder, name)) }

func (r *ring) start(name string) {
	r.t.Helper()
	if err := os.MkdirAll(filepath.Join(r.folder, name), 0o700); err != nil {
		r.t.Fatal(err)
	}
	r.boots++
	boot := r.boots
	k, err := Open(Options{Name: name, Boot: boot, Folder: filepath.Join(r.folder, name), Holders: names, Durability: DurabilitySite, FindTimeout: 2 * time.Second, DiskRecord: r,
		Limits: ledger.Limits{MaxEntries: 1000, Retention: time.Hour, Share: 2}, NewID: func() uint64 { return 100 + boot },
		Call: func(to string, ask, answer any, _ time.Duration) error {
			r.mu.Lock()
			k, cut := r.keepers[to], r.cut[name] || r.cut[to]
			r.mu.Unlock()
			if cut || k == nil {
				return errors.New("cut off")
			}
			a, err := k.Serve(ask.(Call))
			*answer.(*Answer) = a
			return err
		}})
	if err != nil {
		r.t.Fatal(err)
	}
	r.mu.Lock()
	r.keepers[name] = k
	r.mu.Unlock()
	k.Run()
}

func (r *ring) end(name string) {
	r.mu.Lock()
	k := r.keepers[name]
	r.keepers[name] = nil
	r.mu.Unlock()
	if k != nil {
		if err := k.Close(); err != nil {
			r.t.Error(err)
		}
	}
}

func (r *ring) sever(name string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[name] = cut
}

// whole waits until a holder knows all that it acknowledged.
func (r *ring) whole(name string) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); !r.keepers[name].holder.complete.Load(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s is never whole", name)
		}
	}
}

func key(n int) (k ledger.Key) {
	k[15] = byte(n)
	return k
}

func in(d time.Duration) time.Time { return time.Now().Add(d) }

// begin takes an instruction to its intent, and gives what takes the end.
func begin(k *Service, n int) (func(logic.Outcome), error) {
	type result struct {
		end func(logic.Outcome)
		err error
	}
	got := make(chan result, 1)
	k.IntentRecorder(key(n), "c", true).Begin(in(5*time.Second), func(end func(logic.Outcome), err error) { got <- result{end, err} })
	x := <-got
	return x.end, x.err
}

// told waits until an instruction's fate is known at a holder.
func (r *ring) told(name string, n int, want ledger.Status) {
	r.t.Helper()
	var is ledger.Status
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		row, err := r.keepers[name].Show(key(n))
		if is = row.Entry.Status(); err == nil && is == want {
			return
		}
	}
	r.t.Errorf("%d: %v, wanted %v", n, is, want)
}

func TestRepeatsHearTheFate(t *testing.T) {
	r := newRing(t)
	for _, name := range names {
		r.whole(name)
	}
	a, b := r.keepers["a"], r.keepers["b"]
	if err := b.CheckRepeat(key(1), in(time.Second)); err != nil {
		t.Errorf("nothing is known yet: %v", err)
	}
	end, err := begin(a, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.CheckRepeat(key(1), in(time.Second)); !errors.Is(err, ErrMayHaveRun) || !MayHaveRun(err) {
		t.Errorf("while it runs: %v", err)
	}
	if _, err := begin(b, 1); !MayHaveRun(err) {
		t.Errorf("a second attempt beside it: %v", err)
	}
	end(logic.Full) // proven never to have run
	r.told("b", 1, ledger.NotRun)
	if err := b.CheckRepeat(key(1), in(time.Second)); err != nil {
		t.Errorf("after proof: %v", err)
	}
	if end, err = begin(b, 1); err != nil {
		t.Fatal(err)
	}
	end(logic.Delivered)
	r.told("c", 1, ledger.DidRun)
	if err := a.CheckRepeat(key(1), in(time.Second)); !MayHaveRun(err) { // it hears as much as errorForStatus it, and no more
		t.Errorf("after it ran: %v", err)
	}
	// One that breaks off stays unknown until an operator settles it, once.
	if end, err = begin(a, 2); err != nil {
		t.Fatal(err)
	}
	end(logic.ConnectionLost)
	rows, err := b.Unknown()
	if err != nil || len(rows) != 1 || rows[0].Key != key(2) {
		t.Errorf("unknown: %+v %v", rows, err)
	}
	for want, w := range map[string]ledger.Resolution{"reason": {By: "op"}, "": {By: "op", Why: "not in the books", Wall: "now"}} {
		if err := b.Settle(key(2), w); err == nil != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("settle %+v: %v", w, err)
		}
	}
	if err := b.Settle(key(2), ledger.Resolution{By: "op", Why: "again", Ran: true}); err == nil || !strings.Contains(err.Error(), "nothing to settle") {
		t.Errorf("settled twice: %v", err)
	}
	if err := r.keepers["c"].CheckRepeat(key(2), in(time.Second)); err != nil {
		t.Errorf("after an operator's word: %v", err)
	}
}

// Guards: with one holder away all goes on; with two away a repeat is not sent and an intent is not noted, and says why.
func TestHoldersAway(t *testing.T) {
	r := newRing(t)
	for _, name := range names {
		r.whole(name)
	}
	r.sever("c", true)
	a := r.keepers["a"]
	if _, err := begin(a, 1); err != nil {
		t.Errorf("one away: %v", err)
	}
	if err := a.CheckRepeat(key(2), in(time.Second)); err != nil {
		t.Errorf("one away: %v", err)
	}
	r.sever("b", true)
	if _, err := begin(a, 3); !errors.Is(err, ErrNotRecorded) || MayHaveRun(err) {
		t.Errorf("two away: %v", err)
	}
	if err := a.CheckRepeat(key(4), in(time.Second)); !errors.Is(err, ErrUndetermined) {
		t.Errorf("two away: %v", err)
	}
	if err := a.CheckRepeat(key(1), in(time.Second)); !errors.Is(err, ErrMayHaveRun) {
		t.Errorf("what the own holder knows is enough to forbid it: %v", err)
	}
	if _, err := a.Unknown(); err == nil {
		t.Error("one holder lists all unknown ones")
	}
}

// Guards: a holder whose file is lost, or an old copy, counts as one that knows only after it was filled again.
func TestLostAndOldFiles(t *testing.T) {
	r := newRing(t)
	for _, name := range names {
		r.whole(name)
	}
	for n := range 5 {
		if _, err := begin(r.keepers["a"], n); err != nil {
			t.Fatal(err)
		}
	}
	old, err := os.ReadFile(r.path("b"))
	if err != nil {
		t.Fatal(err)
	}
	r.sever("c", true) // so that what follows is with a and b alone
	for n := range 5 {
		if _, err := begin(r.keepers["a"], 10+n); err != nil {
			t.Fatal(err)
		}
	}
	r.end("b")
	if err := os.WriteFile(r.path("b"), old, 0o600); err != nil {
		t.Fatal(err)
	}
	r.start("b") // it hears from a alone that it had more commits, and c is needed to fill it
	time.Sleep(2 * checkInterval)
	if r.keepers["b"].holder.complete.Load() {
		t.Error("an old copy counts as one that knows")
	}
	r.sever("c", false)
	r.whole("b")
	r.told("b", 12, ledger.Unknown)
	r.end("b")
	if err := os.Remove(r.path("b")); err != nil {
		t.Fatal(err)
	}
	r.sever("a", true)
	r.start("b")
	time.Sleep(2 * checkInterval)
	if r.keepers["b"].holder.complete.Load() {
		t.Error("a new file counts as one that knows")
	}
	if err := r.keepers["c"].CheckRepeat(key(20), in(time.Second)); !errors.Is(err, ErrUndetermined) {
		t.Errorf("c and the new b are no majority that knows: %v", err)
	}
	if err := r.keepers["b"].Accept("op", ""); err == nil {
		t.Error("accepted without a reason")
	}
	r.sever("a", false)
	r.whole("b")
	r.end("a")
	for _, n := range []int{0, 4, 10, 14} {
		if err := r.keepers["b"].CheckRepeat(key(n), in(time.Second)); !errors.Is(err, ErrMayHaveRun) {
			t.Errorf("%d is forgotten: %v", n, err)
		}
	}
}

// Guards: a flood of one customer is refused before it takes the room of others, and a full ledger forgets nothing.
func TestFloodIsRefused(t *testing.T) {
	r := newRing(t)
	for _, name := range names {
		r.whole(name)
	}
	a := r.keepers["a"]
	var refused *Refusal
	taken := 0
	for n := range 900 {
		var k ledger.Key
		copy(k[:], fmt.Sprint("flood", n))
		got := make(chan error, 1)
		a.IntentRecorder(k, "flood", false).Begin(in(5*time.Second), func(_ func(logic.Outcome), err error) { got <- err })
		if err := <-got; err == nil {
			taken++
		} else if !errors.As(err, &refused) {
			t.Fatal(err)
		}
		if taken+1 < n {
			break
		}
	}
	if refused == nil || taken < 600 || taken > 700 {
		t.Errorf("%d of the flood are taken, refused: %v", taken, refused)
	}
	if _, err := begin(a, 1); err != nil {
		t.Errorf("another customer: %v", err)
	}
}
