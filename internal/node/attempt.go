package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// attempt is one transmission of a request, or a health check, to an endpoint.
type attempt struct {
	request       *request
	number        int
	endpoint      *endpoint
	startedAt     int64
	checkedAt     int64        // when it was last checked whether the attempt may start, before its timeout is stated
	deadline      int64        // when the node gives up waiting for the answer; noDeadline while a large request is uploaded
	conn          *backendConn // nil: the attempt has no connection yet
	state         attemptState
	isHealthCheck bool // request is then a placeholder that no client has sent
}

// answerOutcome maps an answer to the outcome of its attempt. Only a 503 or 504 that is marked as never run proves
// that the backend has not run the request.
func answerOutcome(msg *protocol.Message) balancer.Outcome {
	switch msg.Status {
	case 200:
		return balancer.OutcomeOK
	case 503, 504:
		if string(msg.Get("x-never-ran")) == "1" {
			return balancer.OutcomeRejected
		}
	}
	return balancer.OutcomeServerError
}

// completeAttempt records the outcome of an attempt; only the first call for an attempt has an effect. The balancer
// is notified after its current call has returned, because it must not be called from within its own commands.
func (n *Node) completeAttempt(att *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	if att.isCompleted() {
		return
	}
	n.setAttemptState(att, attemptCompleted)
	if att.isHealthCheck {
		n.completeHealthCheck(att, outcome, report)
		return
	}
	n.traceRequest(att.request, "attempt completed", "attempt", att.number, "endpoint", att.endpoint.address,
		"outcome", int(outcome), "duration_us", n.now()-att.startedAt)
	result := balancer.AttemptResult{
		ID:       att.request.id,
		Attempt:  att.number,
		Endpoint: att.endpoint.id,
		Outcome:  outcome,
		Latency:  n.now() - att.startedAt,
		Load:     report,
	}
	if att.deadline == noDeadline { // the upload had not ended: the client took the time, not the backend
		result.Latency = 0
	}
	n.deferred = append(n.deferred, func() {
		att.request.pendingAttempts--
		result.RequestDone = att.request.isDone()
		n.balancer.HandleAttemptResult(n.now(), result)
		n.releaseRequest(att.request)
	})
}

// checkAttemptDeadline abandons an attempt whose deadline has passed, unless it has its outcome already or its answer
// is about to be forwarded.
func (n *Node) checkAttemptDeadline(att *attempt) {
	if !att.isCompleted() && n.now() >= att.deadline && !att.isBeingForwarded() {
		n.abandonAttempt(att, balancer.OutcomeTimeout)
	}
}

// isBeingForwarded reports whether a part of the attempt's answer has been received that is forwarded within moments.
func (a *attempt) isBeingForwarded() bool {
	conn := a.conn
	return conn != nil && conn.attempt == a &&
		(conn.download == nil && conn.holdsPartialAnswer || conn.download != nil && !conn.download.awaitingRequestEnd)
}

// abandonAttempt ends an attempt that is in flight: it closes the connection of the attempt, or removes the attempt
// from those that wait for a connection. An attempt without a connection has never run, so its timeout counts as a
// failed connect.
func (n *Node) abandonAttempt(att *attempt, outcome balancer.Outcome) {
	if conn := att.conn; conn != nil {
		n.closeBackendConn(conn, closeAttemptAbandoned)
	} else {
		isThis := func(waiting *attempt) bool { return waiting == att }
		att.endpoint.waitingAttempts = slices.DeleteFunc(att.endpoint.waitingAttempts, isThis)
		if outcome == balancer.OutcomeTimeout {
			outcome = balancer.OutcomeConnectFailed
		}
	}
	n.completeAttempt(att, outcome, nil)
}
