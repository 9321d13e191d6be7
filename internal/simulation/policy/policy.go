// Package policy holds what the lab can put into a node: the decision module itself, and reference policies to
// compare it with, all behind one seam.
package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"tulipglade/internal/balancer"
)

// Policy takes a node's events. What it wants done it says through the Actions of its Env.
type Policy interface {
	HandleEndpoints(now balancer.Time, kind balancer.ListKind, list []balancer.Endpoint)
	HandleRequest(now balancer.Time, a balancer.Request)
	HandleAttemptResult(now balancer.Time, s balancer.AttemptResult)
	HandleCancellation(now balancer.Time, id balancer.RequestID)
	HandleTimer(now balancer.Time, t balancer.TimerID)
	HandleHealthCheck(now balancer.Time, host balancer.EndpointID, out balancer.Outcome, took balancer.Span, r *balancer.LoadReport)
	HandlePeerMessage(now balancer.Time, from int, data []byte)
}

// Env is what a policy is given at its start.
type Env struct {
	Config  balancer.Config
	Seed    uint64
	Node    int
	Actions balancer.Commands
	Publish func(to int, data []byte)              // a datagram to another node, or to all for -1; late or never
	Truth   func(host balancer.EndpointID) float64 // time in µs for which a box has work, which no real node can see
}

// Maker makes a policy for one node.
type Maker func(Env) (Policy, error)

// Module is the name of the decision module under test.
const Module = "tulipglade"

var makers = map[string]Maker{
	Module: func(e Env) (Policy, error) { return balancer.New(e.Config, e.Seed, e.Actions) },
	"random": plainMaker(func(p *plain, r *request, from []*host) *host {
		return from[p.rand.IntN(len(from))]
	}),
	"round-robin": plainMaker(func(p *plain, r *request, from []*host) *host {
		p.turn++
		return from[p.turn%len(from)]
	}),
	"two-choices": plainMaker(func(p *plain, r *request, from []*host) *host {
		a, b := from[p.rand.IntN(len(from))], from[p.rand.IntN(len(from))]
		if b.out < a.out {
			return b
		}
		return a
	}),
	"least-outstanding": plainMaker(func(p *plain, r *request, from []*host) *host {
		return least(p, from, func(h *host) float64 { return float64(h.out) })
	}),
	"least-shared": func(e Env) (Policy, error) { return newShared(e), nil },
	"oracle": plainMaker(func(p *plain, r *request, from []*host) *host {
		return least(p, from, func(h *host) float64 { return p.env.Truth(h.ID) })
	}),
}

// Names are the policies there are, by name.
func Names() []string {
	var names []string
	for n := range makers {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Find returns the maker of the policy so named.
func Find(name string) (Maker, error) {
	if m := makers[name]; m != nil {
		return m, nil
	}
	return nil, fmt.Errorf("policy %q is none of %v", name, Names())
}

type host struct {
	balancer.Endpoint
	out int // attempts of this node at it
}

type request struct {
	balancer.Request
	tries []*host
	site  []int // of each try, and its rack and time, as they were
	rack  []int
	at    []balancer.Time
	maybe int // the try that may have run; -1: none
}

// plain is what all reference policies share: they send at once to the host that pick chooses, repeat at once what
// the rules allow to be repeated, and refuse only where there is no host or no attempt left. They keep to the rules on
// answers, repeats and drains; of cold hosts and overload they know nothing.
type plain struct {
	env   Env
	rand  *rand.Rand
	pick  func(p *plain, r *request, from []*host) *host
	turn  int
	hosts []*host // in service, by id
	byID  map[balancer.EndpointID]*host
	reqs  map[balancer.RequestID]*request
	begun bool
	fails int
	extra func(now balancer.Time) // on the beat, if any
	from  []*host
}

const (
	tokenAsk  = 1
	tokenBeat = 2
	tokenEnd  = 3 // and the request's id times tokens
	tokens    = 4
)

func plainMaker(pick func(*plain, *request, []*host) *host) Maker {
	return func(e Env) (Policy, error) { return newPlain(e, pick), nil }
}

func newPlain(e Env, pick func(*plain, *request, []*host) *host) *plain {
	e.Config.MaxAttempts = max(e.Config.MaxAttempts, 1)
	return &plain{env: e, rand: rand.New(rand.NewPCG(e.Seed, 1)), pick: pick, byID: map[balancer.EndpointID]*host{},
		reqs: map[balancer.RequestID]*request{}}
}

func least(p *plain, from []*host, load func(*host) float64) *host {
	var best *host
	low, ties := 0.0, 0
	for _, h := range from {
		switch x := load(h); {
		case best == nil || x < low:
			best, low, ties = h, x, 1
		case x == low: // the first of equals would draw all nodes to one host
			if ties++; p.rand.IntN(ties) == 0 {
				best = h
			}
		}
	}
	return best
}

func (p *plain) HandleEndpoints(_ balancer.Time, kind balancer.ListKind, list []balancer.Endpoint) {
	if !p.begun && p.env.Config.PollDiscovery {
		p.ask(balancer.Span(p.rand.Float64() * float64(p.env.Config.TickInterval) * float64(max(p.env.Config.PeerCount, 1))))
	}
	if !p.begun && p.extra != nil {
		p.env.Actions.SetTimer(tokenBeat, beat)
	}
	p.begun = true
	if kind == balancer.ListFailed {
		p.fails++
		p.ask(balancer.Span(250000 * (1 + p.rand.Float64()) * float64(min(p.fails, 8))))
		return
	}
	p.fails = 0
	if kind != balancer.ListDelta {
		for _, h := range p.byID {
			h.Phase = balancer.PhaseRemoved
		}
	}
	for _, e := range list {
		h := p.byID[e.ID]
		if h == nil {
			h = &host{}
			p.byID[e.ID] = h
		}
		h.Endpoint = e
	}
	p.hosts = p.hosts[:0]
	for id, h := range p.byID {
		if h.Phase == balancer.PhaseReady {
			p.hosts = append(p.hosts, h)
		} else if h.Phase == balancer.PhaseRemoved && h.out == 0 {
			delete(p.byID, id)
		}
	}
	slices.SortFunc(p.hosts, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *plain) ask(after balancer.Span) { p.env.Actions.SetTimer(tokenAsk, after) }

func (p *plain) HandleRequest(now balancer.Time, a balancer.Request) {
	r := &request{Request: a, maybe: -1}
	p.reqs[a.ID] = r
	p.env.Actions.SetTimer(balancer.TimerID(a.ID)*tokens+tokenEnd, max(a.Deadline-now, 0))
	p.try(now, r)
}

// try sends the request to a host that its class allows, or ends it where there is none.
func (p *plain) try(now balancer.Time, r *request) {
	c := &p.env.Config.Classes[r.Class]
	from := p.from[:0]
	if len(r.tries) == 0 {
		from = p.hosts
	} else if len(r.tries) < p.env.Config.MaxAttempts && now < r.Deadline {
		for _, h := range p.hosts {
			if (len(p.hosts) == 1 || h != r.tries[len(r.tries)-1]) && p.mayGo(now, c, r, h) {
				from = append(from, h)
			}
		}
		p.from = from
	}
	if len(from) == 0 {
		p.end(r)
		return
	}
	h := p.pick(p, r, from)
	if h == nil {
		p.end(r)
		return
	}
	r.tries, r.site, r.rack, r.at = append(r.tries, h), append(r.site, h.Zone), append(r.rack, h.Cell), append(r.at, now)
	h.out++
	p.env.Actions.SendAttempt(r.ID, h.ID, 0)
}

func (p *plain) mayGo(now balancer.Time, c *balancer.Class, r *request, h *host) bool {
	i := r.maybe
	if i < 0 || c.Idempotency == balancer.Idempotent {
		return true
	}
	if c.Idempotency == balancer.NonIdempotent || now-r.at[i]+2*p.env.Config.TickInterval >= c.IdempotencyWindow {
		return false
	}
	return c.KeyScope == balancer.ScopeAll || h.Zone == r.site[i] && (c.KeyScope == balancer.ScopeZone || h.Cell == r.rack[i])
}

func (p *plain) end(r *request) {
	c := &p.env.Config.Classes[r.Class]
	if r.maybe < 0 || c.Idempotency == balancer.Idempotent || c.Idempotency == balancer.IdempotentByKey && c.KeyScope == balancer.ScopeAll {
		p.env.Actions.Reject(r.ID, 0)
	} else {
		p.env.Actions.Fail(r.ID)
	}
	delete(p.reqs, r.ID)
}

func (p *plain) HandleAttemptResult(now balancer.Time, s balancer.AttemptResult) {
	if h := p.byID[s.Endpoint]; h != nil {
		h.out--
	}
	r := p.reqs[s.ID]
	if r == nil {
		return
	}
	if s.RequestDone {
		delete(p.reqs, s.ID)
		return
	}
	if ran := s.Outcome != balancer.OutcomeRejected && s.Outcome != balancer.OutcomeConnectFailed && s.Outcome != balancer.OutcomeNotSent; ran && r.maybe < 0 {
		r.maybe = s.Attempt
	}
	p.try(now, r)
}

func (p *plain) HandleCancellation(_ balancer.Time, id balancer.RequestID) { delete(p.reqs, id) }

func (p *plain) HandleTimer(now balancer.Time, t balancer.TimerID) {
	switch t % tokens {
	case tokenAsk:
		p.env.Actions.WatchEndpoints(true)
	case tokenBeat:
		p.extra(now)
		p.env.Actions.SetTimer(tokenBeat, beat)
	case tokenEnd:
		if r := p.reqs[balancer.RequestID(t/tokens)]; r != nil {
			if n := len(r.tries); n > 0 && r.maybe < 0 { // the last attempt is still out
				r.maybe = n - 1
			}
			p.end(r)
		}
	}
}

func (p *plain) HandleHealthCheck(balancer.Time, balancer.EndpointID, balancer.Outcome, balancer.Span, *balancer.LoadReport) {
}

func (p *plain) HandlePeerMessage(balancer.Time, int, []byte) {}
