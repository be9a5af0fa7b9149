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

// requestPath are the packages through which requests, attempts, lists and releases pass.
var requestPath = []string{"logic", "internal/dispatch", "internal/replica", "internal/discovery", "internal/front", "internal/front/platform",
	"internal/front/chat", "internal/front/once", "internal/operator"}

// wallReaders are the calls that take a moment as the wall clock shows it, without its monotonic reading.
var wallReaders = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "UTC", "Local", "In", "Date", "Truncate", "AppendFormat",
	"Parse", "ParseInLocation"}

// wallUses are the places that may read the wall clock, each with its reason.
var wallUses = map[string]string{
	"internal/dispatch/starttime.go Round": "the one seam: ages of replicas are found there, once",
	"internal/dispatch/counts.go Round":    "a span, rounded for people",
	"internal/discovery/list.go UnixMilli": "the form in which lists name a start",
	"internal/front/chat/chat.go Unix":     "a field of the chat API, for people",
}

// Guards: a step of the wall clock moves no deadline, window, wait or grace: nothing in the path of requests reads it.
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
			for _, call := range callsIn(t, path) {
				if !slices.Contains(wallReaders, call) {
					continue
				}
				use := pkg + "/" + filepath.Base(path) + " " + call
				if used[use] = true; wallUses[use] == "" {
					t.Errorf("%s reads wall time", use)
				}
			}
		}
	}
	for use := range wallUses {
		if !used[use] {
			t.Errorf("%s is allowed and not there", use)
		}
	}
}

// callsIn gives the names of the selectors that a file calls, but for those of package math.
func callsIn(t *testing.T, path string) (names []string) {
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
