package experiment

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"sort"

	"tulipglade/internal/simulation/eventqueue"
)

// Comparison is how A differs from B, over pairs of the same scenario, settings and seed.
type Comparison struct {
	Metric string  `json:"metric"`
	Pairs  int     `json:"pairs"`
	A      float64 `json:"a"` // means
	B      float64 `json:"b"`
	Diff   float64 `json:"diff"` // A less B
	Low    float64 `json:"low"`  // 95% interval of the mean difference
	High   float64 `json:"high"`
	Higher int     `json:"higher"` // pairs in which A is above B
	Lower  int     `json:"lower"`
}

// Shown tells whether the interval leaves out zero.
func (c Comparison) Shown() bool { return c.Low > 0 || c.High < 0 }

const resamples = 10000

// ErrNoPairs is two sets of results that have no run in common.
var ErrNoPairs = errors.New("no run of the one has the scenario, settings and seed of a run of the other")

// Compare pairs the rows and works out the mean difference with a bootstrap interval: percentiles of the means of so
// many samples drawn with replacement from the pairs (Efron and Tibshirani, An Introduction to the Bootstrap, 13.3).
func Compare(a, b []Row, metric string) (Comparison, error) {
	of, c := Metrics[metric], Comparison{Metric: metric}
	if of == nil {
		return c, errors.New("metric " + metric + ": there is no such figure")
	}
	key := func(r Row) string {
		k := Cell{Seed: r.Seed, Set: r.Set}
		return r.Result.Scenario + " " + k.key()
	}
	other := map[string]Row{}
	for _, r := range b {
		other[key(r)] = r
	}
	var diffs []float64
	for _, r := range a {
		o, ok := other[key(r)]
		if !ok {
			continue
		}
		x, y := of(r.Result), of(o.Result)
		if math.IsNaN(x) || math.IsNaN(y) {
			continue
		}
		diffs = append(diffs, x-y)
		c.A, c.B = c.A+x, c.B+y
		switch cmp.Compare(x, y) {
		case 1:
			c.Higher++
		case -1:
			c.Lower++
		}
	}
	if c.Pairs = len(diffs); c.Pairs == 0 {
		return c, ErrNoPairs
	}
	n := float64(c.Pairs)
	c.A, c.B = c.A/n, c.B/n
	c.Diff = c.A - c.B
	r, means := eventqueue.NewStream(1, "bootstrap"), make([]float64, resamples)
	for i := range means {
		for range diffs {
			means[i] += diffs[r.IntN(len(diffs))] / n
		}
	}
	sort.Float64s(means)
	c.Low, c.High = means[resamples/40], means[resamples-1-resamples/40]
	return c, nil
}

// OfPolicy are the rows of one policy.
func OfPolicy(rows []Row, policy string) []Row {
	return slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Policy != policy })
}
