package emulator

import (
	"errors"
	"io"

	"tulipglade/internal/balancer"
	"tulipglade/internal/invariant"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/workload"
)

// Kinds of the clients' events. The kind of an answer is clientAnswered plus its invariant.Final.
const (
	clientCallDue          = iota // the next call is due
	clientAnswered                // Payload: the request; Argument: Retry-After, µs. This and the next two are in the order of invariant.Final
	clientRejected                // as above
	clientFailed                  // as above
	clientTimedOut                // Payload: the request, which the client gives up
	clientNodeUnreachable         // Payload: the request, which never ran because its node does not run
	clientConnectionBroken        // Payload: the request, whose node stopped while it had it
	clientRetryDue                // Payload: the call, whose next request is due
	clientCancels                 // Payload: the request, which the client cancels
)

// call is what a client wants answered; it may take several requests.
type call struct {
	workload.Call
	idempotency    balancer.Idempotency
	overQuota      bool // beyond its tenant's quota
	measured       bool // due after the warm-up
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
	retryPolicy     *workload.RetryPolicy
	nextCall        workload.Call
	onlyCalls       map[int]bool // numbers of the calls that are sent; nil: all
	quotaSecond     int64        // the second that remainingQuotas belongs to
	remainingQuotas []float64    // calls of each tenant that are within its quota
}

func (s *Simulation) newClients() (*clientPopulation, error) {
	p := &clientPopulation{
		simulation:  s,
		source:      eventqueue.NewSource(sourceClients),
		random:      eventqueue.NewStream(s.seed, "clients"),
		quotaSecond: -1,
		retryPolicy: workload.NewRetryPolicy(s.scenario, s.seed),
	}
	if len(s.scenario.OnlyCalls) > 0 {
		p.onlyCalls = map[int]bool{}
		for _, number := range s.scenario.OnlyCalls {
			p.onlyCalls[number] = true
		}
	}
	var err error
	if p.arrivals, err = workload.NewSchedule(s.scenario, s.seed, s.capacity, s.faults); err != nil {
		return nil, err
	}
	return p, p.scheduleNextCall()
}

func (p *clientPopulation) schedule(delay eventqueue.Span, event eventqueue.Event) {
	p.simulation.events.ScheduleAfter(&p.source, delay, event)
}

// scheduleNextCall sets the event of the next call, if there is one.
func (p *clientPopulation) scheduleNextCall() error {
	var err error
	p.nextCall, err = p.arrivals.Next()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	p.simulation.events.Schedule(&p.source, origin+p.nextCall.Due, eventqueue.Event{Target: p, Kind: clientCallDue})
	return nil
}

// Handle processes the clients' events.
func (p *clientPopulation) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case clientCallDue:
		c := &call{Call: p.nextCall, dueAt: now}
		if err := p.scheduleNextCall(); err != nil {
			panic(err) // a line of a trace file is wrong; Run returns it as an error
		}
		p.startCall(now, c)
	case clientRetryDue:
		p.sendRequest(now, e.Payload.(*call))
	case clientCancels:
		if r := e.Payload.(*request); r.call.currentRequest == r && !r.call.finished {
			delay := p.simulation.clientDelay(&p.random, r.call.Site, r.node.site)
			p.schedule(delay, eventqueue.Event{Target: r.node, Kind: nodeClientCanceled, Payload: r})
			p.finishCall(now, r.call, outcomeCanceled)
		}
	default:
		if r := e.Payload.(*request); r.call.currentRequest == r && !r.call.finished {
			p.handleRequestEnd(now, r, e.Kind, e.Argument)
		}
	}
}

func (p *clientPopulation) startCall(now eventqueue.Time, c *call) {
	sc := p.simulation.scenario
	p.callCount++
	if p.onlyCalls != nil && !p.onlyCalls[int(c.Number)] {
		return
	}
	class := &sc.Classes[c.Class]
	c.idempotency = p.simulation.classes[c.Class].Idempotency
	c.deadline = now + fromMilliseconds(class.Deadline)
	c.measured = now >= origin+eventqueue.Span(sc.WarmUp*1e6)
	if second := now / eventqueue.Second; second != p.quotaSecond {
		p.quotaSecond = second
		p.remainingQuotas = append(p.remainingQuotas[:0], p.simulation.quotas...)
	}
	p.remainingQuotas[c.Tenant]--
	c.overQuota = p.remainingQuotas[c.Tenant] < 0
	p.simulation.recorder.recordCall(c)
	p.sendRequest(now, c)
}

// sendRequest sends the call's next request, through the frontend of the client's site.
func (p *clientPopulation) sendRequest(now eventqueue.Time, c *call) {
	p.lastRequestID++
	r := &request{id: p.lastRequestID, call: c, number: c.requestCount}
	c.requestCount++
	c.currentRequest = r
	draws := eventqueue.NewDraws(p.simulation.seed, c.Number<<8|uint64(r.number), drawRequest)
	r.deadline = now + p.retryPolicy.Timeout(&c.Call, now-c.dueAt)
	r.node = p.simulation.selectNode(c.Site, draws.Float64(), draws.Float64())
	r.replyTo = r.node
	delay := p.simulation.clientDelay(&p.random, c.Site, r.node.site)
	p.schedule(delay, eventqueue.Event{Target: r.node, Kind: nodeRequest, Payload: r})
	p.simulation.events.Schedule(&p.source, r.deadline, eventqueue.Event{Target: p, Kind: clientTimedOut, Payload: r})
	if draws.Float64() < p.simulation.scenario.Clients.Impatient {
		cancelAt := now + eventqueue.Span(draws.Float64()*float64(r.deadline-now))
		p.simulation.events.Schedule(&p.source, cancelAt, eventqueue.Event{Target: p, Kind: clientCancels, Payload: r})
	}
}

// handleRequestEnd ends the call with the outcome of its request, or schedules a retry.
func (p *clientPopulation) handleRequestEnd(now eventqueue.Time, r *request, kind uint8, retryIn eventqueue.Span) {
	c := r.call
	if kind == clientAnswered+uint8(invariant.Served) {
		outcome := outcomeLate
		if now-c.dueAt <= fromMilliseconds(p.simulation.scenario.Classes[c.Class].LatencyObjective) {
			outcome = outcomeServed
		}
		p.finishCall(now, c, outcome)
		return
	}
	requestOutcome, outcome := workload.Failed, outcomeFailed
	switch kind {
	case clientRejected:
		requestOutcome, outcome = workload.Rejected, outcomeRejected
	case clientNodeUnreachable:
		requestOutcome, outcome = workload.Unreachable, outcomeRejected
	case clientTimedOut:
		requestOutcome, outcome = workload.Timeout, outcomeTimedOut
	}
	wait, shouldRetry := p.retryPolicy.Next(&c.Call, requestOutcome, c.requestCount, now-c.dueAt, retryIn)
	if !shouldRetry {
		p.finishCall(now, c, outcome)
		return
	}
	c.currentRequest = nil
	p.schedule(wait, eventqueue.Event{Target: p, Kind: clientRetryDue, Payload: c})
}

func (p *clientPopulation) finishCall(now eventqueue.Time, c *call, outcome callOutcome) {
	c.finished, c.currentRequest = true, nil
	p.simulation.recorder.recordCallEnd(c, outcome, now)
}
