package node

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// An answer without a stated length may turn out to be long when a part of it has arrived, however small. Such a part
// is held for a while, as an answer that breaks off before its client has a part of it can be replaced by that of a
// retry. The balancer decides for how long; then the part is forwarded, and the rest as it arrives.

// answerMayBeLarge reports whether the body of an incomplete answer has no stated length, and its client waits for it.
func (b *backendConn) answerMayBeLarge() bool {
	return b.message.InBody() && b.message.ContentLength() < 0 && !b.attempt.isHealthCheck &&
		!b.attempt.request.isDone() && answerOutcome(&b.message) == balancer.OutcomeOK
}

// holdPartialAnswer holds the part of the answer that has been received until the balancer wants it to be forwarded. It
// is called for each further part, too.
func (b *backendConn) holdPartialAnswer() {
	if b.holdsPartialAnswer {
		return
	}
	b.holdsPartialAnswer = true
	n, att := b.node, b.attempt
	forwardBy := n.balancer.HandlePartialResponse(n.now(), att.request.id)
	n.scheduleAt(forwardBy, func() { b.forwardPartialAnswer(att) })
}

// forwardPartialAnswer starts to forward the answer of an attempt, unless it has become complete, large or unnecessary.
func (b *backendConn) forwardPartialAnswer(att *attempt) {
	if b.attempt != att || att.isCompleted() || att.request.isDone() || b.download != nil {
		return
	}
	b.startDownload()
}

// overdueAnswerGrace is how long after the deadline of its request an answer of up to protocol.MaxBody may end, in
// microseconds. Half a second after the deadline a request without a final answer counts as lost.
const overdueAnswerGrace = 300_000

// endOverdueAnswer ends the forwarding of an answer without a stated length that is incomplete and no large one when
// the time of its client is over: such an answer may never end. Its client sees that it is incomplete.
func (n *Node) endOverdueAnswer(conn *backendConn, down *download, fwd *forwarder, bufferedBody int) {
	receivedBody := bufferedBody + int(fwd.currentProgress().receivedBytes)
	if conn.download != down || fwd.fullyRead.Load() || receivedBody > protocol.MaxBody {
		return
	}
	n.closeBackendConn(conn, closeAnswerOverdue)
}
