package cluster

import (
	"path/filepath"
	"testing"

	"standpulley/internal/peers"
	"standpulley/internal/raftlog"
)

// The paths of calls and the keys of stored values are those of earlier versions. The test guards against a
// dispatcher that other versions cannot call, and one that loses what it stored.
func TestNamesOutsideTheProcess(t *testing.T) {
	for want, got := range map[string]string{
		"/agree/renew":   renewCall,
		"/agree/news":    changesCall,
		"/agree/propose": proposeCall,
		"/agree/show":    showCall,
		"/agree/seat":    seatCall,
		"/agree/reading": readingCall,
		"/agree/confirm": confirmCall,
		"/agree/raft":    peers.RaftPath,
		"settings":       SectionSettings,
		"list":           SectionList,
		"life":           savedStateKey,
		"program.bears":  warmRatesKey,
	} {
		if got != want {
			t.Errorf("%q has become %q", want, got)
		}
	}
}

// The program's values are stored under the keys of earlier versions, of which a new cluster takes over
// the one of the warm rates.
func TestKeysOfProgramValues(t *testing.T) {
	l, err := raftlog.Open(filepath.Join(t.TempDir(), "agreement.db"), NewID)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := &Node{log: l}
	if err := n.SaveValue("bears", []byte("1")); err != nil {
		t.Fatal(err)
	}
	if v, err := l.Value("program.bears"); err != nil || string(v) != "1" {
		t.Errorf("stored %q, %v", v, err)
	}
	if v, err := n.LoadValue("bears"); err != nil || string(v) != "1" {
		t.Errorf("loaded %q, %v", v, err)
	}
}
