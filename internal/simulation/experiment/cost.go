package experiment

import (
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// Cost is what one node's decisions cost, with so many hosts and nodes in all.
type Cost struct {
	Policy   string  `json:"policy"`
	Hosts    int     `json:"hosts"`
	Nodes    int     `json:"nodes"`
	PerS     float64 `json:"requests_per_s"` // that the one node takes
	Micros   float64 `json:"us_per_request"` // of processor time, with its outcomes and timers
	PerList  float64 `json:"us_per_list"`    // for a whole list
	Requests int64   `json:"requests"`
}

// What a decision is measured under.
const (
	costWait  = 150 * eventqueue.Millisecond // until an attempt is answered
	costPerS  = 14.0                         // requests a second for each host: 60% of what it can do
	costWarm  = 3 * eventqueue.Second
	costMost  = 200000 // requests
	costLeast = 200
)

type costNode struct {
	sim   eventqueue.Sim
	src   eventqueue.Source
	p     policy.Policy
	rand  eventqueue.Stream
	gap   float64
	next  balancer.RequestID
	spent time.Duration
	asked int64
	tries map[balancer.RequestID]int
	cfg   balancer.Config
}

const (
	costRequest = iota
	costSettled
	costWake
)

// Measure runs one node of a fleet alone, whose hosts answer after a constant time, and takes the processor time of
// its policy. It ends after so much time on the clock on the wall at the latest.
func Measure(name string, hosts, nodes int, budget time.Duration) (Cost, error) {
	sc := scenario.Default()
	sc.Nodes.Count, sc.Fleet.Backends = nodes, hosts
	if err := sc.Check(); err != nil {
		return Cost{}, err
	}
	maker, err := policy.Find(name)
	if err != nil {
		return Cost{}, err
	}
	n := &costNode{src: eventqueue.NewSource(1), rand: eventqueue.NewStream(1, "cost"), tries: map[balancer.RequestID]int{}}
	n.gap = 1e6 * float64(nodes) / (costPerS * float64(hosts))
	n.cfg = sc.Config(0, make([]float64, len(sc.Tenants)))
	n.cfg.PollDiscovery = false
	n.sim.Run(1000 * eventqueue.Second)
	n.p, err = maker(policy.Env{Config: n.cfg, Seed: 1, Commands: n, Publish: func(int, []byte) {},
		OracleLatency: func(balancer.EndpointID) float64 { return 1 }})
	if err != nil {
		return Cost{}, err
	}
	list := make([]balancer.Endpoint, hosts)
	for i := range list {
		list[i] = balancer.Endpoint{ID: balancer.EndpointID(i + 1), Phase: balancer.PhaseReady, Zone: i % 3, Cell: i / 8, Weight: 1}
	}
	n.p.HandleEndpoints(n.sim.Now(), balancer.ListFull, list)
	began := time.Now()
	n.p.HandleEndpoints(n.sim.Now(), balancer.ListFull, list)
	c := Cost{Policy: name, Hosts: hosts, Nodes: nodes, PerS: 1e6 / n.gap, PerList: float64(time.Since(began).Nanoseconds()) / 1000}
	n.sim.After(&n.src, 0, eventqueue.Event{To: n, Kind: costRequest})
	warm, began := n.sim.Now()+costWarm, time.Now()
	for n.sim.Now() < warm && time.Since(began) < budget {
		n.sim.Step(warm)
	}
	n.spent, n.asked = 0, 0
	for began := time.Now(); n.asked < costMost && (n.asked < costLeast || time.Since(began) < budget); {
		n.sim.Step(1 << 60)
	}
	c.Requests, c.Micros = n.asked, float64(n.spent.Nanoseconds())/1000/float64(n.asked)
	return c, nil
}

// Handle takes the node's events.
func (n *costNode) Handle(now eventqueue.Time, e eventqueue.Event) {
	began := time.Now()
	switch e.Kind {
	case costRequest:
		n.next++
		n.asked++
		class := int(n.next) % len(n.cfg.Classes)
		n.p.HandleRequest(now, balancer.Request{ID: n.next, AffinityKey: uint64(n.next)%300 + 1, Class: class, Tenant: int(n.next) % len(n.cfg.Tenants),
			Deadline: now + n.cfg.Classes[class].Deadline})
	case costSettled:
		id := balancer.RequestID(e.A)
		no := n.tries[id] - 1
		delete(n.tries, id)
		n.p.HandleAttemptResult(now, balancer.AttemptResult{ID: id, Attempt: no, Endpoint: e.P.(balancer.EndpointID), Outcome: balancer.OutcomeOK,
			Latency: costWait, RequestDone: true})
	case costWake:
		n.p.HandleTimer(now, balancer.TimerID(e.A))
	}
	n.spent += time.Since(began)
	if e.Kind == costRequest {
		n.sim.After(&n.src, eventqueue.Span(n.gap*n.rand.ExpFloat64()), eventqueue.Event{To: n, Kind: costRequest})
	}
}

// SendAttempt answers after a constant time.
func (n *costNode) SendAttempt(id balancer.RequestID, h balancer.EndpointID, _ balancer.Span) {
	n.tries[id]++
	n.sim.After(&n.src, costWait, eventqueue.Event{To: n, Kind: costSettled, A: int64(id), P: h})
}

// SetTimer sets a timer.
func (n *costNode) SetTimer(t balancer.TimerID, delay balancer.Span) {
	n.sim.After(&n.src, delay, eventqueue.Event{To: n, Kind: costWake, A: int64(t)})
}

// The other actions have no consequence here.

func (n *costNode) CancelAttempt(balancer.RequestID, int)    {}
func (n *costNode) Reject(balancer.RequestID, balancer.Span) {}
func (n *costNode) Fail(balancer.RequestID)                  {}
func (n *costNode) CheckHealth(balancer.EndpointID)          {}
func (n *costNode) WatchEndpoints(bool)                      {}
func (n *costNode) PollEndpoints()                           {}
func (n *costNode) Log(string)                               {}
