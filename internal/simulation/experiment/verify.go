package experiment

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/theory"
)

// Check compares one figure that the emulator produced (Model) with its exact value from queueing theory (Theory).
type Check struct {
	Name   string  `json:"name"`
	Model  float64 `json:"model"`
	Theory float64 `json:"theory"`
	Error  float64 `json:"error"` // relative to Theory
	Bound  float64 `json:"bound"`
	OK     bool    `json:"ok"`
}

// verification is one queueing system to simulate, with the checks of its results against theory.
type verification struct {
	name    string
	station emulator.Station
	checks  func(name string, result emulator.StationResult) []Check
}

// replications is the number of parallel runs of each verification. The mean of their results is compared with theory.
const replications = 4

// compareFigure returns a function that compares one figure of a result with its exact value.
func compareFigure(figure func(emulator.StationResult) float64, value float64) func(string, emulator.StationResult) []Check {
	return func(name string, result emulator.StationResult) []Check {
		return []Check{{Name: name, Model: figure(result), Theory: value}}
	}
}

func wait(result emulator.StationResult) float64    { return result.Wait }
func sojourn(result emulator.StationResult) float64 { return result.Sojourn }
func lost(result emulator.StationResult) float64    { return result.Lost }

// verifications returns all cases. The effort scales the number of jobs that each simulates. At an effort of 1, chance
// alone changes the results of the least precise cases, those at a utilization of 0.95, by about half a percent.
func verifications(effort float64) []verification {
	var all []verification
	for _, rho := range []float64{0.5, 0.8, 0.95} {
		all = append(all, verificationsAt(rho, effort)...)
	}
	return all
}

// verificationsAt returns the cases for one utilization, rho.
func verificationsAt(rho, effort float64) []verification {
	const cv = 1.5                                        // coefficient of variation of the lognormal distribution
	jobs := int64(effort * 8e4 / ((1 - rho) * (1 - rho))) // per replication; means converge more slowly for rho near 1
	base := emulator.Station{
		Backends:         1,
		Cores:            1,
		Slots:            1,
		QueueCapacity:    1e6,
		Utilization:      rho,
		WorkDistribution: "exp",
		Choices:          1,
		Jobs:             jobs,
		WarmUpJobs:       jobs / 20,
	}
	eightCores, eightWithoutQueue, fourWithQueue := base, base, base
	eightCores.Cores = 8
	eightWithoutQueue.Cores, eightWithoutQueue.QueueCapacity = 8, 0
	eightWithoutQueue.Jobs = max(jobs/4, int64(effort*2e6))
	fourWithQueue.Cores, fourWithQueue.QueueCapacity = 4, 1
	fourWithQueue.Jobs = max(jobs/4, int64(effort*4e6))
	constant, lognormal := base, base
	constant.WorkDistribution = "constant"
	lognormal.WorkDistribution, lognormal.VariationCoefficient = "lognormal", cv
	processorSharing := lognormal
	processorSharing.Slots, processorSharing.QueueCapacity = 1e4, 0
	lognormal.Jobs = 2 * jobs
	twoChoices := base
	twoChoices.Backends, twoChoices.Choices = 1000, 2
	twoChoices.Jobs = int64(effort * 2e6)
	twoChoices.WarmUpJobs = int64(4e4 / (1 - rho) * max(min(effort, 1), 0.25))
	cases := []verification{
		{"M/M/1 wait", base, compareFigure(wait, theory.WaitMMc(1, rho))},
		{"M/M/8 wait, Erlang C", eightCores, compareFigure(wait, theory.WaitMMc(8, rho))},
		{"M/M/8/8 loss, Erlang B", eightWithoutQueue, compareFigure(lost, theory.ErlangB(8, 8*rho))},
		{"M/M/4/8 loss", fourWithQueue, compareFigure(lost, theory.LossMMcK(4, 8, rho))},
		{"M/D/1 wait, Pollaczek-Khinchine", constant, compareFigure(wait, theory.WaitMG1(rho, 0))},
		{"M/G/1 wait, lognormal of cv 1.5", lognormal, compareFigure(wait, theory.WaitMG1(rho, cv))},
		{"M/G/1 processor sharing, lognormal", processorSharing, compareFigure(sojourn, theory.SojournPS(rho))},
		{"two choices of 1,000", twoChoices, tailOfTwoChoices(rho)},
	}
	for i := range cases {
		cases[i].name += fmt.Sprintf(" at %.2f", rho)
	}
	return cases
}

// tailOfTwoChoices returns a function that compares the fractions of backends with at least 1, 2, 3 and more jobs, as
// long as the exact fraction is at least 5%.
func tailOfTwoChoices(rho float64) func(string, emulator.StationResult) []Check {
	return func(name string, result emulator.StationResult) []Check {
		var checks []Check
		for jobs := 1; jobs < len(result.Tail); jobs++ {
			fraction := theory.QueueLengthTail(rho, 2, jobs)
			if fraction < 0.05 {
				break
			}
			name := fmt.Sprintf("%s, share with %d or more", name, jobs)
			checks = append(checks, Check{Name: name, Model: result.Tail[jobs], Theory: fraction})
		}
		return checks
	}
}

// Verify compares the emulator with queueing theory. A check passes if its relative error is at most the bound. The
// function progress, if set, is called after each replication.
func Verify(ctx context.Context, effort, bound float64, progress func(done, all int)) ([]Check, error) {
	cases := verifications(effort)
	results, err := runReplications(ctx, cases, progress)
	if err != nil {
		return nil, err
	}
	var checks []Check
	for i, verified := range cases {
		for _, check := range verified.checks(verified.name, mean(results[i][:])) {
			check.Error, check.Bound = (check.Model-check.Theory)/check.Theory, bound
			check.OK = math.Abs(check.Error) <= bound
			checks = append(checks, check)
		}
	}
	return checks, nil
}

// runReplications runs all replications of all cases on all cores, each with a seed of its own.
func runReplications(ctx context.Context, cases []verification, progress func(done, all int)) ([][replications]emulator.StationResult, error) {
	results := make([][replications]emulator.StationResult, len(cases))
	var mu sync.Mutex
	done := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range cases {
		for replication := range replications {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				station := cases[i].station
				station.Seed = uint64(i*replications + replication + 1)
				results[i][replication] = station.Run()
				if progress != nil {
					mu.Lock()
					defer mu.Unlock()
					done++
					progress(done, len(cases)*replications)
				}
				return nil
			})
		}
	}
	return results, group.Wait()
}

// mean returns the mean of the replications' figures, and the sum of their numbers of events.
func mean(results []emulator.StationResult) emulator.StationResult {
	var mean emulator.StationResult
	count := float64(len(results))
	for _, result := range results {
		mean.Wait += result.Wait / count
		mean.Sojourn += result.Sojourn / count
		mean.Lost += result.Lost / count
		mean.Events += result.Events
		for jobs, fraction := range result.Tail {
			if jobs == len(mean.Tail) {
				mean.Tail = append(mean.Tail, 0)
			}
			mean.Tail[jobs] += fraction / count
		}
	}
	return mean
}
