package main

import (
	"context"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"tulipglade/internal/soak"
)

// defaultSoakSeeds is the number of seeds of each soak test. SOAK_SEEDS sets another number, SOAK_FIRST the first seed
// and SOAK_NODES the number of processes.
const defaultSoakSeeds = 4

// maxPrintedViolations limits how many invariant violations are printed for each seed.
const maxPrintedViolations = 20

// TestSoak runs ten processes under overlapping faults drawn from a seed, and checks that no invariant is violated.
func TestSoak(t *testing.T) { runSoakSeeds(t, false) }

// TestSoakWithVariedLists is TestSoak with endpoint lists in all forms, revisions that start over, and lists that lose
// many backends at once.
func TestSoakWithVariedLists(t *testing.T) { runSoakSeeds(t, true) }

// runSoakSeeds runs each seed as a sub-test.
func runSoakSeeds(t *testing.T, varyLists bool) {
	t.Helper()
	first := intFromEnvironment("SOAK_FIRST", 1)
	seeds := intFromEnvironment("SOAK_SEEDS", defaultSoakSeeds)
	nodes := intFromEnvironment("SOAK_NODES", 10)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			runSoakSeed(t, uint64(seed), nodes, varyLists)
		})
	}
}

// runSoakSeed runs one seed. It fails the test and logs the planned faults if an invariant is violated. It also fails
// the test if less than a quarter of the requests are served.
func runSoakSeed(t *testing.T, seed uint64, nodes int, varyLists bool) {
	t.Helper()
	result, err := soak.Run(context.Background(), soak.Options{
		Seed:      seed,
		Nodes:     nodes,
		Backends:  6,
		Length:    16 * time.Second,
		VaryLists: varyLists,
		Dir:       t.TempDir(),
		Command: func(configPath string) *exec.Cmd {
			return programCommand(configPath, envMaxDescriptors+"=256",
				"GORACE=atexit_sleep_ms=0") // by default, the race detector delays the exit of a process by a second
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests: %d served, %d rejected, %d failed; the test process was delayed by at most %.3f s (at %.3f s); faults %v",
		result.Total, result.Served, result.Rejected, result.Failed,
		result.LongestDelay.Seconds(), result.LongestDelayAt.Seconds(), result.Faults)
	for i, line := range result.Violations {
		if i == maxPrintedViolations {
			t.Errorf("and %d more violations", len(result.Violations)-i)
			break
		}
		t.Error(line)
	}
	if t.Failed() {
		for _, fault := range result.Plan {
			t.Log(fault)
		}
	}
	if result.Served < result.Total/4 {
		t.Errorf("only %d of %d requests were served", result.Served, result.Total)
	}
}
