package invariant

import "tulipglade/internal/balancer"

// chanceAllowance allows for chance: the work may exceed the budget by this many times the largest single piece of work
// in the window.
const chanceAllowance = 4

// workWindow tracks the work that arrived at one endpoint in slow start within the most recent OverloadWindow.
type workWindow struct {
	startedAt    balancer.Time
	arrivals     []arrival
	work         float64 // total work of the arrivals in the window
	informedWork float64 // work from nodes that knew of the endpoint's start
	reported     bool    // whether a violation was reported; at most one is, for each start of the endpoint
}

// arrival is the arrival of one attempt at an endpoint in slow start.
type arrival struct {
	at       balancer.Time
	work     float64
	capacity float64
	informed bool // the sending node knew of the endpoint's start
}

func (w *workWindow) add(a arrival) {
	w.arrivals = append(w.arrivals, a)
	w.work += a.work
	if a.informed {
		w.informedWork += a.work
	}
}

// dropBefore removes the arrivals before start, which have left the window. At least one arrival must remain.
func (w *workWindow) dropBefore(start balancer.Time) {
	for w.arrivals[0].at < start {
		oldest := w.arrivals[0]
		w.arrivals = w.arrivals[1:]
		w.work -= oldest.work
		if oldest.informed {
			w.informedWork -= oldest.work
		}
	}
}

// summary returns the mean capacity and the largest single piece of work over the arrivals in the window.
func (w *workWindow) summary() (meanCapacity, largestWork float64) {
	for _, a := range w.arrivals {
		meanCapacity += a.capacity / float64(len(w.arrivals))
		largestWork = max(largestWork, a.work)
	}
	return meanCapacity, largestWork
}

// AttemptArrived checks the work of an attempt that arrived at an endpoint in slow start, whether the endpoint accepted
// the attempt or not. Work is in µs of a core at speed 1. Capacity is the work that the endpoint can currently do in
// each µs.
func (c *Checker) AttemptArrived(
	now balancer.Time, node int, endpoint balancer.EndpointID, startedAt balancer.Time, work, capacity float64,
) {
	if c.config.OverloadFactor <= 0 || c.config.OverloadWindow <= 0 {
		return
	}
	window := c.slowStarts[endpoint]
	if window == nil || window.startedAt != startedAt {
		window = &workWindow{startedAt: startedAt}
		c.slowStarts[endpoint] = window
	}
	informed := c.notifications[nodeEndpoint{node, endpoint}].startedAt == max(startedAt, 1)
	window.add(arrival{now, work, capacity, informed})
	window.dropBefore(now - c.config.OverloadWindow)
	if window.reported {
		return
	}
	meanCapacity, largestWork := window.summary()
	length := float64(c.config.OverloadWindow)
	limit := c.config.OverloadFactor*meanCapacity*length + chanceAllowance*largestWork
	// A node that does not know of the start cannot limit what it sends. Therefore it is a violation only if more than
	// two thirds of the work came from nodes that knew.
	informedMost := window.informedWork > window.work*2/3
	if window.work <= limit || !informedMost {
		return
	}
	window.reported = true
	c.reportViolation(NoSlowStartOverload, occurrence{at: now, node: node},
		"endpoint %d, started %.1f s ago, was sent %.1f s of work within %.1f s; it could do %.1f s",
		endpoint, seconds(now-startedAt), window.work/microsPerSecond, length/microsPerSecond, meanCapacity*length/microsPerSecond)
}

// SlowStartEnded records that an endpoint has left slow start; its arrivals are no longer tracked.
func (c *Checker) SlowStartEnded(endpoint balancer.EndpointID) { delete(c.slowStarts, endpoint) }
