// Package review holds the cases of an independent review: a folder for each case, with its claim and the script that
// shows it.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// casesVariable is the environment variable that asks for the cases. They need the programs that the deploy file and
// build.sh build, and take up to two minutes each, so that they are no part of the default run.
const casesVariable = "REVIEW_CASES"

// TestReview plays the cases of the review, and further faults that were shown and are no cases. Each fails while the
// fault that it shows exists.
func TestReview(t *testing.T) {
	for _, name := range []string{"1", "2", "3", "further-1", "further-2", "further-3", "further-4"} {
		t.Run(name, func(t *testing.T) {
			if os.Getenv(casesVariable) == "" {
				t.Skip("the cases are played only if " + casesVariable + " is set")
			}
			out, err := exec.Command(filepath.Join(".", name, "run.sh")).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Errorf("the rule was broken:\n%s", out)
			default:
				t.Fatalf("the case could not run: %v\n%s", err, out)
			}
		})
	}
}
