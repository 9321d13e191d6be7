package node

import (
	"fmt"
	"testing"
	"time"

	"tulipglade/internal/balancer"
)

// recordingModule is the module, and what it hears of probes and requests.
type recordingModule struct {
	decisionModule
	healthChecks chan string
	requests     chan balancer.Request
}

func (m *recordingModule) HandleHealthCheck(now balancer.Time, id balancer.EndpointID, out balancer.Outcome, took balancer.Span, rep *balancer.LoadReport) {
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

// recordModule has the module's ears: it must be called before anything is asked of the node.
func recordModule(n *Node) *recordingModule {
	m := &recordingModule{healthChecks: make(chan string, 100), requests: make(chan balancer.Request, 100)}
	runOnLoop(n, func() { m.decisionModule, n.balancer = n.balancer, m })
	return m
}

// receiveNext is what the module hears next.
func receiveNext[T any](t *testing.T, from chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("the module hears nothing")
	}
	return v
}

func nextHealthCheck(t *testing.T, m *recordingModule) string { return receiveNext(t, m.healthChecks) }

// outcomeRecorder stand between a node and its module, and note how attempts end.
type outcomeRecorder struct {
	decisionModule
	outcomes []balancer.Outcome
}

func (e *outcomeRecorder) HandleAttemptResult(now balancer.Time, s balancer.AttemptResult) {
	e.outcomes = append(e.outcomes, s.Outcome)
	e.decisionModule.HandleAttemptResult(now, s)
}
