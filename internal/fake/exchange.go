package fake

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/emulator"
)

// exchange is one request on a connection and its response. Once start has been posted, the cluster's goroutine owns
// all fields except response.
type exchange struct {
	conn     *backendConn
	id       string
	class    int
	backend  int // the number of the process that executes it
	pending  emulator.Pending
	ended    bool
	response chan []byte // receives the bytes to write; nil: reset the connection
}

// outcomeNames are the names of outcomes in the event log.
var outcomeNames = map[balancer.Outcome]string{
	balancer.OutcomeOK:          "ok",
	balancer.OutcomeServerError: "error",
	balancer.OutcomeRejected:    "full",
	balancer.OutcomeReset:       "reset",
}

// garbageResponse is written in place of a response during a Garbage fault: it begins like a TLS record.
const garbageResponse = "\x15\x03\x01\x00\x02noise instead of an answer\r\n\r\n"

// interimResponses are written before a response during an Interim fault.
const interimResponses = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"

// start passes the request to its backend. It runs on the cluster's goroutine.
func (x *exchange) start(attempt emulator.Attempt, tenant string) {
	b := x.conn.backend
	cl := b.cluster
	now := cl.now()
	if cl.live.Incarnation(b.addressIndex) != x.conn.incarnation {
		x.ended = true
		x.response <- nil
		return
	}
	x.conn.inFlight = x
	x.backend = cl.backendAt(b.addressIndex)
	afterDrain := cl.ledger.recordArrival(now, b.node, b.addressIndex, x.backend)
	arrival := x.event(now, eventArrived)
	arrival.Class = cl.scenario.Classes[x.class].Name
	arrival.Tenant = tenant
	arrival.Key = attempt.Key
	cl.log.write(arrival)
	if afterDrain {
		cl.log.write(x.event(now, eventAfterDrain))
	}
	x.pending = cl.live.Arrive(now, attempt)
}

// finish ends the exchange with the outcome at the backend. It runs on the cluster's goroutine.
func (x *exchange) finish(result emulator.Pending, outcome balancer.Outcome) {
	if x.ended {
		return
	}
	x.ended = true
	x.conn.inFlight = nil
	cl := x.conn.backend.cluster
	answer := x.event(cl.now(), eventAnswered)
	answer.Outcome = outcomeNames[outcome]
	answer.Ran = result.Started
	cl.log.write(answer)
	x.response <- cl.formatResponse(x, result, outcome)
}

// await waits for the response. It returns false if the node closes the connection first.
func (x *exchange) await(ahead *readAhead) (response []byte, ok bool) {
	select {
	case response = <-x.response:
		return response, true
	case <-ahead.done:
	}
	if ahead.data == nil {
		return nil, false
	}
	return <-x.response, true // the next request was pipelined behind this one
}

// event returns an event of the log about this request.
func (x *exchange) event(now int64, kind eventKind) logEvent {
	b := x.conn.backend
	return logEvent{Time: now, Kind: kind, ID: x.id, Node: b.node, Backend: x.backend, AddressIndex: b.addressIndex}
}

// formatResponse returns the bytes of a response as PROTOCOL defines it; nil: the connection is to be reset.
func (cl *Cluster) formatResponse(x *exchange, result emulator.Pending, outcome balancer.Outcome) []byte {
	status, headers, body := http.StatusOK, "", "ran "+x.id+"\n"
	switch outcome {
	case balancer.OutcomeReset:
		return nil
	case balancer.OutcomeServerError:
		status, body = http.StatusInternalServerError, ""
	case balancer.OutcomeRejected:
		status, headers, body = http.StatusServiceUnavailable, "X-Never-Ran: 1\r\n", ""
	}
	if report := formatLoadReport(result.Report); report != "" {
		headers += "Endpoint-Load-Metrics: " + report + "\r\n"
	}
	interim := ""
	switch cl.responseFault(x) {
	case faultinject.Garbage:
		return []byte(garbageResponse)
	case faultinject.Interim:
		interim = interimResponses
	}
	return fmt.Appendf(nil, "%sHTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		interim, status, http.StatusText(status), headers, len(body), body)
}

// responseFault returns the kind of the fault that alters this response; empty: none does. The draw is a hash of the
// request's ID, so that all attempts with that ID are subject to the same fault.
func (cl *Cluster) responseFault(x *exchange) faultinject.Kind {
	draw := float64(xxhash.Sum64String(x.id)>>11) / (1 << 53)
	for _, fault := range cl.responseFaults {
		if slices.Contains(fault.Backends, x.conn.backend.addressIndex) && draw < fault.Size {
			return fault.Kind
		}
	}
	return ""
}
