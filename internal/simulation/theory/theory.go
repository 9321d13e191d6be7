// Package theory holds exact results of queueing theory, against which the emulator is verified. Times are in units of
// the mean service time, and rho is the utilization of each server.
package theory

import "math"

// ErlangB returns the fraction of arrivals that are lost at c servers without a queue, for the offered load a = c·rho
// (Erlang, 1917).
func ErlangB(c int, a float64) float64 {
	b := 1.0
	for n := 1; n <= c; n++ {
		b = a * b / (float64(n) + a*b)
	}
	return b
}

// ErlangC returns the fraction of arrivals that have to wait at c servers with an unlimited queue, for the offered load
// a < c.
func ErlangC(c int, a float64) float64 {
	b := ErlangB(c, a)
	return b / (1 - a/float64(c)*(1-b))
}

// WaitMMc returns the mean waiting time in M/M/c.
func WaitMMc(c int, rho float64) float64 {
	return ErlangC(c, rho*float64(c)) / (float64(c) * (1 - rho))
}

// LossMMcK returns the fraction of arrivals that are lost in M/M/c/K, which has c servers and at most k jobs in the
// system.
func LossMMcK(c, k int, rho float64) float64 {
	p, sum := 1.0, 1.0
	for n := 1; n <= k; n++ {
		p *= rho * float64(c) / float64(min(n, c))
		sum += p
	}
	return p / sum
}

// WaitMG1 returns the mean waiting time in M/G/1 by the formula of Pollaczek and Khinchine; cv is the coefficient of
// variation of the service time.
func WaitMG1(rho, cv float64) float64 { return rho / (1 - rho) * (1 + cv*cv) / 2 }

// SojournPS returns the mean sojourn time in M/G/1 with processor sharing. It does not depend on the distribution of
// the service time (Kleinrock, 1967).
func SojournPS(rho float64) float64 { return 1 / (1 - rho) }

// QueueLengthTail returns the fraction of servers that have at least k jobs if each job draws as many random servers
// as choices says and joins the shortest of their queues. The result holds in the limit of many servers (Vvedenskaya,
// Dobrushin and Karpelevich, 1996; Mitzenmacher, 1996).
func QueueLengthTail(rho float64, choices, k int) float64 {
	if choices == 1 {
		return math.Pow(rho, float64(k))
	}
	return math.Pow(rho, (math.Pow(float64(choices), float64(k))-1)/float64(choices-1))
}
