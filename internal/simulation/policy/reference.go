package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"tulipglade/internal/balancer"
)

// endpoint is an entry of the endpoint list with this node's attempts in flight to it.
type endpoint struct {
	balancer.Endpoint
	inFlight int
}

// sentAttempt is an attempt with the place of its endpoint when it was sent.
type sentAttempt struct {
	endpoint   *endpoint
	zone, cell int
	sentAt     balancer.Time
}

// noAttempt stands for no index of an attempt.
const noAttempt = -1

type request struct {
	balancer.Request
	attempts   []sentAttempt
	mayHaveRun int // index of the first attempt that may have run; noAttempt: none
}

// reference is what all reference policies share. They send a request at once to the endpoint that choose selects, retry
// at once where that is safe, and reject only if no endpoint or attempt is left. They keep the rules on answers, retries
// and draining, and have neither slow start nor admission.
type reference struct {
	env         Env
	random      *rand.Rand
	choose      chooser
	roundRobin  int
	ready       []*endpoint // by ID
	byID        map[balancer.EndpointID]*endpoint
	requests    map[balancer.RequestID]*request
	started     bool
	failedPolls int
	onTick      func() // called every shareInterval, if set
	candidates  []*endpoint
}

// Kinds of timers: a TimerID modulo timerKinds.
const (
	timerPoll     = 1
	timerTick     = 2
	timerDeadline = 3 // plus the request's ID times timerKinds
	timerKinds    = 4
)

// pollBackoff is the least time until the next poll after a failed one, in µs; it grows up to maxPollBackoffFactor times.
const pollBackoff balancer.Span = 250000

const maxPollBackoffFactor = 8

// idempotencyWindowRest is how many ticks of the idempotency window must be left for a retry.
const idempotencyWindowRest = 2

func referenceMaker(choose chooser) Maker {
	return func(env Env) (Policy, error) { return newReference(env, choose), nil }
}

func newReference(env Env, choose chooser) *reference {
	env.Config.MaxAttempts = max(env.Config.MaxAttempts, 1)
	return &reference{
		env:      env,
		random:   rand.New(rand.NewPCG(env.Seed, 1)),
		choose:   choose,
		byID:     map[balancer.EndpointID]*endpoint{},
		requests: map[balancer.RequestID]*request{},
	}
}

// HandleEndpoints takes over an endpoint list or its changes, or schedules another poll after a failed one.
func (p *reference) HandleEndpoints(_ balancer.Time, kind balancer.ListKind, list []balancer.Endpoint) {
	p.start()
	if kind == balancer.ListFailed {
		p.failedPolls++
		factor := float64(min(p.failedPolls, maxPollBackoffFactor))
		p.schedulePoll(balancer.Span(float64(pollBackoff) * (1 + p.random.Float64()) * factor))
		return
	}
	p.failedPolls = 0
	if kind != balancer.ListDelta {
		for _, known := range p.byID {
			known.Phase = balancer.PhaseRemoved
		}
	}
	for _, listed := range list {
		known := p.byID[listed.ID]
		if known == nil {
			known = &endpoint{}
			p.byID[listed.ID] = known
		}
		known.Endpoint = listed
	}
	p.updateReady()
}

// start sets the timers at the first call: polls of the fleet's nodes are spread over time.
func (p *reference) start() {
	if p.started {
		return
	}
	p.started = true
	config := &p.env.Config
	if config.PollDiscovery {
		p.schedulePoll(balancer.Span(p.random.Float64() * float64(config.TickInterval) * float64(max(config.PeerCount, 1))))
	}
	if p.onTick != nil {
		p.env.Commands.SetTimer(timerTick, shareInterval)
	}
}

// updateReady collects the endpoints in service, and forgets removed ones without attempts in flight.
func (p *reference) updateReady() {
	p.ready = p.ready[:0]
	for id, known := range p.byID {
		switch {
		case known.Phase == balancer.PhaseReady:
			p.ready = append(p.ready, known)
		case known.Phase == balancer.PhaseRemoved && known.inFlight == 0:
			delete(p.byID, id)
		}
	}
	slices.SortFunc(p.ready, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *reference) schedulePoll(after balancer.Span) { p.env.Commands.SetTimer(timerPoll, after) }

// HandleRequest sends the request's first attempt.
func (p *reference) HandleRequest(now balancer.Time, incoming balancer.Request) {
	r := &request{Request: incoming, mayHaveRun: noAttempt}
	p.requests[r.ID] = r
	p.env.Commands.SetTimer(balancer.TimerID(r.ID)*timerKinds+timerDeadline, max(r.Deadline-now, 0))
	p.sendAttempt(now, r)
}

// sendAttempt sends the request's next attempt to an endpoint where it is safe, or ends the request if there is none.
func (p *reference) sendAttempt(now balancer.Time, r *request) {
	candidates := p.retryCandidates(now, r)
	if len(r.attempts) == 0 {
		candidates = p.ready
	}
	if len(candidates) == 0 {
		p.finishRequest(r)
		return
	}
	chosen := p.choose(p, candidates)
	if chosen == nil {
		p.finishRequest(r)
		return
	}
	r.attempts = append(r.attempts, sentAttempt{endpoint: chosen, zone: chosen.Zone, cell: chosen.Cell, sentAt: now})
	chosen.inFlight++
	p.env.Commands.SendAttempt(r.ID, chosen.ID, 0)
}

// retryCandidates returns the endpoints that a retry may go to: not the last one, unless it is the only one.
func (p *reference) retryCandidates(now balancer.Time, r *request) []*endpoint {
	if len(r.attempts) == 0 || len(r.attempts) >= p.env.Config.MaxAttempts || now >= r.Deadline {
		return nil
	}
	last := r.attempts[len(r.attempts)-1].endpoint
	p.candidates = p.candidates[:0]
	for _, candidate := range p.ready {
		if (len(p.ready) == 1 || candidate != last) && p.mayRetryAt(now, r, candidate) {
			p.candidates = append(p.candidates, candidate)
		}
	}
	return p.candidates
}

// mayRetryAt reports whether a retry at the endpoint can't run the request a second time against its class.
func (p *reference) mayRetryAt(now balancer.Time, r *request, candidate *endpoint) bool {
	class := &p.env.Config.Classes[r.Class]
	if r.mayHaveRun == noAttempt || class.Idempotency == balancer.Idempotent {
		return true
	}
	if class.Idempotency == balancer.NonIdempotent {
		return false
	}
	first := &r.attempts[r.mayHaveRun]
	if now-first.sentAt+idempotencyWindowRest*p.env.Config.TickInterval >= class.IdempotencyWindow {
		return false
	}
	switch class.KeyScope {
	case balancer.ScopeAll:
		return true
	case balancer.ScopeZone:
		return candidate.Zone == first.zone
	default:
		return candidate.Zone == first.zone && candidate.Cell == first.cell
	}
}

// finishRequest rejects the request if a further request of the client does no harm, else fails it.
func (p *reference) finishRequest(r *request) {
	class := &p.env.Config.Classes[r.Class]
	keyedEverywhere := class.Idempotency == balancer.IdempotentByKey && class.KeyScope == balancer.ScopeAll
	if r.mayHaveRun == noAttempt || class.Idempotency == balancer.Idempotent || keyedEverywhere {
		p.env.Commands.Reject(r.ID, 0)
	} else {
		p.env.Commands.Fail(r.ID)
	}
	delete(p.requests, r.ID)
}

// HandleAttemptResult sends a retry, unless the request is done.
func (p *reference) HandleAttemptResult(now balancer.Time, result balancer.AttemptResult) {
	if known := p.byID[result.Endpoint]; known != nil {
		known.inFlight--
	}
	r := p.requests[result.ID]
	if r == nil {
		return
	}
	if result.RequestDone {
		delete(p.requests, result.ID)
		return
	}
	if r.mayHaveRun == noAttempt && mayHaveRun(result.Outcome) {
		r.mayHaveRun = result.Attempt
	}
	p.sendAttempt(now, r)
}

// mayHaveRun reports whether the outcome leaves open that the attempt ran.
func mayHaveRun(outcome balancer.Outcome) bool {
	switch outcome {
	case balancer.OutcomeRejected, balancer.OutcomeConnectFailed, balancer.OutcomeNotSent:
		return false
	}
	return true
}

// HandleCancellation forgets a request whose client has canceled it.
func (p *reference) HandleCancellation(_ balancer.Time, id balancer.RequestID) {
	delete(p.requests, id)
}

// HandleTimer polls discovery, calls onTick or ends a request at its deadline.
func (p *reference) HandleTimer(_ balancer.Time, timer balancer.TimerID) {
	switch timer % timerKinds {
	case timerPoll:
		p.env.Commands.WatchEndpoints(true)
	case timerTick:
		p.onTick()
		p.env.Commands.SetTimer(timerTick, shareInterval)
	case timerDeadline:
		r := p.requests[balancer.RequestID(timer/timerKinds)]
		if r == nil {
			return
		}
		if count := len(r.attempts); count > 0 && r.mayHaveRun == noAttempt { // the last attempt is still in flight
			r.mayHaveRun = count - 1
		}
		p.finishRequest(r)
	}
}

// HandleHealthCheck does nothing: reference policies send no health checks.
func (p *reference) HandleHealthCheck(balancer.Time, balancer.EndpointID, balancer.Outcome, balancer.Span, *balancer.LoadReport) {
}

// HandlePeerMessage does nothing; sharedLoad has its own.
func (p *reference) HandlePeerMessage(balancer.Time, int, []byte) {}
