package node

import (
	"bytes"
	"strconv"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

// rejection is the status and the text of the answer to a request that the node does not admit.
type rejection struct {
	status int
	reason string
}

// admit validates a parsed message and returns it as an admitted request, or the reason for its rejection. The balancer
// is not notified of requests that are rejected here.
func (n *Node) admit(msg *protocol.Message, buf *buffer, receivedAt int64) (*request, *rejection) {
	switch string(msg.Method) {
	case "CONNECT", "TRACE", "OPTIONS":
		return nil, &rejection{405, "method not allowed"}
	}
	if duplicate := msg.FirstDuplicate("x-trace-id", "x-qos", "x-customer", "x-expires-in-ms", "idempotency-key"); duplicate != "" {
		// The node would use one of the two values, a backend perhaps the other.
		return nil, &rejection{400, duplicate + " is there twice"}
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

// requestedClass returns the index of the class that is named by the first segment of the path, by X-Qos or by both.
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

// requestedTenant returns the index of the tenant that X-Customer names. Without tenants in the settings, all requests
// belong to one unnamed tenant.
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

// checkTraceID rejects a request without a trace ID or with one that is in use. A backend would regard two requests
// with the same trace ID as one request that runs twice.
func (n *Node) checkTraceID(msg *protocol.Message) *rejection {
	traceID := msg.Get("x-trace-id")
	if len(traceID) == 0 {
		return &rejection{400, "no X-Trace-Id"}
	}
	if _, inUse := n.traceIDsInUse[string(traceID)]; inUse {
		return &rejection{400, "X-Trace-Id is in use"}
	}
	return nil
}

// requestedTimeout returns the timeout that the client states in X-Expires-In-Ms, limited to the deadline of the class,
// in microseconds.
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

// hasTooManyRequests reports whether the limit on open requests or on trace IDs in use is reached.
func (n *Node) hasTooManyRequests() bool {
	limit := n.settings.MaxInFlight
	return limit > 0 && n.openRequests >= limit || len(n.traceIDsInUse) >= maxTraceIDsInUse
}

// maxTraceIDsInUse bounds the number of trace IDs that are kept in order to reject duplicates.
const maxTraceIDsInUse = 1 << 14

// parseSizeHint parses X-Size-Hint, the client's estimate of the work in microseconds. It returns 0 if there is no hint
// or if the value is not a positive 32-bit number, which is no reason to reject a request.
func parseSizeHint(text []byte) balancer.Span {
	micros, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil {
		return 0
	}
	return int64(micros)
}
