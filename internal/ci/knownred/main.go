// Command knownred decides whether a failed run of "go test" may pass: only where every failure is a test that the file of known
// failures lists. Build errors, panics, data races and failures of no test never pass.
//
//	knownred KNOWN-RED.txt LOG
//
// A line of the file is "package.Test, cause, issue"; a subtest is named with its path. It exits 0 and prints the known failures, or 1 and prints the others.
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

const most = 3 // known failures at a time

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

// parseList gives the tests of the file of known failures.
func parseList(text string) (tests []string, err error) {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.SplitN(line, ",", 3)
		if len(parts) != 3 || !strings.Contains(parts[0], ".Test") {
			return nil, fmt.Errorf("%q is not \"package.Test, cause, issue\"", line)
		}
		tests = append(tests, strings.TrimSpace(parts[0]))
	}
	if len(tests) > most {
		return nil, fmt.Errorf("%d tests are listed, and no more than %d may be", len(tests), most)
	}
	return tests, nil
}

var (
	failedTest    = regexp.MustCompile(`^\s*--- FAIL: (Test\S+)`)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)\t[0-9.]+s$`)
	never         = regexp.MustCompile(`^(panic: |fatal error: |WARNING: DATA RACE|FAIL\t\S+ \[|# \S+)`)
)

// leaves leaves out tests that failed with one of their subtests: those must be listed by themselves.
func leaves(tests []string) []string {
	return slices.DeleteFunc(slices.Clone(tests), func(test string) bool {
		return slices.ContainsFunc(tests, func(other string) bool { return strings.HasPrefix(other, test+"/") })
	})
}

// failures gives the failed tests of a run, each as "package.Test". A package that failed with no failed test is an error.
func failures(log io.Reader) (failed []string, err error) {
	var tests []string // of the package whose closing line has not come yet
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if never.MatchString(line) {
			return nil, fmt.Errorf("%q never passes", line)
		}
		if m := failedTest.FindStringSubmatch(line); m != nil {
			tests = append(tests, m[1])
			continue
		}
		if m := failedPackage.FindStringSubmatch(line); m != nil {
			if len(tests) == 0 {
				return nil, fmt.Errorf("%s failed, and none of its tests did", m[1])
			}
			for _, test := range leaves(tests) {
				failed = append(failed, m[1]+"."+test)
			}
			tests = nil
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(tests) > 0 {
		return nil, fmt.Errorf("%s failed in a package that did not end", tests[0])
	}
	if len(failed) == 0 {
		return nil, errors.New("the run failed, and no test of it did")
	}
	return failed, nil
}
