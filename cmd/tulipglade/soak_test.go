package main

import (
	"context"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"tulipglade/internal/soak"
)

// soakSeeds is how many seeds TestSoak plays; SOAK_SEEDS and SOAK_FIRST play others.
const soakSeeds = 4

// maxBrokenLines bounds how many broken rules of a seed are printed.
const maxBrokenLines = 20

// Overlapping faults, drawn from a seed, against ten processes of the program: no invariant is broken.
func TestSoak(t *testing.T) { playSoakSeeds(t, false) }

// The same with lists of all forms, revisions that start over, and many backends that leave the list at once.
func TestSoakWithVariedLists(t *testing.T) { playSoakSeeds(t, true) }

func playSoakSeeds(t *testing.T, varyLists bool) {
	t.Helper()
	first := environmentNumber("SOAK_FIRST", 1)
	seeds := environmentNumber("SOAK_SEEDS", soakSeeds)
	nodes := environmentNumber("SOAK_NODES", 10)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			soakSeed(t, uint64(seed), nodes, varyLists)
		})
	}
}

func soakSeed(t *testing.T, seed uint64, nodes int, varyLists bool) {
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
				"GORACE=atexit_sleep_ms=0") // a process under the race detector would stay for a second after its end
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests: %d served, %d rejected, %d failed; this process late by %.3f s at most (at %.3f); faults %v",
		result.Total, result.Served, result.Rejected, result.Failed,
		result.LongestDelay.Seconds(), result.LongestDelayAt.Seconds(), result.Faults)
	for i, line := range result.Violations {
		if i == maxBrokenLines {
			t.Errorf("and %d more", len(result.Violations)-i)
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
