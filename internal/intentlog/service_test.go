package intentlog

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
	"standpulley/internal/ledgerstore"
	"standpulley/logic"
)

// cluster is three holders in one process. Calls between them are direct, unless a holder is cut
// off.
type cluster struct {
	t        *testing.T
	folder   string
	mu       sync.Mutex
	services map[string]*Service
	cut      map[string]bool
	disks    map[string]uint64 // the agreed record
	boots    uint64
}

var names = []string{"a", "b", "c"}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), services: map[string]*Service{}, cut: map[string]bool{}, disks: map[string]uint64{}}
	for _, name := range names {
		c.start(name)
	}
	t.Cleanup(func() {
		for _, name := range names {
			c.end(name)
		}
	})
	return c
}

func (c *cluster) Disk(name string) (uint64, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.disks[name]
	return d, ok, nil
}

func (c *cluster) SetDisk(name string, disk uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disks[name] = disk
	return nil
}

func (c *cluster) path(name string) string { return ledgerstore.Path(filepath.Join(c.folder, name)) }

func (c *cluster) start(name string) {
	c.t.Helper()
	if err := os.MkdirAll(filepath.Join(c.folder, name), 0o700); err != nil {
		c.t.Fatal(err)
	}
	c.boots++
	boot := c.boots
	svc, err := Open(Options{Name: name, Boot: boot, Folder: filepath.Join(c.folder, name), Holders: names, Durability: DurabilitySite, FindTimeout: 2 * time.Second, DiskRecord: c,
		Limits: ledger.Limits{MaxEntries: 1000, Retention: time.Hour, Share: 2}, NewID: func() uint64 { return 100 + boot },
		Call: func(to string, ask, answer any, _ time.Duration) error {
			c.mu.Lock()
			svc, cut := c.services[to], c.cut[name] || c.cut[to]
			c.mu.Unlock()
			if cut || svc == nil {
				return errors.New("cut off")
			}
			a, err := svc.Serve(ask.(Call))
			*answer.(*Answer) = a
			return err
		}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.services[name] = svc
	c.mu.Unlock()
	svc.Run()
}

func (c *cluster) end(name string) {
	c.mu.Lock()
	svc := c.services[name]
	c.services[name] = nil
	c.mu.Unlock()
	if svc != nil {
		if err := svc.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

func (c *cluster) cutOff(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = cut
}

// waitComplete waits until a holder is complete.
func (c *cluster) waitComplete(name string) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); !c.services[name].holder.complete.Load(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s does not become complete", name)
		}
	}
}

func key(n int) (k ledger.Key) {
	k[15] = byte(n)
	return k
}

func in(d time.Duration) time.Time { return time.Now().Add(d) }

// begin records the intent for an attempt of an instruction and returns the function that takes its
// outcome.
func begin(svc *Service, n int) (func(logic.Outcome), error) {
	type result struct {
		end func(logic.Outcome)
		err error
	}
	got := make(chan result, 1)
	svc.IntentRecorder(key(n), "c", true).Begin(in(5*time.Second), func(end func(logic.Outcome), err error) { got <- result{end, err} })
	x := <-got
	return x.end, x.err
}

// waitStatus waits until a holder sees the given status of an instruction.
func (c *cluster) waitStatus(name string, n int, want ledger.Status) {
	c.t.Helper()
	var is ledger.Status
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		row, err := c.services[name].Show(key(n))
		if is = row.Entry.Status(); err == nil && is == want {
			return
		}
	}
	c.t.Errorf("instruction %d: status %v, want %v", n, is, want)
}

func TestRepeatsAndStatus(t *testing.T) {
	c := newCluster(t)
	for _, name := range names {
		c.waitComplete(name)
	}
	a, b := c.services["a"], c.services["b"]
	if err := b.CheckRepeat(key(1), in(time.Second)); err != nil {
		t.Errorf("before any attempt: %v", err)
	}
	end, err := begin(a, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.CheckRepeat(key(1), in(time.Second)); !errors.Is(err, ErrMayHaveRun) || !MayHaveRun(err) {
		t.Errorf("while the attempt is in flight: %v", err)
	}
	if _, err := begin(b, 1); !MayHaveRun(err) {
		t.Errorf("a second attempt while one is in flight: %v", err)
	}
	end(logic.Full) // proven never to have run
	c.waitStatus("b", 1, ledger.NotRun)
	if err := b.CheckRepeat(key(1), in(time.Second)); err != nil {
		t.Errorf("after the attempt was proven never to have run: %v", err)
	}
	if end, err = begin(b, 1); err != nil {
		t.Fatal(err)
	}
	end(logic.Delivered)
	c.waitStatus("c", 1, ledger.DidRun)
	if err := a.CheckRepeat(key(1), in(time.Second)); !MayHaveRun(err) { // either error is right: the first reply that forbids the repeat decides
		t.Errorf("after an attempt ran: %v", err)
	}
	// An instruction whose connection was lost stays unknown until an operator settles it, once.
	if end, err = begin(a, 2); err != nil {
		t.Fatal(err)
	}
	end(logic.ConnectionLost)
	rows, err := b.Unknown()
	if err != nil || len(rows) != 1 || rows[0].Key != key(2) {
		t.Errorf("unknown instructions: %+v, %v", rows, err)
	}
	for want, w := range map[string]ledger.Resolution{"reason": {By: "op"}, "": {By: "op", Why: "not in the records", Wall: "now"}} {
		if err := b.Settle(key(2), w); err == nil != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("settle %+v: %v", w, err)
		}
	}
	if err := b.Settle(key(2), ledger.Resolution{By: "op", Why: "again", Ran: true}); err == nil || !strings.Contains(err.Error(), "nothing to settle") {
		t.Errorf("settled twice: %v", err)
	}
	if err := c.services["c"].CheckRepeat(key(2), in(time.Second)); err != nil {
		t.Errorf("after an operator's resolution: %v", err)
	}
}

// TestUnreachableHolders checks that intents are recorded and repeats are checked while one holder
// is unreachable. While two are, repeats are refused and intents are not recorded, each with the
// error that says so.
func TestUnreachableHolders(t *testing.T) {
	c := newCluster(t)
	for _, name := range names {
		c.waitComplete(name)
	}
	c.cutOff("c", true)
	a := c.services["a"]
	if _, err := begin(a, 1); err != nil {
		t.Errorf("with one holder unreachable: %v", err)
	}
	if err := a.CheckRepeat(key(2), in(time.Second)); err != nil {
		t.Errorf("with one holder unreachable: %v", err)
	}
	c.cutOff("b", true)
	if _, err := begin(a, 3); !errors.Is(err, ErrNotRecorded) || MayHaveRun(err) {
		t.Errorf("with two holders unreachable: %v", err)
	}
	if err := a.CheckRepeat(key(4), in(time.Second)); !errors.Is(err, ErrUndetermined) {
		t.Errorf("with two holders unreachable: %v", err)
	}
	if err := a.CheckRepeat(key(1), in(time.Second)); !errors.Is(err, ErrMayHaveRun) {
		t.Errorf("the own holder knows an attempt that forbids the repeat: %v", err)
	}
	if _, err := a.Unknown(); err == nil {
		t.Error("unknown instructions are listed without a majority")
	}
}

// TestLostAndOldFiles guards against a holder that counts as complete although its file is new or an
// old copy, before it was refilled from the other holders.
func TestLostAndOldFiles(t *testing.T) {
	c := newCluster(t)
	for _, name := range names {
		c.waitComplete(name)
	}
	for n := range 5 {
		if _, err := begin(c.services["a"], n); err != nil {
			t.Fatal(err)
		}
	}
	old, err := os.ReadFile(c.path("b"))
	if err != nil {
		t.Fatal(err)
	}
	c.cutOff("c", true) // only a and b record the following intents
	for n := range 5 {
		if _, err := begin(c.services["a"], 10+n); err != nil {
			t.Fatal(err)
		}
	}
	c.end("b")
	if err := os.WriteFile(c.path("b"), old, 0o600); err != nil {
		t.Fatal(err)
	}
	c.start("b") // only a knows of its later commits, and refilling needs c as well
	time.Sleep(2 * checkInterval)
	if c.services["b"].holder.complete.Load() {
		t.Error("a holder with an old copy counts as complete")
	}
	c.cutOff("c", false)
	c.waitComplete("b")
	c.waitStatus("b", 12, ledger.Unknown)
	c.end("b")
	if err := os.Remove(c.path("b")); err != nil {
		t.Fatal(err)
	}
	c.cutOff("a", true)
	c.start("b")
	time.Sleep(2 * checkInterval)
	if c.services["b"].holder.complete.Load() {
		t.Error("a holder with a new file counts as complete")
	}
	if err := c.services["c"].CheckRepeat(key(20), in(time.Second)); !errors.Is(err, ErrUndetermined) {
		t.Errorf("c and the new b are not a majority of complete holders: %v", err)
	}
	if err := c.services["b"].Accept("op", ""); err == nil {
		t.Error("Accept without a reason succeeded")
	}
	c.cutOff("a", false)
	c.waitComplete("b")
	c.end("a")
	for _, n := range []int{0, 4, 10, 14} {
		if err := c.services["b"].CheckRepeat(key(n), in(time.Second)); !errors.Is(err, ErrMayHaveRun) {
			t.Errorf("instruction %d is forgotten: %v", n, err)
		}
	}
}

// TestFloodIsRefused guards against a flood by one customer that takes the room of the others.
func TestFloodIsRefused(t *testing.T) {
	c := newCluster(t)
	for _, name := range names {
		c.waitComplete(name)
	}
	a := c.services["a"]
	var refused *Refusal
	taken := 0
	for n := range 900 {
		var floodKey ledger.Key
		copy(floodKey[:], fmt.Sprint("flood", n))
		got := make(chan error, 1)
		a.IntentRecorder(floodKey, "flood", false).Begin(in(5*time.Second), func(_ func(logic.Outcome), err error) { got <- err })
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
		t.Errorf("%d instructions of the flooding customer were recorded, want 600 to 700; refusal: %v", taken, refused)
	}
	if _, err := begin(a, 1); err != nil {
		t.Errorf("another customer: %v", err)
	}
}
