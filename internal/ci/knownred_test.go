// Package ci tests the scripts of the CI.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// allTests is what go test -list prints, without its lines on packages.
const allTests = "TestPool\nTestSoak\nTestPoolCloses\n"

// readKnownRed runs the script that reads a list of known red tests.
func readKnownRed(t *testing.T, list string) (output string, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(path, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command("../../.ci/known-red", path)
	command.Stdin = strings.NewReader(allTests)
	text, err := command.CombinedOutput()
	return strings.TrimSpace(string(text)), err
}

func TestKnownRedListBecomesSkipPattern(t *testing.T) {
	for name, test := range map[string]struct{ list, want string }{
		"a test":               {"TestPool, it hangs, issue 38\n", "^TestPool$"},
		"one case":             {"TestSoak/512, a request is lost, issue 46\n", "^TestSoak$/^512$"},
		"four, and empty line": {"TestPool, a, 1\n\nTestSoak/1, b, 2\nTestSoak/2, c, 3\nTestPoolCloses, d, 4", "^TestPool$|^TestSoak$/^1$|^TestSoak$/^2$|^TestPoolCloses$"},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := readKnownRed(t, test.list); err != nil || got != test.want {
				t.Errorf("%q, %v, want %q", got, err, test.want)
			}
		})
	}
}

func TestKnownRedListIsRejected(t *testing.T) {
	for name, test := range map[string]struct{ list, want string }{
		"no such test":         {"TestPoo, it hangs, issue 38\n", "TestPoo is no test"},
		"no name":              {"the pool hangs, issue 38, 1\n", "not the name of a test"},
		"a pattern":            {"Test.*, all, issue 38\n", "not the name of a test"},
		"no cause":             {"TestPool\n", "no cause or no issue"},
		"no issue":             {"TestPool, it hangs\n", "no cause or no issue"},
		"nothing but newlines": {"\n\n", "no entry"},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := readKnownRed(t, test.list); err == nil || !strings.Contains(got, test.want) {
				t.Errorf("%q, %v, want a failure with %q", got, err, test.want)
			}
		})
	}
}

// fakeGo stands for the go command: it prints what go test -v prints for the test that FAKE_RESULT describes.
const fakeGo = `#!/bin/bash
echo "$@" >>"$FAKE_CALLS"
printf -- "$FAKE_RESULT"
case "$FAKE_RESULT" in *FAIL*) exit 1 ;; esac
`

// TestKnownRedTestsArePlayed guards against a listed test that nobody runs any more, and against one that is reported as
// passed although it was not run.
func TestKnownRedTestsArePlayed(t *testing.T) {
	for name, test := range map[string]struct{ result, want string }{
		"passes":          {`--- PASS: TestSoak (1s)\n    --- PASS: TestSoak/3 (1s)\n--- PASS: TestSoak (1s)\n    --- PASS: TestSoak/3 (1s)\n`, "TestSoak/3 passed 2 runs in a row"},
		"fails":           {`    --- PASS: TestSoak/3 (1s)\n    --- FAIL: TestSoak/3 (1s)\n        soak_test.go:9: lost\nFAIL\n`, "TestSoak/3 failed after 1 runs"},
		"does not end":    {`=== RUN TestSoak/3\npanic: test timed out\nFAIL\n`, "TestSoak/3 failed after 0 runs"},
		"is not run":      {`--- PASS: TestSoak (1s)\n--- PASS: TestSoak (1s)\nok\n`, "TestSoak/3 was not run"},
		"another is like": {`    --- PASS: TestSoak/31 (1s)\n    --- PASS: TestSoak/31 (1s)\nok\n`, "TestSoak/3 was not run"},
	} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			list, calls := filepath.Join(directory, "KNOWN-RED.txt"), filepath.Join(directory, "calls")
			for path, content := range map[string]string{list: "TestSoak/3, a request is lost, issue 46\n", filepath.Join(directory, "go"): fakeGo} {
				if err := os.WriteFile(path, []byte(content), 0o700); err != nil {
					t.Fatal(err)
				}
			}
			command := exec.Command("../../.ci/play-known-red", list)
			command.Env = append(os.Environ(), "KNOWN_RED_RUNS=2", "FAKE_RESULT="+test.result, "FAKE_CALLS="+calls,
				"PATH="+directory+":"+os.Getenv("PATH"))
			command.Stdin = strings.NewReader("TestPool\nok  \tpool\t0.1s\n" + allTests + "ok  \tsoak\t0.1s\n")
			output, err := command.CombinedOutput()
			if err != nil || !strings.Contains(string(output), test.want) {
				t.Errorf("%q, %v, want %q", output, err, test.want)
			}
			if call, _ := os.ReadFile(calls); !strings.Contains(string(call), "-run ^TestSoak$/^3$ -count 2") || !strings.HasSuffix(string(call), " soak\n") {
				t.Errorf("called with %q", call)
			}
		})
	}
}
