package emulator

import (
	"errors"
	"io"

	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/workload"
)

// What the clients' events mean.
const (
	clientCallDue          = iota // the next call is due
	clientAnswered                // P: the request; A: when to come back, µs. This and the next two are in judge's order
	clientRejected                //
	clientFailed                  //
	clientTimedOut                // P: the request, whose try is given up
	clientNodeUnreachable         // P: the request: its node does not run, so it never ran
	clientConnectionBroken        // P: the request: its node died with it
	clientRetryDue                // P: the call, whose next try is due
	clientCancels                 // P: the request, whose client does not wait to the end
)

// call is a call in the lab: what the client wants, and how far it has got.
type call struct {
	workload.Call
	idempotency    balancer.Idempotency
	overQuota      bool // beyond its tenant's share
	measured       bool // after the warm-up
	finished       bool
	dueAt          eventqueue.Time
	deadline       eventqueue.Time
	requestCount   int
	executions     int
	currentRequest *request
}

// clientPopulation is all clients. Calls arrive by a schedule that does not wait for answers.
type clientPopulation struct {
	simulation      *Simulation
	source          eventqueue.Source
	random          eventqueue.Stream
	callCount       uint64
	lastRequestID   balancer.RequestID
	arrivals        *workload.Schedule
	retryPolicy     *workload.Retry
	nextCall        workload.Call
	onlyCalls       map[int]bool
	quotaSecond     int64     // in which left holds
	remainingQuotas []float64 // of each tenant's quota in that second
}

func (s *Simulation) newClients() (*clientPopulation, error) {
	c := &clientPopulation{simulation: s, source: eventqueue.NewSource(sourceClients), random: eventqueue.NewStream(s.seed, "clients"), quotaSecond: -1,
		retryPolicy: workload.NewRetry(s.scenario, s.seed)}
	if len(s.scenario.OnlyCalls) > 0 {
		c.onlyCalls = map[int]bool{}
		for _, n := range s.scenario.OnlyCalls {
			c.onlyCalls[n] = true
		}
	}
	var err error
	if c.arrivals, err = workload.NewSchedule(s.scenario, s.seed, s.capacity, s.faults); err != nil {
		return nil, err
	}
	return c, c.scheduleNextCall()
}

// scheduleNextCall sets the next call.
func (p *clientPopulation) scheduleNextCall() error {
	var err error
	if p.nextCall, err = p.arrivals.Next(); errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		return err
	}
	p.simulation.events.At(&p.source, origin+p.nextCall.At, eventqueue.Event{To: p, Kind: clientCallDue})
	return nil
}

// Handle takes the clients' events.
func (p *clientPopulation) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case clientCallDue:
		c := &call{Call: p.nextCall, dueAt: now}
		if err := p.scheduleNextCall(); err != nil {
			panic(err) // a trace whose later lines are wrong
		}
		p.startCall(now, c)
	case clientRetryDue:
		p.sendRequest(now, e.P.(*call))
	case clientCancels:
		if r := e.P.(*request); r.call.currentRequest == r && !r.call.finished {
			p.simulation.events.After(&p.source, p.simulation.clientDelay(&p.random, r.call.Site, r.node.site), eventqueue.Event{To: r.node, Kind: nodeClientCanceled, P: r})
			p.finishCall(now, r.call, outcomeCanceled)
		}
	default:
		if r := e.P.(*request); r.call.currentRequest == r && !r.call.finished {
			p.handleRequestEnd(now, r, e.Kind, e.A)
		}
	}
}

func (p *clientPopulation) startCall(now eventqueue.Time, c *call) {
	s := p.simulation.scenario
	p.callCount++
	if p.onlyCalls != nil && !p.onlyCalls[int(c.Number)] {
		return
	}
	class := &s.Classes[c.Class]
	c.idempotency = p.simulation.classes[c.Class].Idempotency
	c.deadline = now + fromMilliseconds(class.Deadline)
	c.measured = now >= origin+eventqueue.Span(s.WarmUp*1e6)
	if sec := now / eventqueue.Second; sec != p.quotaSecond {
		p.quotaSecond = sec
		p.remainingQuotas = append(p.remainingQuotas[:0], p.simulation.quotas...)
	}
	p.remainingQuotas[c.Tenant]--
	c.overQuota = p.remainingQuotas[c.Tenant] < 0
	p.simulation.recorder.recordCall(c)
	p.sendRequest(now, c)
}

// sendRequest makes the next try, through the front of the client's site.
func (p *clientPopulation) sendRequest(now eventqueue.Time, c *call) {
	p.lastRequestID++
	r := &request{id: p.lastRequestID, call: c, number: c.requestCount}
	c.requestCount++
	c.currentRequest = r
	d := eventqueue.NewDraws(p.simulation.seed, c.Number<<8|uint64(r.number), drawRequest)
	r.deadline = now + p.retryPolicy.Timeout(&c.Call, now-c.dueAt)
	r.node = p.simulation.selectNode(c.Site, d.Float64(), d.Float64())
	r.replyTo = r.node
	p.simulation.events.After(&p.source, p.simulation.clientDelay(&p.random, c.Site, r.node.site), eventqueue.Event{To: r.node, Kind: nodeRequest, P: r})
	p.simulation.events.At(&p.source, r.deadline, eventqueue.Event{To: p, Kind: clientTimedOut, P: r})
	if d.Float64() < p.simulation.scenario.Clients.Impatient {
		cancelAt := now + eventqueue.Span(d.Float64()*float64(r.deadline-now))
		p.simulation.events.At(&p.source, cancelAt, eventqueue.Event{To: p, Kind: clientCancels, P: r})
	}
}

// How a call ended.
const (
	outcomeServed = iota
	outcomeLate   // served after the aim
	outcomeRejected
	outcomeFailed
	outcomeTimedOut
	outcomeCanceled
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "timed-out", "left"}

func (p *clientPopulation) handleRequestEnd(now eventqueue.Time, r *request, kind uint8, retryIn eventqueue.Span) {
	c, s := r.call, p.simulation.scenario
	clientOutcome, callOutcome := workload.Failed, outcomeFailed
	switch kind {
	case clientAnswered + uint8(invariant.Served):
		callOutcome = outcomeLate
		if now-c.dueAt <= fromMilliseconds(s.Classes[c.Class].LatencyObjective) {
			callOutcome = outcomeServed
		}
		p.finishCall(now, c, callOutcome)
		return
	case clientRejected:
		clientOutcome, callOutcome = workload.Rejected, outcomeRejected
	case clientNodeUnreachable:
		clientOutcome, callOutcome = workload.Unreachable, outcomeRejected
	case clientTimedOut:
		clientOutcome, callOutcome = workload.Timeout, outcomeTimedOut
	}
	wait, shouldRetry := p.retryPolicy.Next(&c.Call, clientOutcome, c.requestCount, now-c.dueAt, retryIn)
	if !shouldRetry {
		p.finishCall(now, c, callOutcome)
		return
	}
	c.currentRequest = nil
	p.simulation.events.After(&p.source, wait, eventqueue.Event{To: p, Kind: clientRetryDue, P: c})
}

func (p *clientPopulation) finishCall(now eventqueue.Time, c *call, how int) {
	c.finished, c.currentRequest = true, nil
	p.simulation.recorder.recordCallEnd(c, how, now)
}
