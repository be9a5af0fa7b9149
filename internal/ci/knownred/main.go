// Command knownred decides whether a failed run of "go test" may pass: only if every failed test is
// in the file of known failures. Build errors, panics, data races and failures outside of tests never
// pass.
//
//	knownred KNOWN-RED.txt LOG
//
// A line of the file is "package.Test, cause, issue"; a subtest is named by its path. The command
// prints the known failures and exits 0, or prints the first error and exits 1.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

const maxListed = 3 // known failures that may be listed at the same time

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred KNOWN-RED.txt LOG")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "known failures:", err)
		os.Exit(1)
	}
}

func run(listPath, logPath string, out io.Writer) error {
	text, err := os.ReadFile(listPath)
	if err != nil {
		return err
	}
	known, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listPath, err)
	}
	log, err := os.Open(logPath)
	if err != nil {
		return err
	}
	defer log.Close()
	failed, err := failures(log)
	if err != nil {
		return err
	}
	for _, test := range failed {
		if !slices.Contains(known, test) {
			return fmt.Errorf("%s failed and is not listed", test)
		}
	}
	for _, test := range failed {
		fmt.Fprintf(out, "known failure: %s\n", test)
	}
	return nil
}

// parseList returns the tests in the file of known failures.
func parseList(text string) (tests []string, err error) {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.SplitN(line, ",", 3)
		if len(fields) != 3 || !strings.Contains(fields[0], ".Test") {
			return nil, fmt.Errorf("%q is not \"package.Test, cause, issue\"", line)
		}
		tests = append(tests, strings.TrimSpace(fields[0]))
	}
	if len(tests) > maxListed {
		return nil, fmt.Errorf("%d tests are listed, at most %d are allowed", len(tests), maxListed)
	}
	return tests, nil
}

var (
	failedTest    = regexp.MustCompile(`^\s*--- FAIL: (Test\S+)`)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)\t[0-9.]+s$`)
	neverAccepted = regexp.MustCompile(`^(panic: |fatal error: |WARNING: DATA RACE|FAIL\t\S+ \[|# \S+)`)
)

// dropParents drops tests that failed because of one of their subtests: the subtest must be listed
// itself.
func dropParents(tests []string) []string {
	return slices.DeleteFunc(slices.Clone(tests), func(test string) bool {
		return slices.ContainsFunc(tests, func(other string) bool { return strings.HasPrefix(other, test+"/") })
	})
}

// failures returns the failed tests of a run, each as "package.Test". A package that failed without
// a failed test is an error.
func failures(log io.Reader) (failed []string, err error) {
	var tests []string // failed tests of the package whose result line has not been read yet
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if neverAccepted.MatchString(line) {
			return nil, fmt.Errorf("%q is never accepted as a known failure", line)
		}
		if m := failedTest.FindStringSubmatch(line); m != nil {
			tests = append(tests, m[1])
			continue
		}
		if m := failedPackage.FindStringSubmatch(line); m != nil {
			if len(tests) == 0 {
				return nil, fmt.Errorf("%s failed without a failed test", m[1])
			}
			for _, test := range dropParents(tests) {
				failed = append(failed, m[1]+"."+test)
			}
			tests = nil
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(tests) > 0 {
		return nil, fmt.Errorf("%s failed, but its package has no result line", tests[0])
	}
	if len(failed) == 0 {
		return nil, errors.New("the run failed without a failed test")
	}
	return failed, nil
}
