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
	clientNext            = iota // the next call is due
	clientAnswer                 // P: the request; A: when to come back, µs. This and the next two are in judge's order
	clientRefused                //
	clientFailed                 //
	clientTimeout                // P: the request, whose try is given up
	clientRefusedByNobody        // P: the request: its node does not run, so it never ran
	clientBroken                 // P: the request: its node died with it
	clientAgain                  // P: the call, whose next try is due
	clientLeaves                 // P: the request, whose client does not wait to the end
)

// call is a call in the lab: what the client wants, and how far it has got.
type call struct {
	workload.Call
	effect   balancer.Idempotency
	overOwn  bool // beyond its tenant's share
	counted  bool // after the warm-up
	ended    bool
	due      eventqueue.Time
	deadline eventqueue.Time
	tries    int
	runs     int
	current  *request
}

// crowd is all clients. Calls arrive by a schedule that does not wait for answers.
type crowd struct {
	w      *Simulation
	src    eventqueue.Source
	rand   eventqueue.Stream
	calls  uint64
	ids    balancer.RequestID
	plan   *workload.Schedule
	retry  *workload.Retry
	next   workload.Call
	only   map[int]bool
	second int64     // in which left holds
	left   []float64 // of each tenant's quota in that second
}

func (w *Simulation) newCrowd() (*crowd, error) {
	c := &crowd{w: w, src: eventqueue.NewSource(sourceCrowd), rand: eventqueue.NewStream(w.seed, "clients"), second: -1,
		retry: workload.NewRetry(w.sc, w.seed)}
	if len(w.sc.OnlyCalls) > 0 {
		c.only = map[int]bool{}
		for _, n := range w.sc.OnlyCalls {
			c.only[n] = true
		}
	}
	var err error
	if c.plan, err = workload.NewSchedule(w.sc, w.seed, w.capacity, w.faults); err != nil {
		return nil, err
	}
	return c, c.schedule()
}

// schedule sets the next call.
func (c *crowd) schedule() error {
	var err error
	if c.next, err = c.plan.Next(); errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		return err
	}
	c.w.sim.At(&c.src, origin+c.next.At, eventqueue.Event{To: c, Kind: clientNext})
	return nil
}

// Handle takes the clients' events.
func (c *crowd) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case clientNext:
		k := &call{Call: c.next, due: now}
		if err := c.schedule(); err != nil {
			panic(err) // a trace whose later lines are wrong
		}
		c.arrive(now, k)
	case clientAgain:
		c.send(now, e.P.(*call))
	case clientLeaves:
		if r := e.P.(*request); r.call.current == r && !r.call.ended {
			c.w.sim.After(&c.src, c.w.clientDelay(&c.rand, r.call.Site, r.node.site), eventqueue.Event{To: r.node, Kind: nodeLeft, P: r})
			c.finish(now, r.call, outcomeGone)
		}
	default:
		if r := e.P.(*request); r.call.current == r && !r.call.ended {
			c.answered(now, r, e.Kind, e.A)
		}
	}
}

func (c *crowd) arrive(now eventqueue.Time, k *call) {
	s := c.w.sc
	c.calls++
	if c.only != nil && !c.only[int(k.Number)] {
		return
	}
	class := &s.Classes[k.Class]
	k.effect = c.w.classes[k.Class].Idempotency
	k.deadline = now + us(class.Deadline)
	k.counted = now >= origin+eventqueue.Span(s.WarmUp*1e6)
	if sec := now / eventqueue.Second; sec != c.second {
		c.second = sec
		c.left = append(c.left[:0], c.w.quota...)
	}
	c.left[k.Tenant]--
	k.overOwn = c.left[k.Tenant] < 0
	c.w.rec.asked(k)
	c.send(now, k)
}

// send makes the next try, through the front of the client's site.
func (c *crowd) send(now eventqueue.Time, k *call) {
	c.ids++
	r := &request{id: c.ids, call: k, try: k.tries}
	k.tries++
	k.current = r
	d := eventqueue.NewDraws(c.w.seed, k.Number<<8|uint64(r.try), drawTry)
	r.deadline = now + c.retry.Timeout(&k.Call, now-k.due)
	r.node = c.w.front(k.Site, d.Float64(), d.Float64())
	r.to = r.node
	c.w.sim.After(&c.src, c.w.clientDelay(&c.rand, k.Site, r.node.site), eventqueue.Event{To: r.node, Kind: nodeRequest, P: r})
	c.w.sim.At(&c.src, r.deadline, eventqueue.Event{To: c, Kind: clientTimeout, P: r})
	if d.Float64() < c.w.sc.Clients.Impatient {
		leaves := now + eventqueue.Span(d.Float64()*float64(r.deadline-now))
		c.w.sim.At(&c.src, leaves, eventqueue.Event{To: c, Kind: clientLeaves, P: r})
	}
}

// How a call ended.
const (
	outcomeServed = iota
	outcomeLate   // served after the aim
	outcomeRefused
	outcomeFailed
	outcomeTimedOut
	outcomeGone
	outcomes
)

var outcomeNames = [outcomes]string{"served", "late", "refused", "failed", "timed-out", "left"}

func (c *crowd) answered(now eventqueue.Time, r *request, kind uint8, retryIn eventqueue.Span) {
	k, s := r.call, c.w.sc
	how, end := workload.Failed, outcomeFailed
	switch kind {
	case clientAnswer + uint8(invariant.Served):
		end = outcomeLate
		if now-k.due <= us(s.Classes[k.Class].LatencyObjective) {
			end = outcomeServed
		}
		c.finish(now, k, end)
		return
	case clientRefused:
		how, end = workload.Rejected, outcomeRefused
	case clientRefusedByNobody:
		how, end = workload.Unreachable, outcomeRefused
	case clientTimeout:
		how, end = workload.Timeout, outcomeTimedOut
	}
	wait, again := c.retry.Next(&k.Call, how, k.tries, now-k.due, retryIn)
	if !again {
		c.finish(now, k, end)
		return
	}
	k.current = nil
	c.w.sim.After(&c.src, wait, eventqueue.Event{To: c, Kind: clientAgain, P: k})
}

func (c *crowd) finish(now eventqueue.Time, k *call, how int) {
	k.ended, k.current = true, nil
	c.w.rec.ended(k, how, now)
}
