package peers

import "testing"

// The headers and paths of calls are those of earlier versions. The test guards against dispatchers that
// cannot call each other during an upgrade.
func TestNamesOutsideTheProcess(t *testing.T) {
	for want, got := range map[string]string{"X-Cluster": headerCluster, "X-Cluster-Id": headerID, "X-Member": headerMember,
		"/agree/raft": RaftPath, "/agree/reading": ReadingPath} {
		if got != want {
			t.Errorf("%q has become %q", want, got)
		}
	}
}
