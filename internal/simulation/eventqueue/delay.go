package eventqueue

import (
	"math/rand/v2"
	"time"
)

// UniformDuration draws a duration from least to most.
func UniformDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Float64()*float64(most-least))
}

// DrawDelays draws the delays of the copies of a message on an unreliable path: none if it is lost (one message in twenty),
// two if it is duplicated (one in twenty), otherwise one. Delays are at most usual, and late for one message in twenty.
func DrawDelays(r *rand.Rand, least, usual, late time.Duration) []time.Duration {
	copies, most := 1, usual
	switch draw := r.Float64(); {
	case draw < 0.05:
		return nil
	case draw < 0.10:
		copies = 2
	case draw < 0.15:
		most = late
	}
	var delays []time.Duration
	for range copies {
		delays = append(delays, UniformDuration(r, least, most))
	}
	return delays
}
