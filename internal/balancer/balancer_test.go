package balancer

import (
	"strings"
	"testing"
)

// TestLogIsBounded guards against a log line for each of many failed calls to discovery.
func TestLogIsBounded(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	for range 500 {
		node.balancer.HandleEndpoints(node.now, ListFailed, nil)
		node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	}
	if node.logLines == 0 || node.logLines > maxLogBurst {
		t.Errorf("%d log lines, want some and at most %d", node.logLines, maxLogBurst)
	}
}

// runRequestScript runs a fixed series of requests and outcomes on a new node, and in turn on others. It returns the
// commands that the new node received.
func runRequestScript(t *testing.T, others ...*fakeNode) []string {
	t.Helper()
	outcomes := []Outcome{
		OutcomeOK, OutcomeOK, OutcomeOK, OutcomeRejected, OutcomeServerError, OutcomeOK, OutcomeReset,
	}
	node := startNode(t, configWithQuotas(0.6, 0.4), testEndpoints(5)...)
	all := append(others, node)
	for i := range 3000 {
		for _, current := range all {
			id := RequestID(i + 1)
			current.request(id, i%5, i%2)
			if oldID := RequestID(i - 10); i > 10 && len(current.attempts[oldID]) > 0 && current.finalAnswers[oldID] == "" {
				current.complete(oldID, len(current.attempts[oldID])-1, outcomes[i%len(outcomes)])
			}
			current.advance(3 * ms)
		}
	}
	return node.log
}

// TestSameEventsGiveSameCommands guards against state that the balancers of a process share: the commands of a node
// must not depend on other nodes.
func TestSameEventsGiveSameCommands(t *testing.T) {
	alone := runRequestScript(t)
	small := startNode(t, testConfig(), testEndpoints(3)...)
	large := startNode(t, configWithQuotas(0.2, 0.8), testEndpoints(7)...)
	withOthers := runRequestScript(t, small, large)
	if len(alone) < 2500 || strings.Join(alone, "\n") != strings.Join(withOthers, "\n") {
		t.Errorf("%d commands alone, %d next to other nodes; want the same commands, at least 2500", len(alone), len(withOthers))
	}
}
