package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"tulipglade/internal/balancer"
)

// endpoint is an entry of the endpoint list together with the number of attempts that this node has in flight to it.
type endpoint struct {
	balancer.Endpoint
	inFlight int
}

// sentAttempt is an attempt together with the zone and the cell that its endpoint had when the attempt was sent.
type sentAttempt struct {
	endpoint   *endpoint
	zone, cell int
	sentAt     balancer.Time
}

// noAttempt is the value of request.mayHaveRun if no attempt may have run.
const noAttempt = -1

// request holds the state of a request that is not finished.
type request struct {
	balancer.Request
	attempts   []sentAttempt
	mayHaveRun int // index of the first attempt that the backend may have run; noAttempt if there is none
}

// reference is the common part of all reference policies. It sends each request immediately to the endpoint that choose
// selects, retries immediately where a retry is safe, and ends a request without an answer only if no attempt is left,
// no endpoint is suitable or the deadline has passed. It obeys the rules on answers, retries and draining, but has
// neither slow start nor admission.
type reference struct {
	env         Env
	random      *rand.Rand
	choose      chooser
	roundRobin  int         // number of selections by chooseRoundRobin so far
	ready       []*endpoint // endpoints that may get new attempts, sorted by ID
	byID        map[balancer.EndpointID]*endpoint
	requests    map[balancer.RequestID]*request
	started     bool        // whether start has been called
	failedPolls int         // consecutive polls that failed, up to the last one
	onTick      func()      // called every shareInterval unless nil
	candidates  []*endpoint // result of retryCandidates, kept to reuse its memory
}

// Kinds of timers. The kind of a timer is its TimerID modulo timerKinds.
const (
	timerPoll     = 1
	timerTick     = 2
	timerDeadline = 3 // the TimerID also contains the request's ID, multiplied by timerKinds
	timerKinds    = 4
)

// pollBackoff is the shortest time until the next poll after one failed poll, in µs. It is multiplied by the number of
// consecutive failed polls, up to maxPollBackoffFactor.
const pollBackoff balancer.Span = 250000

const maxPollBackoffFactor = 8

// idempotencyMarginTicks is a safety margin: a retry must be sent more than this number of ticks before the end of the
// idempotency window.
const idempotencyMarginTicks = 2

// referenceMaker returns the maker of the reference policy that selects endpoints with choose.
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

// HandleEndpoints applies a complete endpoint list or the changes of a list. After a failed poll it schedules the next
// one.
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

// start sets the timers when it is called for the first time. The delay of the first poll is random, so that the nodes
// of the fleet don't poll at the same time.
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

// updateReady rebuilds ready from the endpoints that are in service, and deletes removed endpoints that have no
// attempts in flight.
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

func (p *reference) schedulePoll(delay balancer.Span) { p.env.Commands.SetTimer(timerPoll, delay) }

// HandleRequest sets the timer for the request's deadline and sends the first attempt.
func (p *reference) HandleRequest(now balancer.Time, incoming balancer.Request) {
	r := &request{Request: incoming, mayHaveRun: noAttempt}
	p.requests[r.ID] = r
	p.env.Commands.SetTimer(balancer.TimerID(r.ID)*timerKinds+timerDeadline, max(r.Deadline-now, 0))
	p.sendAttempt(now, r)
}

// sendAttempt sends the request's next attempt to an endpoint at which the attempt is safe. If there is no such
// endpoint, it ends the request.
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

// retryCandidates returns the endpoints to which a retry may safely be sent. The endpoint of the last attempt is left
// out unless it is the only one in service. The result is empty if no attempt was sent, no attempt is left or the deadline
// has passed.
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

// mayRetryAt reports whether a retry at the endpoint is safe: it must not run the request a second time if the class of
// the request forbids that.
func (p *reference) mayRetryAt(now balancer.Time, r *request, candidate *endpoint) bool {
	class := &p.env.Config.Classes[r.Class]
	if r.mayHaveRun == noAttempt || class.Idempotency == balancer.Idempotent {
		return true
	}
	if class.Idempotency == balancer.NonIdempotent {
		return false
	}
	first := &r.attempts[r.mayHaveRun]
	if now-first.sentAt+idempotencyMarginTicks*p.env.Config.TickInterval >= class.IdempotencyWindow {
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

// finishRequest ends a request without an answer. It rejects the request if the client may safely send it again, and
// otherwise fails it.
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

// HandleAttemptResult sends a retry or ends the request, unless the request is already done.
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

// mayHaveRun reports whether an attempt with this outcome may have been run by the backend.
func mayHaveRun(outcome balancer.Outcome) bool {
	switch outcome {
	case balancer.OutcomeRejected, balancer.OutcomeConnectFailed, balancer.OutcomeNotSent:
		return false
	}
	return true
}

// HandleCancellation deletes a request that its client has canceled.
func (p *reference) HandleCancellation(_ balancer.Time, id balancer.RequestID) {
	delete(p.requests, id)
}

// HandleTimer polls discovery, calls onTick or ends a request at its deadline, depending on the kind of the timer.
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

// HandlePeerMessage does nothing; sharedLoad overrides it.
func (p *reference) HandlePeerMessage(balancer.Time, int, []byte) {}
