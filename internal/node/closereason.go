package node

// closeReason is the reason why the node closes a connection, as it is logged.
type closeReason string

// Reasons for closing connections of clients and backends.
const (
	closePeerEnded         closeReason = "closed by the peer"
	closeNoDescriptor      closeReason = "no descriptor"
	closeDescriptorNeeded  closeReason = "descriptor needed"
	closeIdle              closeReason = "idle"
	closeNoRequest         closeReason = "no request in time"
	closeTooManyIdle       closeReason = "too many idle"
	closeDraining          closeReason = "draining"
	closeLastAnswer        closeReason = "last answer"
	closeLingerTimeout     closeReason = "not closed by the client after its last answer"
	closeTooMuchInput      closeReason = "too much input after the last answer"
	closeWriteFailed       closeReason = "write failed"
	closeAnswerTruncated   closeReason = "answer truncated"
	closePollerFailed      closeReason = "detaching or reattaching failed"
	closeRequestIncomplete closeReason = "request incomplete"
	closeUnexpectedInput   closeReason = "unexpected input"
	closeUnusable          closeReason = "not usable"
	closeEndpointChanged   closeReason = "endpoint draining, removed or restarted"
	closeMalformedAnswer   closeReason = "malformed answer"
	closeNotReusable       closeReason = "not reusable"
	closeAttemptAbandoned  closeReason = "attempt abandoned"
	closeRequestAnswered   closeReason = "request answered before it was written"
	closeUnwantedDownload  closeReason = "large answer not needed"
	closeAnswerOverdue     closeReason = "answer incomplete at the deadline of its request"
	closeUploadTimedOut    closeReason = "large request not read by the backend in time"
)

// logClose logs why the node closes a client's connection. It warns if a request, or a part of one, is unanswered on
// it, unless the client itself has closed the connection. Other closes are logged only if tracing is on.
func (c *clientConn) logClose(reason closeReason) {
	unanswered := c.request != nil || c.input != nil && c.input.length > 0 || c.upload != nil && !c.upload.forwarderEnded
	if !unanswered || reason == closePeerEnded || reason == closeLastAnswer { // input after the last answer is never admitted
		c.node.traceClient(c, "client connection closed", "reason", string(reason), "unanswered", unanswered)
		return
	}
	traceID := ""
	if c.request != nil {
		traceID = c.request.traceID
	}
	c.node.warnLimited("client connection closed within a request", "reason", string(reason),
		"trace_id", traceID, "received_bytes", c.receivedBytes, "has_sent_request", c.hasSentRequest)
}

// logClose logs why the node closes a connection to a backend, if tracing is on.
func (b *backendConn) logClose(reason closeReason) {
	if b.node.traceRequests && b.endpoint != nil {
		b.node.log.Debug("backend connection closed", "endpoint", b.endpoint.address,
			"reason", string(reason), "carries_attempt", b.attempt != nil)
	}
}
