package clusterstate

import "testing"

// TestRebootstrap checks that a rebootstrapped cluster has in force the newest version that any
// folder knows to have been in force, reuses no number, withdraws a version that was in progress,
// and gives no seat to an old disk.
func TestRebootstrap(t *testing.T) {
	rec := bootstrapped(t)
	mustApply(t, rec, proposal("x", 1, keysWith("5", "1")))
	mustApply(t, rec, Entry{Activate: &Activate{Number: 2}})
	mustApply(t, rec, proposal("y", 2, keysWith("4", "1")))
	version4 := Version{Number: 4, Fingerprint: "p4", Content: "4", Keys: keysWith("3", "1")}
	for name, x := range map[string]struct {
		acted []Version
		force uint64
		three State
	}{
		"no newer version known":   {[]Version{{}, {Number: 1, Fingerprint: "p1"}, {Number: 2, Fingerprint: "px"}}, 2, Withdrawn},
		"pending was in force":     {[]Version{{Number: 3, Fingerprint: "py"}}, 3, InForce},
		"a later one was in force": {[]Version{version4, {Number: 2, Fingerprint: "px"}}, 4, Withdrawn},
		"both were in force":       {[]Version{version4, {Number: 3, Fingerprint: "py"}}, 4, Superseded},
	} {
		n, err := rec.Rebootstrap(8, 3, Seat{"c", 9}, x.acted, "op")
		if err != nil || n.InForceNumber != x.force || n.InForce().State != InForce || n.Version(3).State != x.three || n.InProgress() != nil {
			t.Errorf("%s: %v, in force %d, state of version 3 %s", name, err, n.InForceNumber, n.Version(3).State)
		}
		inForce := 0
		for _, v := range n.Versions {
			if v.State == InForce {
				inForce++
			}
		}
		if inForce != 1 || n.LastNumber <= max(rec.LastNumber, 4)+50 || n.Cluster != 8 || n.Complete {
			t.Errorf("%s: %d versions in force, last number %d, seats %+v", name, inForce, n.LastNumber, n.Seats)
		}
		for _, s := range rec.Seats {
			if err := n.takeSeat(s); err == nil {
				t.Errorf("%s: the old disk of %s got a seat", name, s.Name)
			}
		}
	}
	if rec.InForceNumber != 2 || rec.InProgress() == nil || len(rec.RetiredDisks) != 0 {
		t.Error("the old record was changed")
	}
	if _, err := rec.Rebootstrap(8, 3, Seat{"c", 9}, []Version{{Number: 2, Fingerprint: "other"}}, "op"); err == nil {
		t.Error("a version of another cluster was accepted")
	}
	if _, err := (&Record{}).Rebootstrap(8, 3, Seat{"c", 9}, nil, "op"); err == nil {
		t.Error("an empty record was accepted")
	}
}
