package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const oneFailure = "ok  \ta/b\t0.1s\n--- FAIL: TestRed (1.75s)\n    red_test.go:9: wrong\nFAIL\nFAIL\ta/c\t1.760s\nFAIL\n"

// subtest returns the log of a run in which one subtest of TestRed failed.
func subtest(name string) string {
	return "--- FAIL: TestRed (1.75s)\n    --- FAIL: TestRed/" + name + " (1.7s)\n        red_test.go:9: wrong\nFAIL\nFAIL\ta/c\t1.760s\nFAIL\n"
}

// TestOnlyListedFailuresPass checks that only listed failures pass, and that a listed failure does
// not hide a build error, a panic, a data race or a package without a result.
func TestOnlyListedFailuresPass(t *testing.T) {
	for name, c := range map[string]struct {
		list, log, wrong string
	}{
		"listed":              {"a/c.TestRed, its cause, 36\n", oneFailure, ""},
		"not listed":          {"# none\n", oneFailure, "a/c.TestRed failed and is not listed"},
		"other package":       {"a/b.TestRed, its cause, 36\n", oneFailure, "not listed"},
		"second failure":      {"a/c.TestRed, its cause, 36\n", oneFailure + "--- FAIL: TestOther (0s)\nFAIL\ta/d\t0.1s\n", "a/d.TestOther"},
		"build error":         {"a/c.TestRed, its cause, 36\n", oneFailure + "FAIL\ta/d [build failed]\n", "is never accepted"},
		"panic":               {"a/c.TestRed, its cause, 36\n", "panic: test timed out after 10m0s\n" + oneFailure, "is never accepted"},
		"data race":           {"a/c.TestRed, its cause, 36\n", "WARNING: DATA RACE\n" + oneFailure, "is never accepted"},
		"subtest":             {"a/c.TestRed/one, its cause, 36\n", subtest("one"), ""},
		"other subtest":       {"a/c.TestRed/one, its cause, 36\n", subtest("two"), "a/c.TestRed/two failed and is not listed"},
		"parent of a subtest": {"a/c.TestRed, its cause, 36\n", subtest("one"), "a/c.TestRed/one failed and is not listed"},
		"no failed test":      {"a/c.TestRed, its cause, 36\n", "exit status 2\nFAIL\ta/c\t0.1s\n", "a/c failed without a failed test"},
		"empty log":           {"a/c.TestRed, its cause, 36\n", "", "the run failed without a failed test"},
		"truncated log":       {"a/c.TestRed, its cause, 36\n", "--- FAIL: TestRed (0s)\n", "its package has no result line"},
		"line without cause":  {"a/c.TestRed\n", oneFailure, "is not"},
		"too many listed":     {strings.Repeat("a/c.TestRed, its cause, 36\n", 4), oneFailure, "4 tests are listed"},
	} {
		list, log := filepath.Join(t.TempDir(), "list"), filepath.Join(t.TempDir(), "log")
		if os.WriteFile(list, []byte(c.list), 0o600) != nil || os.WriteFile(log, []byte(c.log), 0o600) != nil {
			t.Fatal("can't write the test files")
		}
		var out strings.Builder
		err := run(list, log, &out)
		if c.wrong == "" && (err != nil || !strings.Contains(out.String(), "known failure: a/c.TestRed")) {
			t.Errorf("%s: %v, %q", name, err, out.String())
		}
		if c.wrong != "" && (err == nil || !strings.Contains(err.Error(), c.wrong)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
