package experiment

import (
	"math"
	"time"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// Cost holds the processor time that the decisions of one node take, in a fleet with the given numbers of endpoints and
// nodes.
type Cost struct {
	Policy            string  `json:"policy"`
	Endpoints         int     `json:"hosts"`
	Nodes             int     `json:"nodes"`
	RequestsPerSecond float64 `json:"requests_per_s"` // arrival rate at the measured node
	MicrosPerRequest  float64 `json:"us_per_request"` // includes the results of its attempts and the timers
	MicrosPerList     float64 `json:"us_per_list"`    // for processing a complete endpoint list
	Requests          int64   `json:"requests"`
}

// Conditions under which the cost is measured.
const (
	costAttemptLatency      = 150 * eventqueue.Millisecond
	costRequestsPerEndpoint = 14.0 // per second; 60% of an endpoint's capacity
	costWarmUp              = 3 * eventqueue.Second
	costStart               = 1000 * eventqueue.Second // well after 0, because a start time of 0 means long ago
	maxCostRequests         = 200000
	minCostRequests         = 200
)

// costMeter runs one node whose endpoints answer after a constant time, and sums the processor time that its policy
// uses.
type costMeter struct {
	events           eventqueue.Sim
	source           eventqueue.Source
	policy           policy.Policy
	random           eventqueue.Stream
	meanInterarrival float64
	lastRequestID    balancer.RequestID
	spent            time.Duration
	requestCount     int64
	attemptCounts    map[balancer.RequestID]int
	config           balancer.Config
}

// Kinds of the events that a costMeter handles.
const (
	costRequest    = iota // the next request arrives
	costAttemptEnd        // Argument: the balancer.RequestID; Payload: the balancer.EndpointID
	costTimer             // Argument: the balancer.TimerID
)

// Measure runs a single node of a fleet and measures the processor time of its policy. Warm-up and measurement each
// take at most the budget of wall-clock time, except that the measurement always covers at least minCostRequests
// requests.
func Measure(name string, endpoints, nodes int, budget time.Duration) (Cost, error) {
	m, err := newCostMeter(name, endpoints, nodes)
	if err != nil {
		return Cost{}, err
	}
	cost := Cost{Policy: name, Endpoints: endpoints, Nodes: nodes, RequestsPerSecond: 1e6 / m.meanInterarrival}
	list := costEndpoints(endpoints)
	m.policy.HandleEndpoints(m.events.Now(), balancer.ListFull, list)
	began := time.Now()
	m.policy.HandleEndpoints(m.events.Now(), balancer.ListFull, list)
	cost.MicrosPerList = float64(time.Since(began).Nanoseconds()) / 1000
	m.schedule(0, eventqueue.Event{Target: m, Kind: costRequest})
	m.warmUp(budget)
	m.measure(budget)
	cost.Requests = m.requestCount
	cost.MicrosPerRequest = float64(m.spent.Nanoseconds()) / 1000 / float64(m.requestCount)
	return cost, nil
}

func newCostMeter(name string, endpoints, nodes int) (*costMeter, error) {
	sc := scenario.Default()
	sc.Nodes.Count, sc.Fleet.Backends = nodes, endpoints
	if err := sc.Check(); err != nil {
		return nil, err
	}
	maker, err := policy.Find(name)
	if err != nil {
		return nil, err
	}
	m := &costMeter{
		source:           eventqueue.NewSource(1),
		random:           eventqueue.NewStream(1, "cost"),
		meanInterarrival: 1e6 * float64(nodes) / (costRequestsPerEndpoint * float64(endpoints)),
		attemptCounts:    map[balancer.RequestID]int{},
		config:           sc.Config(0, make([]float64, len(sc.Tenants))),
	}
	m.config.PollDiscovery = false
	m.events.Run(costStart)
	m.policy, err = maker(policy.Env{
		Config:        m.config,
		Seed:          1,
		Commands:      m,
		Publish:       func(int, []byte) {},
		OracleLatency: func(balancer.EndpointID) float64 { return 1 },
	})
	return m, err
}

// costEndpoints returns a list of endpoints of equal weight, spread over three zones.
func costEndpoints(count int) []balancer.Endpoint {
	list := make([]balancer.Endpoint, count)
	for i := range list {
		list[i] = balancer.Endpoint{
			ID:     balancer.EndpointID(i + 1),
			Phase:  balancer.PhaseReady,
			Zone:   i % 3,
			Cell:   i / 8,
			Weight: 1,
		}
	}
	return list
}

func (m *costMeter) schedule(delay eventqueue.Span, event eventqueue.Event) {
	m.events.ScheduleAfter(&m.source, delay, event)
}

func (m *costMeter) warmUp(budget time.Duration) {
	end, began := m.events.Now()+costWarmUp, time.Now()
	for m.events.Now() < end && time.Since(began) < budget {
		m.events.Step(end)
	}
}

func (m *costMeter) measure(budget time.Duration) {
	m.spent, m.requestCount = 0, 0
	began := time.Now()
	for m.requestCount < maxCostRequests && (m.requestCount < minCostRequests || time.Since(began) < budget) {
		m.events.Step(math.MaxInt64)
	}
}

// Handle passes an event to the policy and adds the time that the policy takes to the total.
func (m *costMeter) Handle(now eventqueue.Time, e eventqueue.Event) {
	began := time.Now()
	switch e.Kind {
	case costRequest:
		m.lastRequestID++
		m.requestCount++
		class := int(m.lastRequestID) % len(m.config.Classes)
		m.policy.HandleRequest(now, balancer.Request{
			ID:          m.lastRequestID,
			AffinityKey: uint64(m.lastRequestID)%300 + 1,
			Class:       class,
			Tenant:      int(m.lastRequestID) % len(m.config.Tenants),
			Deadline:    now + m.config.Classes[class].Deadline,
		})
	case costAttemptEnd:
		id := balancer.RequestID(e.Argument)
		attempt := m.attemptCounts[id] - 1
		delete(m.attemptCounts, id)
		m.policy.HandleAttemptResult(now, balancer.AttemptResult{
			ID:          id,
			Attempt:     attempt,
			Endpoint:    e.Payload.(balancer.EndpointID),
			Outcome:     balancer.OutcomeOK,
			Latency:     costAttemptLatency,
			RequestDone: true,
		})
	case costTimer:
		m.policy.HandleTimer(now, balancer.TimerID(e.Argument))
	}
	m.spent += time.Since(began)
	if e.Kind == costRequest {
		interarrival := eventqueue.Span(m.meanInterarrival * m.random.ExpFloat64())
		m.schedule(interarrival, eventqueue.Event{Target: m, Kind: costRequest})
	}
}

// SendAttempt schedules the end of the attempt after a constant latency.
func (m *costMeter) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, _ balancer.Span) {
	m.attemptCounts[id]++
	m.schedule(costAttemptLatency, eventqueue.Event{Target: m, Kind: costAttemptEnd, Argument: int64(id), Payload: endpoint})
}

// SetTimer schedules the expiry of a timer.
func (m *costMeter) SetTimer(timer balancer.TimerID, delay balancer.Span) {
	m.schedule(delay, eventqueue.Event{Target: m, Kind: costTimer, Argument: int64(timer)})
}

// CancelAttempt has no effect: every attempt succeeds, and costMeter ignores this command and those below.
func (m *costMeter) CancelAttempt(balancer.RequestID, int) {}

// Reject has no effect.
func (m *costMeter) Reject(balancer.RequestID, balancer.Span) {}

// Fail has no effect.
func (m *costMeter) Fail(balancer.RequestID) {}

// CheckHealth has no effect.
func (m *costMeter) CheckHealth(balancer.EndpointID) {}

// WatchEndpoints has no effect.
func (m *costMeter) WatchEndpoints(bool) {}

// PollEndpoints has no effect.
func (m *costMeter) PollEndpoints() {}

// Log has no effect.
func (m *costMeter) Log(string) {}
