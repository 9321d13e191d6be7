package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/scenario"
)

const sweepText = `scenario = "tiny.toml"
seeds = 3
policies = ["tulipglade", "random"]
[grid]
"load.level" = [0.3, 0.6]
"class[0].aim_ms" = [300.0, 600.0]
`

const tinyText = `name = "tiny"
seconds = 2.0
warm_up_s = 0.0
[[class]]
name = "only"
share = 1.0
work_ms = 50.0
dist = "exp"
aim_ms = 500.0
deadline_ms = 1000.0
worth = 1.0
effect = "repeatable"
`

func sweepCells(t *testing.T, dir, text string) ([]Cell, string, error) {
	t.Helper()
	for name, s := range map[string]string{"tiny.toml": tinyText, "sweep.toml": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	s, err := LoadSweep(filepath.Join(dir, "sweep.toml"))
	if err != nil {
		return nil, "", err
	}
	return s.Cells(dir)
}

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A sweep whose file was truncated at any byte resumes with the missing cells and ends with the same bytes as an
// uninterrupted one.
func TestSweepResumesAfterTruncation(t *testing.T) {
	dir := t.TempDir()
	cells, hash, err := sweepCells(t, dir, sweepText)
	if err != nil {
		t.Fatal(err)
	}
	if len(cells) != 2*2*2*3 {
		t.Fatalf("%d cells", len(cells))
	}
	file := filepath.Join(dir, "whole.jsonl")
	rows, err := RunAll(t.Context(), cells, hash, file, nil)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := rows[0].Result, rows[len(rows)-1].Result; rows[0].Set[1].Value == rows[len(rows)-1].Set[1].Value || a.ServedValue == b.ServedValue {
		t.Errorf("the first and the last cell do not differ as the grid says: %v %v", rows[0].Set, rows[len(rows)-1].Set)
	}
	complete := readFile(t, file)
	lines := bytes.SplitAfter(complete, []byte("\n"))
	header, firstRow := len(lines[0]), len(lines[1])
	cuts := []int{0, 5, header, header + 1, header + firstRow + 40, len(complete) / 2, len(complete) - 1, len(complete)}
	for _, cut := range cuts {
		t.Run(fmt.Sprint("truncated at ", cut), func(t *testing.T) {
			testResumeOfTruncated(t, cells, hash, complete, cut)
		})
	}
	t.Run("canceled half-way", func(t *testing.T) { testResumeOfCanceled(t, cells, hash, complete) })
	t.Run("another sweep's file", func(t *testing.T) {
		if _, err := RunAll(t.Context(), cells, "other", file, nil); !errors.Is(err, ErrOtherSweep) {
			t.Errorf("%v", err)
		}
		if !bytes.Equal(readFile(t, file), complete) {
			t.Error("the results file of another sweep was changed")
		}
	})
	var csv bytes.Buffer
	if err := WriteCSV(&csv, rows); err != nil || strings.Count(csv.String(), "\n") != len(cells)+1 ||
		!strings.HasPrefix(csv.String(), "scenario,policy,seed,class[0].aim_ms,load.level,") {
		t.Errorf("%v\n%.300s", err, csv.String())
	}
}

// testResumeOfTruncated truncates a complete results file, resumes the sweep and expects the same file.
func testResumeOfTruncated(t *testing.T, cells []Cell, hash string, complete []byte, cut int) {
	t.Helper()
	lines := bytes.SplitAfter(complete, []byte("\n"))
	file := filepath.Join(t.TempDir(), "cut.jsonl")
	if err := os.WriteFile(file, complete[:cut], 0o644); err != nil {
		t.Fatal(err)
	}
	// The resumed sweep is interrupted as well, right after its first new row: if the truncated line were kept, this
	// row would be appended to it and the file could no longer be read.
	if ctx, stop := context.WithCancel(t.Context()); cut > len(lines[0])+len(lines[1]) && cut < len(complete) {
		if _, err := RunAll(ctx, cells, hash, file, func(int, int) { stop() }); err != nil && !errors.Is(err, context.Canceled) {
			t.Fatalf("interrupted again: %v", err)
		}
		if _, err := ReadRows(file); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, complete[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
	} else {
		stop()
	}
	finished, played := max(bytes.Count(complete[:cut], []byte("\n"))-1, 0), 0
	if _, err := RunAll(t.Context(), cells, hash, file, func(int, int) { played++ }); err != nil {
		t.Fatal(err)
	}
	if played != len(cells)-finished {
		t.Errorf("ran %d of %d cells although %d were finished", played, len(cells), finished)
	}
	if !bytes.Equal(readFile(t, file), complete) {
		t.Error("the file differs from that of an uninterrupted sweep")
	}
}

// testResumeOfCanceled cancels a sweep after five cells, resumes it and expects the same file as that of a
// complete sweep.
func testResumeOfCanceled(t *testing.T, cells []Cell, hash string, complete []byte) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "canceled.jsonl")
	ctx, stop := context.WithCancel(t.Context())
	_, err := RunAll(ctx, cells, hash, file, func(done, _ int) {
		if done == 5 {
			stop()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("a canceled sweep must return context.Canceled: %v", err)
	}
	if n := bytes.Count(readFile(t, file), []byte("\n")) - 1; n < 5 {
		t.Errorf("%d cells are on disk although 5 were finished", n)
	}
	if _, err := RunAll(t.Context(), cells, hash, file, nil); err != nil || !bytes.Equal(readFile(t, file), complete) {
		t.Errorf("the resumed sweep returned the error %v, or its file differs from that of an uninterrupted one", err)
	}
}

func TestSweepErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct{ from, to, wantError string }{
		"unknown field":    {`"load.level"`, `"load.levle"`, "load.levle: there is no such field"},
		"impossible value": {"[0.3, 0.6]", "[0.3, -1]", "load.level: -1 is not within"},
		"no such element":  {"class[0]", "class[4]", `grid.class[4].aim_ms: there are only 1 of "class"`},
		"unknown policy":   {`"random"`, `"lucky"`, `sweep.toml:3: policies: policy "lucky" is none of`},
		"unknown key":      {"seeds", "sedes", "sweep.toml:2: sedes: there is no such field"},
		"no seeds":         {"seeds = 3", "seeds = 0", "sweep.toml:2: seeds: 0 is not within 1"},
		"no scenario":      {"tiny.toml", "none.toml", "none.toml"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := sweepCells(t, t.TempDir(), strings.Replace(sweepText, c.from, c.to, 1))
			if err == nil || !strings.Contains(err.Error(), c.wantError) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line with %q", err, c.wantError)
			}
		})
	}
}

func rowsWith(policy string, servedValues ...float64) []Row {
	var rows []Row
	for i, w := range servedValues {
		rows = append(rows, Row{Cell{Policy: policy, Seed: uint64(i)}, &emulator.Result{Scenario: "x", ServedValue: w}})
	}
	return rows
}

func TestCompare(t *testing.T) {
	noise := []float64{0.5, 0.9, 0.1, 0.7, 0.3, 0.6, 0.2, 0.8}
	plus := func(d float64) []float64 {
		out := slices.Clone(noise)
		for i := range out {
			out[i] += d + 0.001*float64(i%3)
		}
		return out
	}
	for name, c := range map[string]struct {
		a, b        []Row
		significant bool
		higher      int
		pairs       int
	}{
		// The runs differ by far more than the policies, so that only pairing shows the difference between the
		// policies.
		"a little better on every day": {rowsWith("a", plus(0.01)...), rowsWith("b", noise...), true, 8, 8},
		"the same":                     {rowsWith("a", noise...), rowsWith("b", noise...), false, 0, 8},
		"now better, now worse":        {rowsWith("a", noise...), rowsWith("b", append(noise[1:], noise[0])...), false, 4, 8},
		"some runs missing":            {rowsWith("a", plus(0.01)...), rowsWith("b", noise[:5]...), true, 5, 5},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Compare(c.a, c.b, "worth")
			if err != nil {
				t.Fatal(err)
			}
			if got.Significant() != c.significant || got.Higher != c.higher || got.Pairs != c.pairs || got.Low > got.Diff || got.High < got.Diff {
				t.Errorf("%+v", got)
			}
		})
	}
	if _, err := Compare(rowsWith("a", 1), nil, "worth"); !errors.Is(err, ErrNoPairs) {
		t.Errorf("no pairs: %v", err)
	}
	if _, err := Compare(nil, nil, "wroth"); err == nil || !strings.Contains(err.Error(), "wroth") {
		t.Errorf("unknown metric: %v", err)
	}
}

// A 95% interval must cover the true difference in about 95 of 100 samples. One that is too narrow covers it less
// often; one that always covers it is too wide.
func TestBootstrapIntervalCoversTheDifference(t *testing.T) {
	covered, n := 0, 200
	for seed := range n {
		var a, b []float64
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		for range 30 {
			x := r.Float64()
			a, b = append(a, x+0.1+0.05*r.NormFloat64()), append(b, x)
		}
		c, err := Compare(rowsWith("a", a...), rowsWith("b", b...), "worth")
		if err != nil {
			t.Fatal(err)
		}
		if c.Low <= 0.1 && 0.1 <= c.High {
			covered++
		}
	}
	if covered < n*88/100 || covered == n {
		t.Errorf("the interval covered the true difference %d times in %d", covered, n)
	}
}

func TestDDMinIsMinimal(t *testing.T) {
	var items []int
	for i := range 200 {
		items = append(items, i)
	}
	for name, need := range map[string][]int{"none": nil, "one": {77}, "first and last": {0, 199}, "three apart": {3, 90, 150}} {
		runs := 0
		got := DDMin(items, func(list []int) bool {
			runs++
			for _, n := range need {
				if !slices.Contains(list, n) {
					return false
				}
			}
			return true
		})
		if !slices.Equal(got, need) && len(need) > 0 || len(got) != len(need) || runs > 400 {
			t.Errorf("%s: %v after %d runs", name, got, runs)
		}
	}
}

// A case that violates an invariant must shrink to a small one, and its scenario, written as text and parsed again,
// must still violate the same invariant.
func TestShrink(t *testing.T) {
	const file = `
seconds = 12.0
load.level = 0.9
[[fault]]
kind = "fast-errors"
at_ms = 1000
for_ms = 3000
[[fault]]
kind = "kill"
at_ms = 2000
for_ms = 3000
boxes = [2]
[[fault]]
kind = "list-down"
at_ms = 9000
`
	sc, err := scenario.Parse("x.toml", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	// The random policy ignores slow start: if most of the backends are warming up, it overloads them.
	sc.Fleet.Backends = 3
	var s *Shrunk
	seed := uint64(1)
	for ; seed < 30; seed++ {
		if s, err = Shrink(sc, "random", seed, 1500); !errors.Is(err, ErrNoViolation) {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if s.Faults[0] != 3 || s.Faults[1] != 1 || s.Calls[1] >= s.Calls[0]/4 || s.Seconds[1] >= s.Seconds[0] {
		t.Errorf("faults %v, calls %v, seconds %v after %d runs", s.Faults, s.Calls, s.Seconds, s.Runs)
	}
	text, err := s.Scenario.Text()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := scenario.Parse("shrunk.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(parsed, "random", seed)
	if err != nil || r.Broken[string(s.Rule)] == 0 {
		t.Errorf("the text of the reduced case violates %v instead of %s; error: %v", r.Broken, s.Rule, err)
	}
	noViolation, err := scenario.Parse("x.toml", []byte("seconds = 2.0\nwarm_up_s = 0.0"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Shrink(noViolation, "random", 1, 10); !errors.Is(err, ErrNoViolation) {
		t.Errorf("a case without a violation: %v", err)
	}
}

// The rows of a sweep on all cores must equal those of its cells run one after the other: no run may affect another,
// and the order must not depend on which run ends first.
func TestSweepFileDoesNotDependOnCores(t *testing.T) {
	dir := t.TempDir()
	cells, hash, err := sweepCells(t, dir, sweepText)
	if err != nil {
		t.Fatal(err)
	}
	var sequential []Row
	for _, c := range cells {
		r, err := Run(c.scenario, c.Policy, c.Seed)
		if err != nil {
			t.Fatal(err)
		}
		sequential = append(sequential, Row{c, r})
	}
	parallel, err := RunAll(t.Context(), cells, hash, filepath.Join(dir, "four.jsonl"), nil)
	if err != nil {
		t.Fatal(err)
	}
	a, errA := json.Marshal(sequential)
	b, errB := json.Marshal(parallel)
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Errorf("rows of parallel and sequential runs differ (%v, %v)", errA, errB)
	}
}

func TestCostCountsRequests(t *testing.T) {
	c, err := Measure("two-choices", 10, 3, 0)
	if err != nil || c.Requests < minCostRequests || c.MicrosPerRequest <= 0 || c.RequestsPerSecond < 40 || c.RequestsPerSecond > 50 {
		t.Errorf("%+v, %v", c, err)
	}
}
