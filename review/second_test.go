package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// secondCasesVariable is the environment variable that lets TestSecondReview play the cases of the second review. Each
// plays real processes for up to two minutes, so they are no part of the usual run.
const secondCasesVariable = "TULIP_SECOND_REVIEW"

// TestSecondReview plays the cases of the second review, and further faults that were shown and are no cases, after the
// build of the deploy file and review/build-2.sh.
func TestSecondReview(t *testing.T) {
	if os.Getenv(secondCasesVariable) == "" {
		t.Skipf("set %s=1 to play the cases", secondCasesVariable)
	}
	for _, number := range []string{"6", "7", "8", "9", "10", "further-5", "further-6", "further-7"} {
		t.Run(number, func(t *testing.T) {
			output, err := exec.Command(filepath.Join(number, "run.sh")).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Errorf("the rule was broken, see %s", filepath.Join(number, "record.txt"))
			default:
				t.Fatalf("the case could not run: %v\n%s", err, output)
			}
		})
	}
}
