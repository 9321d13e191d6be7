package balancer

// The Balancer, the events that it handles, and its control loop.

import (
	"fmt"

	"tulipglade/internal/staleness"
)

// maxLogBurst is the largest number of lines that a Balancer logs in a burst; each control period allows one
// more line.
const maxLogBurst = 100

// periodSmoothing is the weight of the latest value in moving averages over control periods and over health
// checks.
const periodSmoothing = 0.3

// Balancer makes the decisions of one node. It is not safe for concurrent use.
type Balancer struct {
	config        Config
	commands      Commands
	random        randomSource
	now           Time             // time of the current event
	started       bool             // the first endpoint list has arrived
	endpoints     []*endpointState // sorted by rank, in the same order at every node
	endpointsByID map[EndpointID]*endpointState
	requests      map[RequestID]*openRequest
	tenants       []tenantState
	classes       []classState
	logLines      int     // logged lines that count towards maxLogBurst
	processCount  float64 // processes of this node: 2 during a hot restart

	subset           []*endpointState // the endpoints that this node uses
	subsetSize       int              // number of endpoints that the traffic needs
	nodesPerEndpoint float64          // mean number of nodes that use an endpoint

	controlPeriod  Span // T_d of the paper
	lastControlAt  Time // when the last control period ended
	overloadMode   bool
	modeTime       [loadModeCount]float64 // time spent in each mode
	predictedTotal float64                // sum of the tenants' predicted quotas U_PR, at least 1
	capacity       float64                // number of this node's requests that the subset can hold
	inFlight       inFlightMeter          // requests of this node, over all tenants
	meanInFlight   float64                // moving average over control periods

	meanWeight      float64 // mean nominal capacity of the listed endpoints
	typicalLimit    float64 // mean limit of a warm endpoint of mean weight
	maxSilence      Span    // an endpoint whose answer is outstanding for longer gets no new requests
	warmAnswers     float64 // answers from warm endpoints in this control period
	answerRate      float64 // answers of a warm endpoint to this node, per microsecond
	medianErrorRate float64 // median of the error rates in the subset

	meanObjective             float64 // mean latency objective of the classes
	meanWork                  float64 // mean time of a request of any class on an idle endpoint
	networkDelay              float64 // delay from clients to the node, as far as their deadlines show it
	lastExpectedLateAttemptAt Time    // when an attempt with a predicted late answer was last sent

	listLease    staleness.Lease // no request is sent after its expiry
	poll         pollSchedule
	healthChecks healthCheckState

	// Buffers that the selection reuses, so that it does not allocate memory.
	endpointWeights []float64
	tenantWeights   []float64
	classWeights    []float64
	blockedTenants  []bool // tenants of which no request can be sent now
}

// New returns a Balancer for one node. It returns an error if config has no classes, or a class without a
// deadline. The same seed and events result in the same commands.
func New(config Config, seed uint64, commands Commands) (*Balancer, error) {
	b := &Balancer{
		commands:      commands,
		random:        randomSource{seed},
		endpointsByID: map[EndpointID]*endpointState{},
		requests:      map[RequestID]*openRequest{},
		processCount:  1,
	}
	if err := b.applyConfig(config); err != nil {
		return nil, err
	}
	return b, nil
}

// The kinds of timers. A TimerID is the RequestID (0 for timers of the node) times timerKindCount, plus the
// kind.
const (
	timerControl     TimerID = iota // of the node: a control period is over
	timerPoll                       // of the node: a call to discovery may be due
	timerDeadline                   // of a request: its final answer is due
	timerQueue                      // of a queued request: capacity may be free, or it must be rejected
	timerHealthCheck                // of a queued request: it waits no longer for health checks
	timerKindCount
)

// HandleTimer handles the expiry of a timer.
func (b *Balancer) HandleTimer(now Time, id TimerID) {
	b.now = now
	switch kind := id % timerKindCount; kind {
	case timerControl:
		b.handleControlTimer()
	case timerPoll:
		b.handlePollTimer()
	default:
		request := b.requests[RequestID(id/timerKindCount)]
		if request != nil && !request.responseStarted {
			b.handleRequestTimer(request, kind)
		}
	}
}

// handleControlTimer ends a control period and starts the next one. The length of a period varies by a tenth,
// so that nodes that were started together do not continue to make their decisions at the same times.
func (b *Balancer) handleControlTimer() {
	b.commands.SetTimer(timerControl, Span(float64(b.controlPeriod)*(0.9+b.random.uniform()/5)))
	b.logLines = max(b.logLines-1, 0)
	b.runControl()
	b.dispatch()
}

// handleRequestTimer rejects or fails a request whose time is over, and else tries to send queued requests.
func (b *Balancer) handleRequestTimer(request *openRequest, kind TimerID) {
	if kind == timerDeadline && request.responsePartial { // the node is about to forward it
		return
	}
	if kind == timerDeadline || request.queued && b.now >= b.latestStart(request) {
		b.rejectOrFail(request)
		return
	}
	if kind == timerQueue && request.queued {
		b.setQueueTimer(request)
	}
	b.dispatch()
}

func (b *Balancer) setRequestTimer(request *openRequest, kind TimerID, delay Span) {
	b.commands.SetTimer(TimerID(request.id)*timerKindCount+kind, delay)
}

// HandleRequest handles a new request of a client: it queues the request, and sends it at once if a slot is
// free. It rejects a request whose answer would be late.
func (b *Balancer) HandleRequest(now Time, incoming Request) {
	b.now = now
	request := b.newRequest(incoming)
	b.requests[request.id] = request
	b.tenants[request.tenant].quota.arrivals++
	b.setDeadlineTimer(request)
	b.enqueue(request)
	if b.wouldBeLate(request) {
		b.rejectOrFail(request)
	}
	b.dispatch()
}

// HandleAttemptResult handles the end of one attempt.
func (b *Balancer) HandleAttemptResult(now Time, result AttemptResult) {
	b.now = now
	request := b.requests[result.ID]
	if request == nil || result.Attempt >= len(request.attempts) {
		return
	}
	ended := &request.attempts[result.Attempt]
	if !ended.inFlight {
		return
	}
	ended.inFlight, request.responsePartial = false, false
	ended.mayHaveRun = !provesNotRun(result.Outcome)
	b.recordAttemptChange(request, ended.endpoint, -1, result)
	if result.Outcome == OutcomeOK || result.Outcome == OutcomeTimeout {
		b.recordLatency(request, ended, float64(result.Latency), result.Outcome == OutcomeOK)
	}
	b.recordOutcome(ended.endpoint, request.class, result)
	if result.RequestDone {
		b.closeRequest(request)
	} else if !request.done && request.attemptsInFlight == 0 {
		b.retryOrEnd(request)
	}
	b.deleteIfComplete(request)
	b.dispatch()
}

// HandleCancellation ends a request that needs no answer, as its client has disconnected or its time is over.
func (b *Balancer) HandleCancellation(now Time, id RequestID) {
	b.now = now
	request := b.requests[id]
	if request == nil {
		return
	}
	b.closeRequest(request)
	for i := range request.attempts {
		if request.attempts[i].inFlight && b.config.AllowCancel {
			b.commands.CancelAttempt(id, i)
		}
	}
	b.dispatch()
}

// HandlePartialResponse handles the arrival of the first part of a response whose length is unknown. It
// returns the time by which the node has to forward what has arrived and to call HandleResponseStart: the
// response may be a long one, which an end at the deadline would cut off. Until then the request may be
// retried if the response breaks off.
func (b *Balancer) HandlePartialResponse(now Time, id RequestID) (forwardBy Time) {
	b.now = now
	request := b.requests[id]
	if request == nil || request.done {
		return now
	}
	request.responsePartial = true
	return b.responseForwardTime(request)
}

// HandleResponseStart handles the start of a streamed response. From then on the request has no deadline.
func (b *Balancer) HandleResponseStart(now Time, id RequestID) {
	b.now = now
	if request := b.requests[id]; request != nil {
		request.responseStarted = true
	}
}

// HandleUpload handles the start and the end of an upload, during which the only attempt of a request is sent
// while the node still receives the request. Meanwhile the endpoint does not work on the request, and no
// deadline applies. The request can't be retried, and the node decides how long its answer may take.
func (b *Balancer) HandleUpload(now Time, id RequestID, uploading bool) {
	b.now = now
	request := b.requests[id]
	if request == nil || request.attemptsInFlight == 0 || request.uploading == uploading {
		return
	}
	request.responseStarted, request.uploading = true, uploading
	endpoint, change := request.attempts[len(request.attempts)-1].endpoint, 1
	if uploading {
		change = -1
	} else if endpoint.inFlight.count == 0 {
		endpoint.lastAnswerAt = now // the time without an answer is measured from here
	}
	b.updateInFlightCounts(request, endpoint, change)
	b.dispatch()
}

// HandlePeerMessage handles a message from another node. Nodes send no messages to each other, so it only
// updates the time.
func (b *Balancer) HandlePeerMessage(now Time, _ int, _ []byte) { b.now = now }

// SetProcessCount sets the number of processes of this node, which share its slow-start budgets.
func (b *Balancer) SetProcessCount(processes int) { b.processCount = float64(max(processes, 1)) }

// runControl recomputes the subset, the capacity, the quotas and the slots. It runs in every control period
// and whenever the endpoint list, the configuration or the learned state is replaced. It ends the control
// period if at least half of it has passed, or earlier if the mode changes.
func (b *Balancer) runControl() {
	b.normalizeSlowness()
	warmEndpoints := b.updateSubset()
	if b.healthChecksUnanswered() && len(b.subset) > 0 {
		b.checkRandomEndpoint()
	}
	elapsed := float64(b.now - b.lastControlAt)
	periodOver := elapsed >= float64(b.controlPeriod)/2
	if periodOver || elapsed > 0 && b.overloadDetected() != b.overloadMode {
		b.lastControlAt = b.now
		b.endPeriod(elapsed, warmEndpoints)
	}
	b.assignTenantSlots()
}

// endPeriod derives rates, quotas and the mode from the counts of the control period that ends.
func (b *Balancer) endPeriod(elapsed, warmEndpoints float64) {
	b.updateAnswerRate(elapsed, warmEndpoints)
	b.updateLatencies()
	b.predictQuotas(elapsed)
	b.updateMode()
}

// logf logs a line, unless maxLogBurst is reached.
func (b *Balancer) logf(format string, args ...any) {
	if b.logLines < maxLogBurst {
		b.logLines++
		b.commands.Log(fmt.Sprintf(format, args...))
	}
}
