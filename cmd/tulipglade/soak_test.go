package main

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"tulipglade/internal/soak"
)

// soakSeeds is how many seeds TestSoak plays; SOAK_SEEDS and SOAK_FIRST play others.
const soakSeeds = 4

// Overlapping faults, drawn from a seed, against ten processes of the program: no rule is broken.
func TestSoak(t *testing.T) {
	first, seeds, nodes := number("SOAK_FIRST", 1), number("SOAK_SEEDS", soakSeeds), number("SOAK_NODES", 10)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			res, err := soak.Play(context.Background(), soak.Options{Seed: uint64(seed), Nodes: nodes, Backends: 6, Length: 16 * time.Second, Dir: t.TempDir(),
				Command: func(configuration string) *exec.Cmd {
					cmd := exec.Command(os.Args[0])
					cmd.Env = append(os.Environ(), "TULIPGLADE_TEST_RUN="+configuration, "TULIPGLADE_TEST_FILES=256",
						"GORACE=atexit_sleep_ms=0") // a process under the race detector would stay for a second after its end
					return cmd
				}})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests: %d served, %d refused, %d failed; faults %v", res.Total, res.Served, res.Rejected, res.Failed, res.Faults)
			for i, line := range res.Broken {
				if i == 20 {
					t.Errorf("and %d more", len(res.Broken)-i)
					break
				}
				t.Error(line)
			}
			if t.Failed() {
				for _, f := range res.Plan {
					t.Log(f)
				}
			}
			if res.Served < res.Total/4 {
				t.Errorf("only %d of %d requests were served", res.Served, res.Total)
			}
		})
	}
}

func number(name string, usual int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return usual
}
