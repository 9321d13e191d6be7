package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// attempt is one sending of a request, or a health check, to an endpoint.
type attempt struct {
	request       *request
	number        int
	endpoint      *endpoint
	startedAt     int64
	deadline      int64        // until when the node waits for the answer; noDeadline while a large request is being uploaded
	conn          *backendConn // nil: it has had no connection
	state         attemptState
	isHealthCheck bool // request is then a placeholder that no client sent
}

// answerOutcome classifies an answer. Only a rejection that is marked as such proves that the attempt never ran.
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

// completeAttempt gives an attempt its one outcome. The balancer is notified after the call in which it may be.
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
	if att.deadline == noDeadline { // not fully sent: the time was the client's, not the backend's
		result.Latency = 0
	}
	n.deferred = append(n.deferred, func() {
		att.request.pendingAttempts--
		result.RequestDone = att.request.isDone()
		n.balancer.HandleAttemptResult(n.now(), result)
		n.releaseRequest(att.request)
	})
}

// checkAttemptDeadline abandons an attempt whose time is over.
func (n *Node) checkAttemptDeadline(att *attempt) {
	if !att.isCompleted() && n.now() >= att.deadline {
		n.abandonAttempt(att, balancer.OutcomeTimeout)
	}
}

// abandonAttempt ends an attempt that is in flight. Without a connection it has never run.
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
