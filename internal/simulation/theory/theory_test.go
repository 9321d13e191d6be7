package theory

import (
	"math"
	"testing"
)

// TestKnownValues compares the formulas with values from published tables or computed by hand. It guards against a
// wrong formula, which would show up as an apparent fault of the emulator.
func TestKnownValues(t *testing.T) {
	for name, c := range map[string]struct{ got, want float64 }{
		"Erlang B, 1 server at 0.5":       {ErlangB(1, 0.5), 1.0 / 3},
		"Erlang B, 2 servers at 1":        {ErlangB(2, 1), 0.2},
		"Erlang B, 10 servers at 5":       {ErlangB(10, 5), 0.018385},
		"Erlang C, 1 server is rho":       {ErlangC(1, 0.7), 0.7},
		"Erlang C, 2 servers at 1":        {ErlangC(2, 1), 1.0 / 3},
		"wait M/M/1 at 0.8":               {WaitMMc(1, 0.8), 4},
		"wait M/M/2 at 0.5":               {WaitMMc(2, 0.5), 1.0 / 3},
		"loss M/M/1/1 is Erlang B":        {LossMMcK(1, 1, 0.5), 1.0 / 3},
		"loss M/M/1/2 at 1":               {LossMMcK(1, 2, 1), 1.0 / 3},
		"loss M/M/10/10 is Erlang B":      {LossMMcK(10, 10, 0.5), ErlangB(10, 5)},
		"wait M/D/1 at 0.5":               {WaitMG1(0.5, 0), 0.5},
		"wait M/M/1 by P-K":               {WaitMG1(0.8, 1), 4},
		"sojourn PS at 0.75":              {SojournPS(0.75), 4},
		"one choice is M/M/1":             {QueueLengthTail(0.9, 1, 3), 0.729},
		"two choices, 1 job":              {QueueLengthTail(0.9, 2, 1), 0.9},
		"two choices, 3 jobs, rho^7":      {QueueLengthTail(0.9, 2, 3), math.Pow(0.9, 7)},
		"three choices, 2 jobs are rho^4": {QueueLengthTail(0.5, 3, 2), 0.0625},
	} {
		if math.Abs(c.got-c.want) > 1e-6+1e-5*c.want {
			t.Errorf("%s: %.6f, want %.6f", name, c.got, c.want)
		}
	}
}
