package program

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// requestPath lists the packages that handle requests, attempts, replica lists and releases.
var requestPath = []string{"logic", "internal/dispatch", "internal/replica", "internal/discovery", "internal/front", "internal/front/platform",
	"internal/front/chat", "internal/front/once", "internal/operator"}

// wallClockMethods are the calls that read a time as the wall clock shows it, without its monotonic
// reading.
var wallClockMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "UTC", "Local", "In", "Date", "Truncate", "AppendFormat",
	"Parse", "ParseInLocation"}

// allowedUses are the places that may read the wall clock, each with its reason.
var allowedUses = map[string]string{
	"internal/dispatch/starttime.go Round": "the only conversion: replica ages are computed there, once",
	"internal/dispatch/counts.go Round":    "a duration, rounded for display",
	"internal/discovery/list.go UnixMilli": "the format of start times in lists",
	"internal/front/chat/chat.go Unix":     "the created field of the chat API, for display",
}

// TestRequestPathReadsNoWallTime guards against a step of the wall clock that shifts a deadline,
// window, wait or grace period: nothing in the request path may read the wall clock.
func TestRequestPathReadsNoWallTime(t *testing.T) {
	used := map[string]bool{}
	for _, pkg := range requestPath {
		paths, err := filepath.Glob(filepath.Join("../..", pkg, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: %v, %d files", pkg, err, len(paths))
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			for _, call := range calledSelectors(t, path) {
				if !slices.Contains(wallClockMethods, call) {
					continue
				}
				use := pkg + "/" + filepath.Base(path) + " " + call
				if used[use] = true; allowedUses[use] == "" {
					t.Errorf("%s reads wall time", use)
				}
			}
		}
	}
	for use := range allowedUses {
		if !used[use] {
			t.Errorf("%s is allowed but not used", use)
		}
	}
}

// calledSelectors returns the names of the selectors that a file calls, except those of package
// math.
func calledSelectors(t *testing.T, path string) (names []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if sel, ok := call.Fun.(*ast.SelectorExpr); ok {
			if of, ok := sel.X.(*ast.Ident); !ok || of.Name != "math" {
				names = append(names, sel.Sel.Name)
			}
		}
		return true
	})
	return names
}
