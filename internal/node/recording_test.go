package node

import (
	"fmt"
	"testing"
	"time"

	"tulipglade/internal/balancer"
)

// recordingModule records the health checks and requests of which the balancer is notified.
type recordingModule struct {
	decisionModule
	healthChecks chan string
	requests     chan balancer.Request
}

func (m *recordingModule) HandleHealthCheck(
	now balancer.Time, id balancer.EndpointID, outcome balancer.Outcome, took balancer.Span, report *balancer.LoadReport,
) {
	m.decisionModule.HandleHealthCheck(now, id, outcome, took, report)
	text := fmt.Sprint(outcome)
	if report != nil {
		text += fmt.Sprint(" ", *report)
	}
	m.healthChecks <- text
}

func (m *recordingModule) HandleRequest(now balancer.Time, request balancer.Request) {
	m.requests <- request
	m.decisionModule.HandleRequest(now, request)
}

// recordModule puts a recordingModule in front of the balancer. It must be called before the node gets requests.
func recordModule(n *Node) *recordingModule {
	m := &recordingModule{healthChecks: make(chan string, 100), requests: make(chan balancer.Request, 100)}
	runOnLoop(n, func() { m.decisionModule, n.balancer = n.balancer, m })
	return m
}

// receiveNext is the next notification of the balancer.
func receiveNext[T any](t *testing.T, notifications chan T) (next T) {
	t.Helper()
	select {
	case next = <-notifications:
	case <-time.After(10 * time.Second):
		t.Fatal("the balancer is not notified")
	}
	return next
}

// nextHealthCheck is the outcome of the next health check of which the balancer is notified.
func nextHealthCheck(t *testing.T, m *recordingModule) string {
	t.Helper()
	return receiveNext(t, m.healthChecks)
}

// outcomeRecorder records the outcomes of attempts.
type outcomeRecorder struct {
	decisionModule
	outcomes []balancer.Outcome
}

func (r *outcomeRecorder) HandleAttemptResult(now balancer.Time, result balancer.AttemptResult) {
	r.outcomes = append(r.outcomes, result.Outcome)
	r.decisionModule.HandleAttemptResult(now, result)
}
