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
	now balancer.Time, id balancer.EndpointID, out balancer.Outcome, took balancer.Span, rep *balancer.LoadReport,
) {
	m.decisionModule.HandleHealthCheck(now, id, out, took, rep)
	text := fmt.Sprint(out)
	if rep != nil {
		text += fmt.Sprint(" ", *rep)
	}
	m.healthChecks <- text
}

func (m *recordingModule) HandleRequest(now balancer.Time, a balancer.Request) {
	m.requests <- a
	m.decisionModule.HandleRequest(now, a)
}

// recordModule puts a recordingModule in front of the balancer. It must be called before the node gets requests.
func recordModule(n *Node) *recordingModule {
	m := &recordingModule{healthChecks: make(chan string, 100), requests: make(chan balancer.Request, 100)}
	runOnLoop(n, func() { m.decisionModule, n.balancer = n.balancer, m })
	return m
}

// receiveNext is the next notification of the balancer.
func receiveNext[T any](t *testing.T, from chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("the balancer is not notified")
	}
	return v
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

func (e *outcomeRecorder) HandleAttemptResult(now balancer.Time, s balancer.AttemptResult) {
	e.outcomes = append(e.outcomes, s.Outcome)
	e.decisionModule.HandleAttemptResult(now, s)
}
