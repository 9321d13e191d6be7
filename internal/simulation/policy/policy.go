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
	Members(now balancer.Time, kind balancer.ListKind, list []balancer.Host)
	Request(now balancer.Time, a balancer.Arrival)
	Settled(now balancer.Time, s balancer.Settlement)
	Gone(now balancer.Time, id balancer.ReqID)
	Wake(now balancer.Time, t balancer.Token)
	Checked(now balancer.Time, host balancer.HostID, out balancer.Outcome, took balancer.Span, r *balancer.Report)
	Peer(now balancer.Time, from int, data []byte)
}

// Env is what a policy is given at its start.
type Env struct {
	Config  balancer.Config
	Seed    uint64
	Node    int
	Actions balancer.Actions
	Publish func(to int, data []byte)          // a datagram to another node, or to all for -1; late or never
	Truth   func(host balancer.HostID) float64 // time in µs for which a box has work, which no real node can see
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
	balancer.Host
	out int // attempts of this node at it
}

type request struct {
	balancer.Arrival
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
	byID  map[balancer.HostID]*host
	reqs  map[balancer.ReqID]*request
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
	return &plain{env: e, rand: rand.New(rand.NewPCG(e.Seed, 1)), pick: pick, byID: map[balancer.HostID]*host{},
		reqs: map[balancer.ReqID]*request{}}
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

func (p *plain) Members(_ balancer.Time, kind balancer.ListKind, list []balancer.Host) {
	if !p.begun && p.env.Config.AskDiscovery {
		p.ask(balancer.Span(p.rand.Float64() * float64(p.env.Config.Tick) * float64(max(p.env.Config.Peers, 1))))
	}
	if !p.begun && p.extra != nil {
		p.env.Actions.WakeAt(tokenBeat, beat)
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
			h.Phase = balancer.PhaseGone
		}
	}
	for _, e := range list {
		h := p.byID[e.ID]
		if h == nil {
			h = &host{}
			p.byID[e.ID] = h
		}
		h.Host = e
	}
	p.hosts = p.hosts[:0]
	for id, h := range p.byID {
		if h.Phase == balancer.PhaseReady {
			p.hosts = append(p.hosts, h)
		} else if h.Phase == balancer.PhaseGone && h.out == 0 {
			delete(p.byID, id)
		}
	}
	slices.SortFunc(p.hosts, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *plain) ask(after balancer.Span) { p.env.Actions.WakeAt(tokenAsk, after) }

func (p *plain) Request(now balancer.Time, a balancer.Arrival) {
	r := &request{Arrival: a, maybe: -1}
	p.reqs[a.ID] = r
	p.env.Actions.WakeAt(balancer.Token(a.ID)*tokens+tokenEnd, max(a.Deadline-now, 0))
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
	p.env.Actions.Try(r.ID, h.ID, 0)
}

func (p *plain) mayGo(now balancer.Time, c *balancer.Class, r *request, h *host) bool {
	i := r.maybe
	if i < 0 || c.Effect == balancer.Repeatable {
		return true
	}
	if c.Effect == balancer.Once || now-r.at[i]+2*p.env.Config.Tick >= c.Window {
		return false
	}
	return c.Scope == balancer.ScopeAll || h.Zone == r.site[i] && (c.Scope == balancer.ScopeZone || h.Cell == r.rack[i])
}

func (p *plain) end(r *request) {
	c := &p.env.Config.Classes[r.Class]
	if r.maybe < 0 || c.Effect == balancer.Repeatable || c.Effect == balancer.ByKey && c.Scope == balancer.ScopeAll {
		p.env.Actions.Decline(r.ID, 0)
	} else {
		p.env.Actions.Fail(r.ID)
	}
	delete(p.reqs, r.ID)
}

func (p *plain) Settled(now balancer.Time, s balancer.Settlement) {
	if h := p.byID[s.Host]; h != nil {
		h.out--
	}
	r := p.reqs[s.ID]
	if r == nil {
		return
	}
	if s.Closed {
		delete(p.reqs, s.ID)
		return
	}
	if ran := s.Outcome != balancer.Full && s.Outcome != balancer.ConnectFailed && s.Outcome != balancer.Moot; ran && r.maybe < 0 {
		r.maybe = s.Attempt
	}
	p.try(now, r)
}

func (p *plain) Gone(_ balancer.Time, id balancer.ReqID) { delete(p.reqs, id) }

func (p *plain) Wake(now balancer.Time, t balancer.Token) {
	switch t % tokens {
	case tokenAsk:
		p.env.Actions.Observe(true)
	case tokenBeat:
		p.extra(now)
		p.env.Actions.WakeAt(tokenBeat, beat)
	case tokenEnd:
		if r := p.reqs[balancer.ReqID(t/tokens)]; r != nil {
			if n := len(r.tries); n > 0 && r.maybe < 0 { // the last attempt is still out
				r.maybe = n - 1
			}
			p.end(r)
		}
	}
}

func (p *plain) Checked(balancer.Time, balancer.HostID, balancer.Outcome, balancer.Span, *balancer.Report) {
}

func (p *plain) Peer(balancer.Time, int, []byte) {}
