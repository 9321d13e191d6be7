package balancer

import "testing"

// singleCoreFleet has endpoints of one core that report what they hold, and a node that may check their
// health.
type singleCoreFleet struct {
	*fakeNode
	serviceTime  func(RequestID) Span        // that a request takes alone
	queues       map[EndpointID][]queuedWork // first in, first out
	late         int
	served       int
	unresponsive bool // health checks get no answer
	sentAt       map[RequestID]Time
}

type queuedWork struct {
	id     RequestID
	endsAt Time
}

// startSingleCoreFleet starts a fleet of four endpoints, each of which needs 40 ms for a request.
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

// report is an endpoint's load report.
func (s *singleCoreFleet) report(endpoint EndpointID) *LoadReport {
	n := float64(len(s.queues[endpoint]))
	return &LoadReport{Outstanding: n, Backlog: max(n-1, 0), Utilization: min(n, 1)}
}

// step passes a millisecond: health checks are answered, endpoints start and end work.
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

// sendRequests sends requests at a fixed interval.
func (s *singleCoreFleet) sendRequests(first RequestID, n int, interval Span) {
	for k := range n {
		s.request(first+RequestID(k), 0, 0)
		for range interval / ms {
			s.step()
		}
	}
}

func singleClassConfig() Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1] // 200 ms
	return cfg
}
