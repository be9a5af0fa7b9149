//go:build race

package clusterstate

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs fewer seeds under the race detector, which makes the simulation ten times slower and
// can find nothing in code that runs on one goroutine. The full number of seeds is run without it
// (docs/agreement.md). A number given with -rapid.checks is used as it is.
func TestMain(m *testing.M) {
	flag.Parse()
	asked := false
	flag.Visit(func(f *flag.Flag) { asked = asked || f.Name == "rapid.checks" })
	if !asked {
		if err := flag.Set("rapid.checks", "30"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
