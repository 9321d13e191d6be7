package load

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/balancer"
	"tulipglade/internal/workload"
)

// maxTraceIDInput is the capacity of the buffer for the hash input of a trace ID, which is shorter.
const maxTraceIDInput = 64

// traceID returns the ID of the call's next attempt. It differs for each attempt, and between runs.
func (r *runner) traceID(state *callState) string {
	input := make([]byte, 0, maxTraceIDInput)
	input = append(input, byte(state.attempts))
	input = strconv.AppendUint(input, state.call.Number, 16)
	input = strconv.AppendUint(input, r.nonce, 16)
	return fmt.Sprintf("%016x", xxhash.Sum64(input))
}

// appendRequest appends the request of an attempt, in the form that PROTOCOL defines.
func (r *runner) appendRequest(dst []byte, a *attempt) []byte {
	sc := r.plan.Scenario
	call := &a.state.call
	class := &sc.Classes[call.Class]
	idempotency := r.classes[call.Class].Idempotency
	method := "POST /"
	if idempotency == balancer.Idempotent {
		method = "GET /"
	}
	dst = append(dst, method...)
	dst = append(dst, class.Name...)
	if call.Key != 0 {
		dst = append(dst, "?obj="...)
		dst = strconv.AppendUint(dst, call.Key, 16)
	}
	dst = append(dst, " HTTP/1.1\r\nHost: app.svc"...)
	dst = appendHeader(dst, "X-Trace-Id", a.traceID)
	dst = appendHeader(dst, "X-Qos", class.Name)
	dst = appendHeader(dst, "X-Customer", sc.Tenants[call.Tenant].Name)
	dst = appendIntHeader(dst, "X-Expires-In-Ms", max((a.deadline-a.due)/microsPerMilli, 1))
	if hint := workload.SizeHint(sc, r.plan.Seed, call); hint > 0 {
		dst = appendIntHeader(dst, "X-Size-Hint", hint)
	}
	if sc.Clients.MarkRetries && a.state.attempts > 1 {
		dst = appendHeader(dst, "X-Second-Try", "1")
	}
	if idempotency == balancer.IdempotentByKey {
		dst = append(dst, "\r\nIdempotency-Key: "...)
		dst = fmt.Appendf(dst, "%016x%016x", r.nonce, call.Number)
	}
	if idempotency != balancer.Idempotent {
		dst = appendHeader(dst, "Content-Length", "0")
	}
	return append(dst, "\r\n\r\n"...)
}

// appendHeader ends the previous line and appends a header without a line end.
func appendHeader(dst []byte, name, value string) []byte {
	dst = append(dst, "\r\n"...)
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	return append(dst, value...)
}

func appendIntHeader(dst []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendHeader(dst, name, ""), value, 10)
}
