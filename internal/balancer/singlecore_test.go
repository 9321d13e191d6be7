package balancer

import "testing"

// singleCoreFleet simulates endpoints with one core each, which report how many requests they hold, and a
// node that may send them health checks.
type singleCoreFleet struct {
	*fakeNode
	serviceTime  func(RequestID) Span        // time that a request takes on an idle endpoint
	queues       map[EndpointID][]queuedWork // work of each endpoint, in the order in which it is done
	late         int                         // answers after the final answer of the request
	served       int                         // other answers
	unresponsive bool                        // health checks are not answered
	sentAt       map[RequestID]Time
}

type queuedWork struct {
	id     RequestID
	endsAt Time
}

// startSingleCoreFleet starts a fleet of four endpoints, each of which takes 40 ms for a request.
func startSingleCoreFleet(t *testing.T, cfg Config) *singleCoreFleet {
	t.Helper()
	cfg.AllowHealthChecks, cfg.HealthCheckCost = true, 0.001
	return &singleCoreFleet{
		fakeNode:    startNode(t, cfg, testEndpoints(4)...),
		queues:      map[EndpointID][]queuedWork{},
		sentAt:      map[RequestID]Time{},
		serviceTime: func(RequestID) Span { return 40 * ms },
	}
}

// report returns the current load report of an endpoint.
func (s *singleCoreFleet) report(endpoint EndpointID) *LoadReport {
	n := float64(len(s.queues[endpoint]))
	return &LoadReport{Outstanding: n, Backlog: max(n-1, 0), Utilization: min(n, 1)}
}

// step advances time by a millisecond: health checks are answered, and endpoints start and finish their work.
func (s *singleCoreFleet) step() {
	for _, endpoint := range s.healthChecks {
		if !s.unresponsive {
			s.balancer.HandleHealthCheck(s.now, endpoint, OutcomeOK, ms, s.report(endpoint))
		}
	}
	s.healthChecks = s.healthChecks[:0]
	s.advance(ms)
	for id, attempts := range s.attempts {
		if _, recorded := s.sentAt[id]; !recorded {
			endpoint := attempts[0]
			startsAt := s.now
			if q := s.queues[endpoint]; len(q) > 0 {
				startsAt = q[len(q)-1].endsAt
			}
			s.sentAt[id] = s.now
			s.queues[endpoint] = append(s.queues[endpoint], queuedWork{id, startsAt + s.serviceTime(id)})
		}
	}
	for i := range EndpointID(20) {
		for endpoint := i + 1; len(s.queues[endpoint]) > 0 && s.queues[endpoint][0].endsAt <= s.now; {
			id := s.queues[endpoint][0].id
			s.queues[endpoint] = s.queues[endpoint][1:]
			done := s.finalAnswers[id] != ""
			if !done {
				s.served++
			} else {
				s.late++
			}
			s.balancer.HandleAttemptResult(s.now, AttemptResult{
				ID:          id,
				Endpoint:    endpoint,
				Outcome:     OutcomeOK,
				Latency:     s.now - s.sentAt[id],
				RequestDone: true,
				Load:        s.report(endpoint),
			})
			if !done {
				s.finalAnswers[id] = "served"
			}
		}
	}
}

// sendRequests sends n requests at the given interval, with consecutive IDs.
func (s *singleCoreFleet) sendRequests(first RequestID, n int, interval Span) {
	for k := range n {
		s.request(first+RequestID(k), 0, 0)
		for range interval / ms {
			s.step()
		}
	}
}

// singleClassConfig returns a configuration with a single class, whose requests are idempotent and have a
// latency objective of 200 ms.
func singleClassConfig() Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	return cfg
}
