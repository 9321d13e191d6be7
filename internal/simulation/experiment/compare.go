package experiment

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"tulipglade/internal/simulation/eventqueue"
)

// Comparison holds the difference of a metric between two sets of runs, A and B. A run of A and one of B form a pair if
// they have the same scenario, settings and seed.
type Comparison struct {
	Metric string  `json:"metric"`
	Pairs  int     `json:"pairs"`
	A      float64 `json:"a"` // mean of the metric over the pairs; so is B
	B      float64 `json:"b"`
	Diff   float64 `json:"diff"` // A minus B
	Low    float64 `json:"low"`  // 95% confidence interval of Diff
	High   float64 `json:"high"`
	Higher int     `json:"higher"` // pairs in which A is above B
	Lower  int     `json:"lower"`
}

// Significant reports whether the confidence interval excludes 0.
func (c Comparison) Significant() bool { return c.Low > 0 || c.High < 0 }

const (
	resamples       = 10000
	outsideInterval = resamples / 40 // number of resampled means on each side of a 95% interval
)

// ErrNoPairs means that no run of one set has the scenario, settings and seed of a run of the other.
var ErrNoPairs = errors.New("no run of the first set has the scenario, settings and seed of a run of the second")

// Compare pairs the rows and returns the mean difference of the metric with its bootstrap confidence interval. The
// bounds are percentiles of the means of resamples, which are drawn with replacement from the differences of the pairs
// (Efron and Tibshirani, An Introduction to the Bootstrap, 13.3).
func Compare(a, b []Row, metric string) (Comparison, error) {
	metricOf, c := Metrics[metric], Comparison{Metric: metric}
	if metricOf == nil {
		return c, errors.New("metric " + metric + ": there is no such metric")
	}
	partners := map[string]Row{}
	for _, row := range b {
		partners[pairKey(row)] = row
	}
	var diffs []float64
	for _, row := range a {
		partner, ok := partners[pairKey(row)]
		if !ok {
			continue
		}
		x, y := metricOf(row.Result), metricOf(partner.Result)
		if math.IsNaN(x) || math.IsNaN(y) {
			continue
		}
		diffs = append(diffs, x-y)
		c.A += x
		c.B += y
		switch cmp.Compare(x, y) {
		case 1:
			c.Higher++
		case -1:
			c.Lower++
		}
	}
	c.Pairs = len(diffs)
	if c.Pairs == 0 {
		return c, ErrNoPairs
	}
	pairs := float64(c.Pairs)
	c.A /= pairs
	c.B /= pairs
	c.Diff = c.A - c.B
	c.Low, c.High = bootstrapInterval(diffs)
	return c, nil
}

// pairKey returns a key that is equal for the two runs of a pair: the scenario, the settings and the seed.
func pairKey(row Row) string {
	cell := Cell{Seed: row.Seed, Set: row.Set}
	return row.Result.Scenario + " " + cell.key()
}

// bootstrapInterval returns the 95% bootstrap confidence interval of the mean of the values.
func bootstrapInterval(values []float64) (low, high float64) {
	random := eventqueue.NewStream(1, "bootstrap")
	means := make([]float64, resamples)
	for i := range means {
		for range values {
			means[i] += values[random.IntN(len(values))] / float64(len(values))
		}
	}
	slices.Sort(means)
	return means[outsideInterval], means[resamples-1-outsideInterval]
}

// OfPolicy returns the rows whose runs used the policy.
func OfPolicy(rows []Row, policy string) []Row {
	return slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Policy != policy })
}
