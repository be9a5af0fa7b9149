package dedup

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
)

func TestClaimAndRelease(t *testing.T) {
	table := New()
	for i := range 1000 {
		id := fmt.Sprintf("%016x", i)
		if !table.Claim(id) || table.Claim(id) {
			t.Fatalf("%s: the first claim must succeed, the second must not", id)
		}
		if i%2 == 0 {
			table.Release(id)
			if !table.Claim(id) {
				t.Fatalf("%s: not free after its release", id)
			}
		}
	}
}

// TestLatestIDsAreRemembered guards against a table that grows with the ids that clients make up,
// and against one that forgets the latest.
func TestLatestIDsAreRemembered(t *testing.T) {
	const latest = entryCount / 8
	table := New()
	for i := range 10 * entryCount {
		if id := fmt.Sprint(i); !table.Claim(id) {
			t.Fatalf("%s is taken for another id", id)
		}
	}
	forgotten := 0
	for i := 10*entryCount - latest; i < 10*entryCount; i++ {
		if table.Claim(fmt.Sprint(i)) {
			forgotten++
		}
	}
	if forgotten > 0 {
		t.Errorf("%d of the latest %d ids are forgotten", forgotten, latest)
	}
}

// TestOneClaimAcrossProcesses opens a file twice, as two processes do, and claims each id from both
// at once.
func TestOneClaimAcrossProcesses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	var tables [2]*Table
	for i := range tables {
		var err error
		if tables[i], err = Open(path); err != nil {
			t.Fatal(err)
		}
	}
	const ids = 2000
	for i := range ids {
		id := fmt.Sprint(i)
		var claims atomic.Int64
		var both sync.WaitGroup
		for _, table := range tables {
			both.Go(func() {
				other := "other " + id // a claim that comes and goes beside it
				table.Claim(other)
				if table.Claim(id) {
					claims.Add(1)
				}
				table.Release(other)
			})
		}
		both.Wait()
		if n := claims.Load(); n > 1 {
			t.Fatalf("id %s: %d claims", id, n)
		}
		if claims.Load() == 1 && (tables[0].Claim(id) || tables[1].Claim(id)) {
			t.Fatalf("id %s is free", id)
		}
	}
}

func TestOpenRejectsAnotherFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	if err := os.WriteFile(path, []byte("not a table"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Error("no error")
	}
}
