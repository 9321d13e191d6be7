package eventqueue

import (
	"math/rand/v2"
	"time"
)

// UniformDuration draws a duration from the uniform distribution between shortest and longest.
func UniformDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Float64()*float64(longest-shortest))
}

// DrawDelays simulates an unreliable network path: it returns one delay for each copy of a message that arrives. One
// message in twenty is lost and has no delay, and one in twenty is duplicated and has two. Delays lie between shortest
// and longestUsual, except that one message in twenty may take up to longestLate.
func DrawDelays(r *rand.Rand, shortest, longestUsual, longestLate time.Duration) []time.Duration {
	copies, longest := 1, longestUsual
	switch draw := r.Float64(); {
	case draw < 0.05:
		return nil
	case draw < 0.10:
		copies = 2
	case draw < 0.15:
		longest = longestLate
	}
	var delays []time.Duration
	for range copies {
		delays = append(delays, UniformDuration(r, shortest, longest))
	}
	return delays
}
