package node

import (
	"bytes"
	"strconv"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// admit makes a request of what a client sent, or returns the status and text of a rejection. These are the node's
// own rejections, of which the balancer is not notified.
func (n *Node) admit(msg *protocol.Message, buf *buffer, receivedAt int64) (req *request, status int, reason string) {
	switch string(msg.Method) {
	case "CONNECT", "TRACE", "OPTIONS":
		return nil, 405, "method not allowed"
	}
	if duplicate := msg.HasDuplicate("x-trace-id", "x-qos", "x-customer", "x-expires-in-ms", "idempotency-key"); duplicate != "" {
		return nil, 400, duplicate + " is there twice" // a backend might use the other value
	}
	className, _, _ := bytes.Cut(msg.Target[1:], []byte("?")) // the first part of the path names the class too
	className, _, _ = bytes.Cut(className, []byte("/"))
	if header := msg.Get("x-qos"); header != nil {
		if len(className) > 0 && !bytes.Equal(className, header) {
			return nil, 400, "path and X-Qos name different classes"
		}
		className = header
	}
	class, ok := n.classIndex[string(className)]
	if !ok {
		return nil, 400, "unknown class"
	}
	tenant, ok := n.tenantIndex[""] // if the settings define no tenants
	if !ok {
		if tenant, ok = n.tenantIndex[string(msg.Get("x-customer"))]; !ok {
			return nil, 400, "unknown tenant"
		}
	}
	traceID := msg.Get("x-trace-id")
	if len(traceID) == 0 {
		return nil, 400, "no X-Trace-Id"
	}
	// A backend would take the second for the same request, running twice.
	if _, inUse := n.requestIDsInUse[string(traceID)]; inUse {
		return nil, 400, "X-Trace-Id is in use"
	}
	rules := &n.settings.Balancer.Classes[class]
	if rules.Idempotency == balancer.IdempotentByKey && len(msg.Get("idempotency-key")) == 0 {
		return nil, 400, "no Idempotency-Key"
	}
	timeout := rules.Deadline
	if expiry := msg.Get("x-expires-in-ms"); expiry != nil {
		ms, err := strconv.ParseUint(string(expiry), 10, 32)
		if err != nil {
			return nil, 400, "malformed X-Expires-In-Ms"
		}
		timeout = min(timeout, int64(ms)*1000)
	}
	if n.settings.MaxInFlight > 0 && n.openRequests >= n.settings.MaxInFlight || len(n.requestIDsInUse) >= maxRequestIDsInUse {
		return nil, 503, "too many open requests"
	}
	n.lastRequestID++
	return &request{
		id:       n.lastRequestID,
		settings: n.settings,
		message:  msg,
		buffer:   buf,
		class:    class,
		tenant:   tenant,
		deadline: n.answerDeadline(receivedAt, receivedAt+timeout),
	}, 0, ""
}

// maxRequestIDsInUse bounds the trace IDs that are remembered.
const maxRequestIDsInUse = 1 << 14

// parseSizeHint reads a client's estimate of the work, in microseconds; 0: none. A value that is not a positive
// 32-bit number counts as none, as it is no reason to reject a request.
func parseSizeHint(text []byte) balancer.Span {
	micros, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil {
		return 0
	}
	return int64(micros)
}
