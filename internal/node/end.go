package node

// endReason says why this node ends a connection.
type endReason string

// The reasons, of clients' connections and of backends'.
const (
	endPeerClosed    endReason = "closed by the other side"
	endNoDescriptor  endReason = "no descriptor"
	endMakeRoom      endReason = "room for others"
	endIdle          endReason = "idle"
	endNotAsked      endReason = "nothing asked in time"
	endTooManyIdle   endReason = "too many idle"
	endDrain         endReason = "draining"
	endLastAnswer    endReason = "last answer"
	endLingered      endReason = "not closed by the client after its last answer"
	endTooMuchInput  endReason = "too much input after the last answer"
	endWriteFailed   endReason = "write failed"
	endCutOff        endReason = "answer cut off"
	endNoHandling    endReason = "connection could not leave or rejoin the poller"
	endNotWhole      endReason = "request not whole"
	endUnasked       endReason = "input that nobody asked for"
	endNotClean      endReason = "closed, used up or idle for too long"
	endOutdated      endReason = "backend drains, is gone or has restarted"
	endBadAnswer     endReason = "bad answer"
	endNotKept       endReason = "not kept after the answer"
	endGivenUp       endReason = "attempt given up"
	endWithheld      endReason = "request answered before it was written"
	endUnwantedBytes endReason = "large answer that nobody wants"
)

// noteEnd says that the node ends a client's connection. One on which a request, or a part of one, is still without an answer is worth a warning,
// whoever is at fault; all others are seen where each step is logged.
func (c *client) noteEnd(why endReason) {
	owed := c.req != nil || c.in != nil && c.in.n > 0 || c.upload != nil && !c.upload.done
	if !owed || why == endPeerClosed || why == endLastAnswer { // what stands behind a last answer was never taken
		c.n.traceClient(c, "client connection ends", "reason", string(why), "owed", owed)
		return
	}
	trace := ""
	if c.req != nil {
		trace = c.req.trace()
	}
	c.n.warn("client connection ends within a request", "reason", string(why), "trace", trace, "came", c.came, "asked", c.asked)
}

// noteEnd says that the node ends a connection to a backend.
func (b *backend) noteEnd(why endReason) {
	if b.n.tracing && b.host != nil {
		b.n.log.Debug("backend connection ends", "host", b.host.addr, "reason", string(why), "carries", b.att != nil)
	}
}
