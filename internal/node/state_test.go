package node

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// A state changes only as its type allows. Any other change leaves the state as it is, and is logged once for each
// kind.
func TestInvalidTransitionIsLoggedAndNotMade(t *testing.T) {
	n, _ := startNode(t, nil, nil)
	runOnLoop(n, func() {
		var out strings.Builder
		log := n.log
		n.log = slog.New(slog.NewTextHandler(&out, nil))
		defer func() { n.log = log }()

		conn := &backendConn{node: n, state: backendClosed}
		client := &clientConn{node: n, state: clientClosed}
		req := &request{state: requestReleased}
		att := &attempt{state: attemptCompleted}
		for range 2 {
			conn.setState(backendIdle)
			client.setState(clientOpen)
			n.setRequestState(req, requestOpen)
			n.setAttemptState(att, attemptWaiting)
		}
		if conn.state != backendClosed || client.state != clientClosed || req.state != requestReleased || att.state != attemptCompleted {
			t.Errorf("a terminal state was left: %v, %v, %v, %v", conn.state, client.state, req.state, att.state)
		}
		for _, change := range []string{
			`object="backend connection" from=closed to=idle`,
			`object="client connection" from=closed to=open`,
			`object=request from=released to=open`,
			`object=attempt from=completed to=waiting`,
		} {
			if got := strings.Count(out.String(), change); got != 1 {
				t.Errorf("%d log lines with %s, want 1", got, change)
			}
		}
	})
}

// Every state has a name, every listed transition leads to another state, and only the terminal state has no
// transition.
func TestTransitionsAreBetweenNamedStates(t *testing.T) {
	checkTransitions(t, backendConnTransitions, len(backendConnStateNames))
	checkTransitions(t, clientConnTransitions, len(clientConnStateNames))
	checkTransitions(t, requestTransitions, len(requestStateNames))
	checkTransitions(t, attemptTransitions, len(attemptStateNames))
}

// checkTransitions checks the transitions of a type with the given number of states.
func checkTransitions[S lifecycleState](t *testing.T, allowed transitions[S], states int) {
	t.Helper()
	for from, targets := range allowed {
		for _, to := range targets {
			if from == to || int(from) >= states || int(to) >= states {
				t.Errorf("transition from %s to %s of %s", from, to, fmt.Sprintf("%T", from))
			}
		}
	}
	if len(allowed) != states-1 {
		t.Errorf("%d states have transitions, want all but the terminal one of %d states", len(allowed), states)
	}
}
