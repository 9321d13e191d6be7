package eventqueue

import (
	"math/rand/v2"
	"time"
)

// Between draws a time from least to most.
func Between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Float64()*float64(most-least))
}

// DelayPath draws when a message arrives over a bad way: of twenty one never, one twice, one as late as late, the rest as late as usual at most.
func DelayPath(r *rand.Rand, least, usual, late time.Duration) []time.Duration {
	copies, most := 1, usual
	switch x := r.Float64(); {
	case x < 0.05:
		return nil
	case x < 0.10:
		copies = 2
	case x < 0.15:
		most = late
	}
	var at []time.Duration
	for range copies {
		at = append(at, Between(r, least, most))
	}
	return at
}
