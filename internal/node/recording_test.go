package node

import (
	"fmt"
	"testing"
	"time"

	"tulipglade/internal/balancer"
)

// recordingModule is a decision module that passes all calls to another one, and records the outcomes of health checks
// and the requests.
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

// recordModule makes the node call its balancer through a recordingModule, which it returns. It must be called before
// the node receives requests.
func recordModule(n *Node) *recordingModule {
	m := &recordingModule{healthChecks: make(chan string, 100), requests: make(chan balancer.Request, 100)}
	runOnLoop(n, func() { m.decisionModule, n.balancer = n.balancer, m })
	return m
}

// receiveNext returns the next recorded notification, and fails the test if there is none within 10 s.
func receiveNext[T any](t *testing.T, notifications chan T) (next T) {
	t.Helper()
	select {
	case next = <-notifications:
	case <-time.After(10 * time.Second):
		t.Fatal("the balancer was not notified")
	}
	return next
}

// nextHealthCheck returns the outcome of the next health check of which the balancer is notified, followed by the load
// report if there is one.
func nextHealthCheck(t *testing.T, m *recordingModule) string {
	t.Helper()
	return receiveNext(t, m.healthChecks)
}

// outcomeRecorder is a decision module that passes all calls to another one, and records the outcomes of attempts.
type outcomeRecorder struct {
	decisionModule
	outcomes []balancer.Outcome
}

func (r *outcomeRecorder) HandleAttemptResult(now balancer.Time, result balancer.AttemptResult) {
	r.outcomes = append(r.outcomes, result.Outcome)
	r.decisionModule.HandleAttemptResult(now, result)
}
