package balancer

// The Balancer, the events that it takes, and its control loop.

import (
	"fmt"

	"tulipglade/internal/staleness"
)

// maxLogBurst is how many lines a Balancer may log at once; each control period allows one more.
const maxLogBurst = 100

// periodSmoothing is the weight of the latest value in means over control periods and over health checks.
const periodSmoothing = 0.3

// Balancer decides for one node. It is not safe for concurrent use.
type Balancer struct {
	config        Config
	commands      Commands
	random        randomSource
	now           Time // of the event that is handled
	started       bool
	endpoints     []*endpointState // by rank, in the same order at every node
	endpointsByID map[EndpointID]*endpointState
	requests      map[RequestID]*openRequest
	tenants       []tenantState
	classes       []classState
	logLines      int
	processCount  float64 // processes of this node: 2 during a hot restart

	subset           []*endpointState // the endpoints in use
	subsetSize       int
	nodesPerEndpoint float64 // mean number of nodes that use an endpoint

	controlPeriod  Span // T_d of the paper
	lastControlAt  Time
	overloadMode   bool
	modeTime       [loadModeCount]float64 // time spent in each mode
	predictedTotal float64                // sum of the tenants' U_PR, at least 1
	capacity       float64                // requests that the subset can hold of this node
	inFlight       inFlightMeter
	meanInFlight   float64 // over control periods

	meanWeight      float64 // nominal, of the listed endpoints
	typicalLimit    float64 // mean limit of warm endpoints of mean weight
	maxSilence      Span    // an endpoint that owes an answer for longer gets nothing new
	warmAnswers     float64 // from warm endpoints since the last control
	answerRate      float64 // answers that a warm endpoint gives this node, per microsecond
	medianErrorRate float64 // of the endpoints in use

	meanObjective             float64 // latency objective, mean over classes
	meanWork                  float64 // time that a request takes alone, mean over classes
	networkDelay              float64 // from a client to the node, where deadlines show it
	lastExpectedLateAttemptAt Time    // the last time when an attempt was sent with a late answer predicted

	listLease    staleness.Lease // nothing is sent without it
	poll         pollSchedule
	healthChecks healthCheckState

	// Reused by the selection, so that it allocates nothing.
	endpointWeights []float64
	tenantWeights   []float64
	classWeights    []float64
	blockedTenants  []bool // tenants for which nothing can be sent now
}

// New returns a Balancer for one node, or an error if the configuration has no valid default.
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
	timerControl     TimerID = iota // of the node: a control period has passed
	timerPoll                       // of the node: discovery may have to be called
	timerDeadline                   // of a request: its last moment for a final answer
	timerQueue                      // of a queued request: capacity may be free, or its time has run out
	timerHealthCheck                // of a queued request: the time for its health checks is over
	timerKindCount
)

// HandleTimer takes a timer that has expired.
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

// handleControlTimer starts the next control period. Its length varies by a tenth, so that nodes which were
// started together do not decide together for ever.
func (b *Balancer) handleControlTimer() {
	b.commands.SetTimer(timerControl, Span(float64(b.controlPeriod)*(0.9+b.random.uniform()/5)))
	b.logLines = max(b.logLines-1, 0)
	b.runControl()
	b.dispatch()
}

func (b *Balancer) handleRequestTimer(request *openRequest, kind TimerID) {
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

// HandleRequest takes a client's request. It is queued, and sent at once if a slot is free.
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

// HandleAttemptResult takes the end of one attempt.
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
	ended.inFlight = false
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

// HandleCancellation takes a request whose client has disconnected, or whose time is over: it needs no
// answer.
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

// HandleResponseStart takes the start of a streamed response. After that the request has no deadline.
func (b *Balancer) HandleResponseStart(now Time, id RequestID) {
	b.now = now
	if request := b.requests[id]; request != nil {
		request.responseStarted = true
	}
}

// HandleUpload takes the start and the end of a time in which the one attempt of a request is sent while the
// request is still coming in. The endpoint has no work with it, and no deadline counts. The request can't be
// retried, and the node decides how long its answer may take.
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
		endpoint.lastAnswerAt = now // the time without an answer counts from here
	}
	b.updateInFlightCounts(request, endpoint, change)
	b.dispatch()
}

// HandlePeerMessage takes a message of another node. Nodes send none, so it does nothing.
func (b *Balancer) HandlePeerMessage(now Time, _ int, _ []byte) { b.now = now }

// SetProcessCount tells how many processes this node has: they share its slow-start budgets.
func (b *Balancer) SetProcessCount(processes int) { b.processCount = float64(max(processes, 1)) }

// runControl recomputes subset, capacity, quotas and slots. It runs in every control period, when the mode
// changes and when the endpoint list changes.
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

// endPeriod turns what was counted since the last control into rates, quotas and the mode.
func (b *Balancer) endPeriod(elapsed, warmEndpoints float64) {
	b.updateAnswerRate(elapsed, warmEndpoints)
	b.updateLatencies()
	b.predictQuotas(elapsed)
	b.updateMode()
}

func (b *Balancer) logf(format string, args ...any) {
	if b.logLines < maxLogBurst {
		b.logLines++
		b.commands.Log(fmt.Sprintf(format, args...))
	}
}
