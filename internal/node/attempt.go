package node

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// attempt is one Try of a request.
type attempt struct {
	request       *request
	number        int
	endpoint      *endpoint
	startedAt     int64
	deadline      int64        // how long the node waits for its answer
	conn          *backendConn // once it has a connection
	completed     bool         // it has its outcome
	isHealthCheck bool         // it is one, and req is nobody's
}

// answerOutcome is what an answer says about the attempt it belongs to. Only a turned-away request, marked as such,
// is known never to have run.
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

// completeAttempt gives an attempt its one outcome. The module hears of it after the call it may be in.
func (n *Node) completeAttempt(att *attempt, outcome balancer.Outcome, report *balancer.LoadReport) {
	if att.completed {
		return
	}
	att.completed = true
	if att.isHealthCheck {
		n.healthCheckDone(att, outcome, report)
		return
	}
	n.traceRequest(att.request, "attempt over", "attempt", att.number, "host", att.endpoint.address, "outcome", int(outcome), "took_us", n.now()-att.startedAt)
	result := balancer.AttemptResult{ID: att.request.id, Attempt: att.number, Endpoint: att.endpoint.id, Outcome: outcome,
		Latency: n.now() - att.startedAt, Load: report}
	if att.deadline == noDeadline { // it had not all been sent: that took its client's time, not the host's
		result.Latency = 0
	}
	n.deferred = append(n.deferred, func() {
		att.request.pendingAttempts--
		result.RequestDone = att.request.done
		n.balancer.HandleAttemptResult(n.now(), result)
		n.releaseRequest(att.request)
	})
}

// checkAttemptDeadline gives up an attempt whose time has passed.
func (n *Node) checkAttemptDeadline(att *attempt) {
	if !att.completed && n.now() >= att.deadline {
		n.abandonAttempt(att, balancer.OutcomeTimeout)
	}
}

// abandonAttempt ends an attempt that is still out. What never had a connection has never run.
func (n *Node) abandonAttempt(att *attempt, outcome balancer.Outcome) {
	if conn := att.conn; conn != nil {
		n.closeBackend(conn, closeAttemptAbandoned)
	} else {
		att.endpoint.waitingAttempts = slices.DeleteFunc(att.endpoint.waitingAttempts, func(waiting *attempt) bool { return waiting == att })
		if outcome == balancer.OutcomeTimeout {
			outcome = balancer.OutcomeConnectFailed
		}
	}
	n.completeAttempt(att, outcome, nil)
}
