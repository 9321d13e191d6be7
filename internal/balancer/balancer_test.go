package balancer

import (
	"strings"
	"testing"
)

func TestLogIsBounded(t *testing.T) {
	node := startNode(t, testConfig(), testEndpoints(2)...)
	for range 500 {
		node.balancer.HandleEndpoints(node.now, ListFailed, nil)
		node.balancer.HandleEndpoints(node.now, ListFull, testEndpoints(2))
	}
	if node.logLines == 0 || node.logLines > maxLogBurst {
		t.Errorf("%d lines, want some and at most %d", node.logLines, maxLogBurst)
	}
}

// runRequestScript plays a fixed series of requests and outcomes and returns the commands.
func runRequestScript(t *testing.T, others ...*fakeNode) []string {
	t.Helper()
	outcomes := []Outcome{
		OutcomeOK, OutcomeOK, OutcomeOK, OutcomeRejected, OutcomeServerError, OutcomeOK, OutcomeReset,
	}
	node := startNode(t, configWithQuotas(0.6, 0.4), testEndpoints(5)...)
	all := append(others, node)
	for i := range 3000 {
		for _, x := range all {
			id := RequestID(i + 1)
			x.request(id, i%5, i%2)
			if j := RequestID(i - 10); i > 10 && len(x.attempts[j]) > 0 && x.finalAnswers[j] == "" {
				x.complete(j, len(x.attempts[j])-1, outcomes[i%len(outcomes)])
			}
			x.advance(3 * ms)
		}
	}
	return node.log
}

func TestSameEventsGiveSameCommands(t *testing.T) {
	alone := runRequestScript(t)
	small := startNode(t, testConfig(), testEndpoints(3)...)
	large := startNode(t, configWithQuotas(0.2, 0.8), testEndpoints(7)...)
	among := runRequestScript(t, small, large)
	if len(alone) < 2500 || strings.Join(alone, "\n") != strings.Join(among, "\n") {
		t.Errorf("%d actions alone, %d among others, or not the same", len(alone), len(among))
	}
}
