package invariant

import "tulipglade/internal/balancer"

// chanceAllowance is how much more than the budget is put down to chance: this many times the largest piece of work.
const chanceAllowance = 4

// workWindow is the work that has reached one endpoint in slow start within the window.
type workWindow struct {
	startedAt    balancer.Time
	arrivals     []arrival
	work         float64 // of all arrivals in the window
	informedWork float64 // of those from nodes that knew of the start
	reported     bool    // reported, once for each start
}

type arrival struct {
	at       balancer.Time
	work     float64
	capacity float64
	informed bool // its node knew of the start
}

func (w *workWindow) add(a arrival) {
	w.arrivals = append(w.arrivals, a)
	w.work += a.work
	if a.informed {
		w.informedWork += a.work
	}
}

// dropBefore removes the arrivals that have left the window.
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

// summary returns the mean of the capacities and the largest piece of work in the window.
func (w *workWindow) summary() (meanCapacity, largestWork float64) {
	for _, a := range w.arrivals {
		meanCapacity += a.capacity / float64(len(w.arrivals))
		largestWork = max(largestWork, a.work)
	}
	return meanCapacity, largestWork
}

// AttemptArrived checks work (in µs of a core at speed 1) that came to an endpoint in slow start, whether the endpoint
// took it or not. Capacity is what the endpoint can do at the moment, in such µs for each µs.
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
	// Nodes that do not know of the start cannot spare the endpoint: two thirds of the work must come from others.
	informedMost := window.informedWork > window.work*2/3
	if window.work <= limit || !informedMost {
		return
	}
	window.reported = true
	c.reportViolation(NoSlowStartOverload, occurrence{at: now, node: node},
		"endpoint %d, started %.1f s ago, was sent %.1f s of work within %.1f s; it could do %.1f s",
		endpoint, seconds(now-startedAt), window.work/microsPerSecond, length/microsPerSecond, meanCapacity*length/microsPerSecond)
}

// SlowStartEnded records that an endpoint has ended its slow start.
func (c *Checker) SlowStartEnded(endpoint balancer.EndpointID) { delete(c.slowStarts, endpoint) }
