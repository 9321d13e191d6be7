package load

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Contender is a target to be compared. Pid is the process that serves it; 0: the process is not known.
type Contender struct {
	Name string
	Addr string
	Pid  int
}

// ContenderResult summarizes the valid rounds of one contender: medians, with minimum and maximum.
type ContenderResult struct {
	Name       string  `json:"name"`
	CPUPerCall Spread  `json:"cpu_us_per_call"` // of the contender's process
	P50        Spread  `json:"p50_ms"`
	P99        Spread  `json:"p99_ms"`
	NotServed  Spread  `json:"not_served"`
	PeakMB     float64 `json:"peak_mb"`
	// The ratios to the first contender's figures in the same round, of rounds in which all contenders are valid.
	CPURatio Spread `json:"cpu_ratio"`
	P99Ratio Spread `json:"p99_ratio"`
	Invalid  int    `json:"invalid_rounds"` // number of rounds that are left out of all figures
}

// Spread is the median of some values, with the minimum and the maximum.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (median + sorted[middle-1]) / 2
	}
	return Spread{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// sample holds the figures of one contender in one round.
type sample struct {
	valid     bool
	cpu       float64 // processor time, µs per call
	p50       float64
	p99       float64
	notServed float64
}

// samples holds the figures of one contender in its valid rounds, in order.
type samples struct {
	cpu       []float64
	p50       []float64
	p99       []float64
	notServed []float64
	cpuRatio  []float64
	p99Ratio  []float64
	invalid   int
}

func (s *samples) add(round sample) {
	if !round.valid {
		s.invalid++
		return
	}
	s.cpu = append(s.cpu, round.cpu)
	s.p50 = append(s.p50, round.p50)
	s.p99 = append(s.p99, round.p99)
	s.notServed = append(s.notServed, round.notServed)
}

func (s *samples) addRatio(round, first sample) {
	s.cpuRatio = append(s.cpuRatio, round.cpu/first.cpu)
	s.p99Ratio = append(s.p99Ratio, round.p99/first.p99)
}

func (s *samples) result(name string, peakMB float64) ContenderResult {
	return ContenderResult{
		Name:       name,
		CPUPerCall: newSpread(s.cpu),
		P50:        newSpread(s.p50),
		P99:        newSpread(s.p99),
		NotServed:  newSpread(s.notServed),
		PeakMB:     peakMB,
		CPURatio:   newSpread(s.cpuRatio),
		P99Ratio:   newSpread(s.p99Ratio),
		Invalid:    s.invalid,
	}
}

// runTarget runs the schedule against the target at an address.
type runTarget func(ctx context.Context, addr string) (*Result, error)

// Compare runs the same schedule against each contender in turn, round after round, so that other load on the machine
// affects all contenders alike.
func Compare(
	ctx context.Context, contenders []Contender, rounds int, run func(ctx context.Context, addr string) (*Result, error),
) ([]ContenderResult, error) {
	all := make([]samples, len(contenders))
	for range rounds {
		round, err := compareRound(ctx, contenders, run)
		if err != nil {
			return nil, err
		}
		for i := range contenders {
			all[i].add(round[i])
			if allValid(round) && round[0].cpu > 0 && round[0].p99 > 0 {
				all[i].addRatio(round[i], round[0])
			}
		}
	}
	results := make([]ContenderResult, 0, len(contenders))
	for i, contender := range contenders {
		peakMB, err := processPeakMemory(contender.Pid)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", contender.Name, err)
		}
		results = append(results, all[i].result(contender.Name, peakMB))
	}
	return results, nil
}

func allValid(round []sample) bool {
	return !slices.ContainsFunc(round, func(s sample) bool { return !s.valid })
}

// compareRound runs the schedule against each contender once.
func compareRound(ctx context.Context, contenders []Contender, run runTarget) ([]sample, error) {
	var round []sample
	for _, contender := range contenders {
		measured, err := measure(ctx, contender, run)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", contender.Name, err)
		}
		round = append(round, measured)
	}
	return round, nil
}

// measure runs the schedule against a contender once, and measures the processor time that its process uses.
func measure(ctx context.Context, contender Contender, run runTarget) (sample, error) {
	before, err := processCPU(contender.Pid)
	if err != nil {
		return sample{}, err
	}
	result, err := run(ctx, contender.Addr)
	if err != nil {
		return sample{}, err
	}
	after, err := processCPU(contender.Pid)
	if err != nil {
		return sample{}, err
	}
	if !result.Valid || result.Calls == 0 {
		return sample{}, nil
	}
	return sample{
		valid:     true,
		cpu:       microsPerCall(after-before, result.Calls),
		p50:       result.Latency.P50,
		p99:       result.Latency.P99,
		notServed: result.notServed(),
	}, nil
}

func microsPerCall(cpu time.Duration, calls int64) float64 {
	return float64(cpu.Microseconds()) / float64(calls)
}
