package node

import (
	"bytes"
	"strconv"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// rejection is the node's own answer to a request that it does not admit.
type rejection struct {
	status int
	reason string
}

// admit makes a request of what a client sent, or returns why not. These are the node's own rejections, of which the
// balancer is not notified.
func (n *Node) admit(msg *protocol.Message, buf *buffer, receivedAt int64) (*request, *rejection) {
	switch string(msg.Method) {
	case "CONNECT", "TRACE", "OPTIONS":
		return nil, &rejection{405, "method not allowed"}
	}
	if duplicate := msg.FirstDuplicate("x-trace-id", "x-qos", "x-customer", "x-expires-in-ms", "idempotency-key"); duplicate != "" {
		return nil, &rejection{400, duplicate + " is there twice"} // a backend might use the other value
	}
	class, invalid := n.requestedClass(msg)
	if invalid != nil {
		return nil, invalid
	}
	tenant, invalid := n.requestedTenant(msg)
	if invalid != nil {
		return nil, invalid
	}
	if invalid := n.checkTraceID(msg); invalid != nil {
		return nil, invalid
	}
	rules := &n.settings.Balancer.Classes[class]
	if rules.Idempotency == balancer.IdempotentByKey && len(msg.Get("idempotency-key")) == 0 {
		return nil, &rejection{400, "no Idempotency-Key"}
	}
	timeout, invalid := requestedTimeout(msg, rules.Deadline)
	if invalid != nil {
		return nil, invalid
	}
	if n.hasTooManyRequests() {
		return nil, &rejection{503, "too many open requests"}
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
	}, nil
}

// requestedClass returns the number of the class that the path, X-Qos or both name.
func (n *Node) requestedClass(msg *protocol.Message) (int, *rejection) {
	name, _, _ := bytes.Cut(msg.Target[1:], []byte("?"))
	name, _, _ = bytes.Cut(name, []byte("/"))
	if header := msg.Get("x-qos"); header != nil {
		if len(name) > 0 && !bytes.Equal(name, header) {
			return 0, &rejection{400, "path and X-Qos name different classes"}
		}
		name = header
	}
	class, ok := n.classIndex[string(name)]
	if !ok {
		return 0, &rejection{400, "unknown class"}
	}
	return class, nil
}

// requestedTenant returns the number of the tenant that X-Customer names, unless the settings define no tenants.
func (n *Node) requestedTenant(msg *protocol.Message) (int, *rejection) {
	if tenant, ok := n.tenantIndex[""]; ok {
		return tenant, nil
	}
	tenant, ok := n.tenantIndex[string(msg.Get("x-customer"))]
	if !ok {
		return 0, &rejection{400, "unknown tenant"}
	}
	return tenant, nil
}

// checkTraceID rejects a request without a trace ID, or with one in use: a backend would take it for the same request,
// running twice.
func (n *Node) checkTraceID(msg *protocol.Message) *rejection {
	traceID := msg.Get("x-trace-id")
	if len(traceID) == 0 {
		return &rejection{400, "no X-Trace-Id"}
	}
	if _, inUse := n.requestIDsInUse[string(traceID)]; inUse {
		return &rejection{400, "X-Trace-Id is in use"}
	}
	return nil
}

// requestedTimeout returns the time that a client grants, at most that of the class, in microseconds.
func requestedTimeout(msg *protocol.Message, classDeadline int64) (int64, *rejection) {
	expiry := msg.Get("x-expires-in-ms")
	if expiry == nil {
		return classDeadline, nil
	}
	ms, err := strconv.ParseUint(string(expiry), 10, 32)
	if err != nil {
		return 0, &rejection{400, "malformed X-Expires-In-Ms"}
	}
	return min(classDeadline, int64(ms)*1000), nil
}

// hasTooManyRequests reports whether the node has no capacity for another request.
func (n *Node) hasTooManyRequests() bool {
	limit := n.settings.MaxInFlight
	return limit > 0 && n.openRequests >= limit || len(n.requestIDsInUse) >= maxTraceIDsInUse
}

// maxTraceIDsInUse bounds the trace IDs that are remembered.
const maxTraceIDsInUse = 1 << 14

// parseSizeHint reads a client's estimate of the work, in microseconds; 0: none. A value that is not a positive
// 32-bit number counts as none, as it is no reason to reject a request.
func parseSizeHint(text []byte) balancer.Span {
	micros, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil {
		return 0
	}
	return int64(micros)
}
