package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// healthCheck is a health check in flight.
type healthCheck struct {
	backend     *Backend
	incarnation *nodeIncarnation
	sentAt      eventqueue.Time
	outcome     balancer.Outcome
	report      balancer.LoadReport
}

// CheckHealth asks a backend for its load report, past its queue.
func (n *Node) CheckHealth(endpoint balancer.EndpointID) {
	now, b := n.simulation.events.Now(), n.simulation.backendsByID[endpoint]
	check := &healthCheck{backend: b, incarnation: n.incarnation, sentAt: now, outcome: balancer.OutcomeOK, report: unknownReport}
	roundTrip := n.simulation.delay(&n.random, n.site, b.site) + n.simulation.delay(&n.random, b.site, n.site)
	if n.simulation.partitioned(n.site, b.site) || b.unreachable || !b.running || b.frozen {
		check.outcome, roundTrip = balancer.OutcomeConnectFailed, fromMilliseconds(n.simulation.scenario.Fleet.Conns.Timeout)
	} else {
		check.report = n.simulation.loadReportOf(b)
	}
	n.simulation.recorder.healthChecks++
	n.schedule(roundTrip, eventqueue.Event{Target: n, Kind: nodeHealthCheck, Payload: check})
}

// loadReportOf is a backend's answer to a health check.
func (s *Simulation) loadReportOf(b *Backend) balancer.LoadReport {
	return s.scenario.Fleet.Report.LoadReport(balancer.LoadReport{
		Outstanding: float64(b.InFlight()),
		Backlog:     float64(b.queueLength),
		Utilization: b.visibleReport.Utilization,
	})
}

// endHealthCheck hands the result of a health check to the policy, unless the node has restarted since.
func (n *Node) endHealthCheck(now eventqueue.Time, check *healthCheck) {
	if check.incarnation != n.incarnation {
		return
	}
	report := &check.report
	if check.report == unknownReport {
		report = nil
	}
	n.policy.HandleHealthCheck(n.localTime(now), check.backend.id, check.outcome, now-check.sentAt, report)
}
