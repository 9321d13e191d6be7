package node

// closeReason says why this node ends a connection.
type closeReason string

// The reasons, of clients' connections and of backends'.
const (
	closedByPeer           closeReason = "closed by the other side"
	closeNoDescriptor      closeReason = "no descriptor"
	closeForDescriptors    closeReason = "room for others"
	closeIdle              closeReason = "idle"
	closeNoRequest         closeReason = "nothing asked in time"
	closeTooManyIdle       closeReason = "too many idle"
	closeDraining          closeReason = "draining"
	closeLastAnswer        closeReason = "last answer"
	closeLingerTimeout     closeReason = "not closed by the client after its last answer"
	closeTooMuchInput      closeReason = "too much input after the last answer"
	closeWriteFailed       closeReason = "write failed"
	closeAnswerTruncated   closeReason = "answer cut off"
	closePollerFailed      closeReason = "connection could not leave or rejoin the poller"
	closeRequestIncomplete closeReason = "request not whole"
	closeUnexpectedInput   closeReason = "input that nobody asked for"
	closeUnusable          closeReason = "closed, used up or idle for too long"
	closeEndpointChanged   closeReason = "backend drains, is gone or has restarted"
	closeMalformedAnswer   closeReason = "bad answer"
	closeNotReusable       closeReason = "not kept after the answer"
	closeAttemptAbandoned  closeReason = "attempt given up"
	closeRequestAnswered   closeReason = "request answered before it was written"
	closeUnwantedDownload  closeReason = "large answer that nobody wants"
)

// logClose says that the node ends a client's connection. One on which a request, or a part of one, is still without an answer is worth a warning,
// whoever is at fault; all others are seen where each step is logged.
func (c *clientConn) logClose(reason closeReason) {
	unanswered := c.request != nil || c.input != nil && c.input.length > 0 || c.upload != nil && !c.upload.complete
	if !unanswered || reason == closedByPeer || reason == closeLastAnswer { // what stands behind a last answer was never taken
		c.node.traceClient(c, "client connection ends", "reason", string(reason), "owed", unanswered)
		return
	}
	trace := ""
	if c.request != nil {
		trace = c.request.loggedTraceID()
	}
	c.node.warnLimited("client connection ends within a request", "reason", string(reason), "trace", trace, "came", c.receivedBytes, "asked", c.hasSentRequest)
}

// logClose says that the node ends a connection to a backend.
func (b *backendConn) logClose(reason closeReason) {
	if b.node.traceRequests && b.endpoint != nil {
		b.node.log.Debug("backend connection ends", "host", b.endpoint.address, "reason", string(reason), "carries", b.attempt != nil)
	}
}
