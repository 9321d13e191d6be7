// Package theory holds exact results of queueing theory, to verify the emulator. Times are in units of the mean service
// time; rho is the utilization of each server.
package theory

import "math"

// ErlangB is the fraction of arrivals lost at c servers without a queue, for offered load a = c·rho (Erlang, 1917).
func ErlangB(c int, a float64) float64 {
	b := 1.0
	for n := 1; n <= c; n++ {
		b = a * b / (float64(n) + a*b)
	}
	return b
}

// ErlangC is the fraction of arrivals that wait at c servers, for offered load a < c.
func ErlangC(c int, a float64) float64 {
	b := ErlangB(c, a)
	return b / (1 - a/float64(c)*(1-b))
}

// WaitMMc is the mean wait in M/M/c.
func WaitMMc(c int, rho float64) float64 {
	return ErlangC(c, rho*float64(c)) / (float64(c) * (1 - rho))
}

// LossMMcK is the fraction of arrivals lost in M/M/c/K: c servers, and at most k jobs in the system.
func LossMMcK(c, k int, rho float64) float64 {
	p, sum := 1.0, 1.0
	for n := 1; n <= k; n++ {
		p *= rho * float64(c) / float64(min(n, c))
		sum += p
	}
	return p / sum
}

// WaitMG1 is the mean wait in M/G/1 for a coefficient of variation cv (Pollaczek and Khinchine).
func WaitMG1(rho, cv float64) float64 { return rho / (1 - rho) * (1 + cv*cv) / 2 }

// SojournPS is the mean time in M/G/1 with processor sharing, whatever the distribution (Kleinrock, 1967).
func SojournPS(rho float64) float64 { return 1 / (1 - rho) }

// QueueLengthTail is the fraction of servers with at least k jobs if each job joins the shortest of d random queues, in the
// limit of many servers (Vvedenskaya, Dobrushin and Karpelevich, 1996; Mitzenmacher, 1996).
func QueueLengthTail(rho float64, choices, k int) float64 {
	if choices == 1 {
		return math.Pow(rho, float64(k))
	}
	return math.Pow(rho, (math.Pow(float64(choices), float64(k))-1)/float64(choices-1))
}
