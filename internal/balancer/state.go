package balancer

// The state that balancer.go decides on, how it is set up from the settings, and the bookkeeping
// around it. No decision is made here.

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"tulipglade/internal/safety"
	"tulipglade/internal/staleness"
)

type endpointState struct {
	Endpoint
	inFlight            inFlightMeter // own attempts
	inFlightByTenant    []int         // the same by tenant
	slots               []float64     // its row of the slot matrix
	limit               float64       // what it may hold of all gateways together
	cores               float64       // requests that it works on at once, as far as was seen; 0: not told
	slowness            float64       // how much longer it takes than is usual
	rank                uint64        // its place in the order of all gateways
	consecutiveFailures int
	errorRate           float64 // share of its answers that were errors, of late
	ejections           int     // times judged out since it last did well
	ejectedUntil        Time
	lastAnswerAt        Time    // last sign of life while attempts were out
	slowStartTokens     float64 // turns while it is cold: the whole ones are open, the rest is how far the next has come
	tokensUpdatedAt     Time
	report              LoadReport
	reportChangedAt     Time // when the report last changed
	reportReceivedAt    Time // when the last report came
}

// What a timer's token says beside its request.
const (
	timerControl = iota
	timerPoll
	timerDeadline
	timerQueue
	timerHealthCheck
	timerKinds
)

type attempt struct {
	endpoint   *endpointState
	zone, cell int
	sentAt     Time
	inFlight   bool
	mayHaveRun bool // may have run
	predicted  latencyPrediction
}

type request struct {
	id                                RequestID
	class, tenant                     int
	affinityKey                       uint64  // 0: of no use
	hintDistance                      float64 // its client's guess, as the logarithm of what it is of the usual one
	relativeWork                      float64 // its work, as a part of what is usual in its class
	objectiveAt, halfTimeAt, deadline Time
	attempts                          []attempt
	attemptsInFlight                  int
	maxAttempts                       int // attempts that it may have, by the settings that it came under
	queued, done, responseStarted     bool
	uploading                         bool             // its attempt is out, and not at work yet
	candidates                        []*endpointState // for it, and probed
	checkedAt, waitUntil              Time             // when, and how long it waits for the answers, or before the next draw
}

type tenantState struct {
	share       float64
	queue       []*request
	inFlight    inFlightMeter
	slots       float64
	slotTime    float64 // slot time since the last control
	arrivals    float64 // requests since then
	demand      float64 // mean share of requests
	predicted   float64 // U_PR, as a part of all slots above the floor
	utilization [2]float64
}

type classState struct {
	baseline, mean         float64
	waits                  [20]int // requests by how long the client waits, in steps of the class's deadline
	periodSum, periodCount float64 // of this control period
	work                   float64 // time that a host takes for it alone, where hosts tell what they hold
	workSamples            float64 // from which that was learned
	hintMean               float64 // mean logarithm of the clients' guesses
	hintSquares            float64 // squares of their distances from that, and products with those of the work
	hintProducts           float64
}

// inFlightMeter counts what is in flight, and its mean over about a period.
type inFlightMeter struct {
	count     int
	mean      float64
	updatedAt Time
}

func (m *inFlightMeter) add(now Time, n int, slots float64, period Span) float64 {
	if m.updatedAt == 0 { // it begins as if its slots had been used: no gateway starts with time saved up
		m.mean, m.updatedAt = slots, now
	}
	m.mean += (float64(m.count) - m.mean) * -math.Expm1(float64(m.updatedAt-now)/float64(period))
	m.count, m.updatedAt = m.count+n, now
	return m.mean
}

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	config          Config
	commands        Commands
	randomState     uint64
	born            uint64 // the seed at start
	now             Time
	started         bool
	endpoints       []*endpointState // by rank, in the same order at every gateway
	subset          []*endpointState // the subset in use
	endpointsByID   map[EndpointID]*endpointState
	requests        map[RequestID]*request
	tenants         []tenantState
	classes         []classState
	endpointWeights []float64
	tenantWeights   []float64 // weights of tenants
	classWeights    []float64 // weights of classes
	blockedTenants  []bool    // tenants of whom nothing can be placed now

	overloadMode           bool // overload mode
	inFlight               inFlightMeter
	reportsUnusable        bool    // probes do not tell what hosts hold
	unansweredSince        Time    // the first request's probes since one was answered; 0: none
	meanHealthCheckLatency float64 // mean time of a probe
	subsetSize             int     // of the subset
	predictedTotal         float64 // sum of U_PR, 1 at least
	meanInFlight           float64 // own requests in flight, mean over periods
	nodesPerEndpoint       float64 // gateways that use a host
	modeTime               [2]float64
	lastControlAt          Time
	controlPeriod          Span // T_d
	capacity               float64
	lastLateAttemptAt      Time    // when a request was last sent whose answer was foreseen as late
	meanWork               float64 // mean over classes
	meanObjective          float64
	networkDelay           float64         // how long a request is under way from its client, where deadlines tell
	maxSilence             Span            // how long a host may owe an answer
	meanWeight             float64         // mean of the hosts listed
	typicalLimit           float64         // mean limit of warm hosts of mean weight
	warmAnswers            float64         // from warm hosts since the last control
	medianErrorRate        float64         // median share of errors of the hosts in use
	answerRate             float64         // answers a warm host gives this gateway, per microsecond
	listLease              staleness.Lease // of the list: nothing is sent without it
	watching               bool
	pollFailures           int
	nextPollAt             Time
	processCount           float64 // processes that are this gateway: 2 while another takes its place
	logLines               int
}

// New returns a Balancer for one gateway, or an error where the settings leave nothing sound to do.
func New(cfg Config, seed uint64, act Commands) (*Balancer, error) {
	b := &Balancer{commands: act, randomState: seed, born: seed, endpointsByID: map[EndpointID]*endpointState{}, requests: map[RequestID]*request{}, processCount: 1}
	if err := b.applyConfig(cfg); err != nil {
		return nil, err
	}
	return b, nil
}

// applyConfig takes in the settings, with the defaults that api.go and the README state.
func (b *Balancer) applyConfig(cfg Config) error {
	if len(cfg.Classes) == 0 {
		return errors.New("settings: no classes of request")
	}
	cfg.Classes = append([]Class(nil), cfg.Classes...)
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: class %d has no deadline", i)
		}
		if !(c.PriorityWeight > 0) {
			c.PriorityWeight = 1
		}
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			c.LatencyObjective = c.Deadline
		}
		b.controlPeriod = max(b.controlPeriod, 2*c.LatencyObjective)
		quarter := float64(c.LatencyObjective) / 4
		b.classes = append(b.classes, classState{baseline: quarter, mean: quarter, work: quarter})
		b.meanObjective += float64(c.LatencyObjective) / float64(len(cfg.Classes))
		b.meanWork = b.meanObjective / 4
	}
	b.maxSilence, b.predictedTotal, b.classWeights = b.controlPeriod/2, 1, make([]float64, len(cfg.Classes))
	cfg.MaxAttempts, cfg.PeerIndex = max(cfg.MaxAttempts, 1), max(cfg.PeerIndex, 0)
	cfg.SlowStartInitial = min(max(cfg.SlowStartInitial, 0.05), 1)
	total := 0.0
	for _, t := range cfg.Tenants {
		total += max(t.QuotaFraction, 0)
	}
	b.tenants = make([]tenantState, max(len(cfg.Tenants), 1))
	b.tenantWeights, b.blockedTenants = make([]float64, len(b.tenants)), make([]bool, len(b.tenants))
	for i := range b.tenants {
		b.tenants[i].share = 1 / float64(len(b.tenants))
		if total > 0 {
			b.tenants[i].share = max(cfg.Tenants[i].QuotaFraction, 0) / total
		}
		b.tenants[i].demand, b.tenants[i].predicted = b.tenants[i].share, b.tenants[i].share
	}
	b.config = cfg
	return nil
}

// Reconfigure takes up new settings. Requests that are open keep the rules they came under: the classes and tenants they
// belong to must stay in cfg under their numbers. classes and tenants tell, for each of cfg's, the number of the one whose
// learning it goes on with, or -1; a tenant's requests go with it, so that number is its own.
func (b *Balancer) Reconfigure(now Time, cfg Config, classes, tenants []int) error {
	next := &Balancer{}
	if err := next.applyConfig(cfg); err != nil {
		return err
	}
	b.now = now
	for i, old := range classes {
		if old < 0 {
			continue
		}
		c, was := &next.classes[i], b.classes[old]
		if next.config.Classes[i].Deadline != b.config.Classes[old].Deadline { // its steps are parts of the deadline
			was.waits = c.waits
		}
		*c = was
	}
	for i, old := range tenants {
		if old >= 0 {
			share := next.tenants[i].share
			next.tenants[i] = b.tenants[old]
			next.tenants[i].share = share
		}
	}
	for _, h := range b.endpoints {
		per, slots := make([]int, len(next.tenants)), make([]float64, len(next.tenants))
		for i, old := range tenants { // a number may be another tenant's by now
			if old >= 0 {
				per[i], slots[i] = h.inFlightByTenant[old], h.slots[old]
			}
		}
		h.inFlightByTenant, h.slots = per, slots
	}
	b.config, b.classes, b.tenants, b.controlPeriod, b.meanObjective = next.config, next.classes, next.tenants, next.controlPeriod, next.meanObjective
	b.tenantWeights, b.classWeights, b.blockedTenants = next.tenantWeights, next.classWeights, next.blockedTenants
	b.runControl()
	b.dispatch()
	return nil
}

// Learned is what a gateway has learned, for another process that takes its place. Hosts are known by Key; classes and
// tenants are in the order of the settings that both have.
type Learned struct {
	Endpoints     map[uint64]LearnedEndpoint `json:"Hosts"`
	Classes       []LearnedClass             `json:"Classes"`
	Tenants       []LearnedTenant            `json:"Tenants"`
	MeanInFlight  float64                    `json:"Busy"`
	AnswerRate    float64                    `json:"Rate"`
	ModeTime      [2]float64                 `json:"ModeTime"`
	Overloaded    bool                       `json:"Over"`
	ListLeaseLeft Span                       `json:"ListLeft"` // for how much longer requests may be sent by the list that goes with it
}

// LearnedEndpoint is what was learned of a host's process, as of Started.
type LearnedEndpoint struct {
	StartedAt           Time    `json:"Started"`
	Limit               float64 `json:"Limit"`
	ErrorShare          float64 `json:"Bad"`
	Tokens              float64 `json:"Tokens"`
	ConsecutiveFailures int     `json:"Fails"`
	Ejections           int     `json:"Outs"`
	EjectedUntil        Time    `json:"OutTill"`
	TokensAt            Time    `json:"TokensAt"`
	Backlog             float64 `json:"Queue"` // by its last report, as the next two
	Utilization         float64 `json:"Util"`
	Outstanding         float64 `json:"Holding"`
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	BaseLatency float64 `json:"Base"`
	MeanLatency float64 `json:"Mean"`
}

// LearnedTenant is what was learned of a tenant.
type LearnedTenant struct {
	Demand      float64    `json:"Demand"`
	QuotaTarget float64    `json:"Want"`
	Used        [2]float64 `json:"Used"`
}

// ExportState returns what was learned. Of what is left of the cold budgets, half goes with it.
func (b *Balancer) ExportState(now Time) Learned {
	b.now = now
	m := Learned{Endpoints: map[uint64]LearnedEndpoint{}, MeanInFlight: b.meanInFlight, AnswerRate: b.answerRate, ModeTime: b.modeTime, Overloaded: b.overloadMode}
	if b.listLease.Bounded() {
		m.ListLeaseLeft = max(b.listLease.Until()-b.now, 0)
	}
	for _, h := range b.endpoints {
		h.slowStartTokens /= 2
		m.Endpoints[cmp.Or(h.StableKey, uint64(h.ID))] = LearnedEndpoint{StartedAt: h.StartedAt, Limit: h.limit, ErrorShare: h.errorRate, Tokens: h.slowStartTokens, ConsecutiveFailures: h.consecutiveFailures,
			Ejections: h.ejections, EjectedUntil: h.ejectedUntil, TokensAt: h.tokensUpdatedAt, Backlog: h.report.Backlog, Utilization: h.report.Utilization, Outstanding: h.report.Outstanding}
	}
	for i := range b.classes {
		m.Classes = append(m.Classes, LearnedClass{b.classes[i].baseline, b.classes[i].mean})
	}
	for i := range b.tenants {
		t := &b.tenants[i]
		m.Tenants = append(m.Tenants, LearnedTenant{t.demand, t.predicted, t.utilization})
	}
	return m
}

// ImportState takes up what another process has learned of the hosts that are listed. What makes no sense is left out.
func (b *Balancer) ImportState(now Time, m Learned) {
	b.now = now
	sound := func(v ...float64) bool {
		return !slices.ContainsFunc(v, func(v float64) bool { return !(v >= 0 && v < 1e15) })
	}
	for _, h := range b.endpoints {
		o, ok := m.Endpoints[cmp.Or(h.StableKey, uint64(h.ID))]
		if !ok || o.StartedAt != h.StartedAt || !sound(o.Limit, o.ErrorShare) || o.Limit == 0 || o.ErrorShare > 1 || math.IsNaN(o.Tokens) {
			continue
		}
		h.limit, h.errorRate, h.consecutiveFailures, h.ejections = o.Limit, o.ErrorShare, min(max(o.ConsecutiveFailures, 0), ejectionFailures), min(max(o.Ejections, 0), 2*maxDoublings)
		h.slowStartTokens, h.tokensUpdatedAt = o.Tokens, now
		h.ejectedUntil = min(o.EjectedUntil, now+b.controlPeriod<<maxDoublings)
		h.report, h.reportChangedAt, h.reportReceivedAt = LoadReport{o.Outstanding, o.Backlog, o.Utilization}, now, 0
		if !sound(o.Backlog, o.Utilization) {
			h.report = LoadReport{-1, -1, -1}
		}
	}
	if len(m.Classes) == len(b.classes) {
		for i, c := range m.Classes {
			if sound(c.BaseLatency, c.MeanLatency) && c.BaseLatency > 0 && c.MeanLatency > 0 {
				b.classes[i].baseline, b.classes[i].mean = c.BaseLatency, c.MeanLatency
			}
		}
	}
	if len(m.Tenants) == len(b.tenants) {
		for i, t := range m.Tenants {
			if sound(t.Demand, t.QuotaTarget, t.Used[0], t.Used[1]) {
				b.tenants[i].demand, b.tenants[i].predicted, b.tenants[i].utilization = t.Demand, t.QuotaTarget, t.Used
			}
		}
	}
	if sound(m.MeanInFlight, m.AnswerRate, m.ModeTime[0], m.ModeTime[1]) {
		b.meanInFlight, b.answerRate, b.modeTime, b.overloadMode = m.MeanInFlight, m.AnswerRate, m.ModeTime, m.Overloaded
	}
	if left := m.ListLeaseLeft - maxHandoffDuration; left > 0 && m.ListLeaseLeft <= b.config.ListLease {
		b.listLease.Record(staleness.Answered, now+left-b.config.ListLease)
	}
	b.runControl()
	b.dispatch()
}

// maxHandoffDuration is how long it may take until what one process has given is with the next.
const maxHandoffDuration Span = 500_000

// SetProcessCount tells how many processes are this gateway: they spend the cold budgets together.
func (b *Balancer) SetProcessCount(processes int) { b.processCount = float64(max(processes, 1)) }

// Config returns the settings in force, defaults filled in.
func (b *Balancer) Config() Config { return b.config }

// drawWeighted picks an index in proportion to the weights, or -1 where all are zero.
func (b *Balancer) drawWeighted(weights []float64) int {
	total, last := 0.0, -1
	for i, w := range weights {
		if w > 0 {
			total, last = total+w, i
		}
	}
	if last < 0 {
		return -1
	}
	x := b.random() * total
	for i, w := range weights {
		if w > 0 && x < w {
			return i
		}
		x -= w
	}
	return last
}

// drawEndpoint draws by weight: by chance, or by key where hosts work less for one that they have met. Over all
// keys hosts still stand by weight, but a key meets the same ones, at whichever gateway it comes in.
func (b *Balancer) drawEndpoint(key uint64, from []*endpointState) int {
	if key == 0 {
		return b.drawWeighted(b.endpointWeights[:len(from)])
	}
	first, least := -1, math.Inf(1)
	for i, h := range from { // weighted rendezvous; -ln u is 1-u at least: that spares most logarithms
		u, w := float64(hash64(key^h.rank)>>11+1)/(1<<53), b.endpointWeights[i]
		if w > 0 && 1-u < least*w {
			if x := -math.Log(u) / w; x < least {
				first, least = i, x
			}
		}
	}
	return first
}

func (b *Balancer) forgetIfComplete(r *request) {
	if r.done && r.attemptsInFlight == 0 {
		delete(b.requests, r.id)
	}
}

// recordReport keeps a host's report and when it last changed.
func (b *Balancer) recordReport(h *endpointState, rep *LoadReport) {
	if rep == nil {
		return
	}
	if *rep != h.report {
		h.reportChangedAt = b.now
	}
	h.report, h.reportReceivedAt = *rep, b.now
	h.learnCores(rep)
}

func (b *Balancer) modeIndex() int {
	if b.overloadMode {
		return 1
	}
	return 0
}

// observeWait counts how long clients wait for a try, in a few steps of the whole time that a client has, and
// returns the step of this one and the one seen most, which stays that of first tries even in a jam of repeats.
func (c *classState) observeWait(left, whole Span) (at, usual int) {
	n := Span(len(c.waits))
	at = int(max(0, min(left*n/whole, n-1)))
	c.waits[at]++
	for i, seen := range c.waits {
		if seen > c.waits[usual] {
			usual = i
		}
	}
	return at, usual
}

// firstThatMayHaveRun is the first of these attempts that may have executed, or is still out.
func firstThatMayHaveRun(tries []attempt) *safety.PriorAttempt {
	for i := range tries {
		if a := &tries[i]; a.inFlight || a.mayHaveRun {
			return &safety.PriorAttempt{SentAt: a.sentAt, Zone: a.zone, Cell: a.cell}
		}
	}
	return nil
}

// HandleResponseStart is the start of a streamed answer: from here on no deadline counts.
func (b *Balancer) HandleResponseStart(now Time, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		r.responseStarted = true
	}
}

// HandleUpload tells that a request's one attempt has begun to go out while the request is still coming in, and later that all
// of it has gone: in between its host has no work with it, and no deadline counts. It can't be sent again, and how long its
// answer may take is the gateway's to say.
func (b *Balancer) HandleUpload(now Time, id RequestID, on bool) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.attemptsInFlight == 0 || r.uploading == on {
		return
	}
	r.responseStarted, r.uploading = true, on
	h, n := r.attempts[len(r.attempts)-1].endpoint, 1
	if on {
		n = -1
	} else if h.inFlight.count == 0 { // from here on it owes an answer
		h.lastAnswerAt = now
	}
	b.countInFlight(r, h, n)
	b.dispatch()
}

// HandlePeerMessage is a message of another gateway. None is sent, so none is heeded.
func (b *Balancer) HandlePeerMessage(now Time, from int, data []byte) { b.now = now }

// mergeEndpoints applies a list to the hosts known and returns those that are new processes. A host that a whole list
// leaves off is gone; its record stays until its last attempt has ended.
func (b *Balancer) mergeEndpoints(kind ListKind, list []Endpoint) (fresh []*endpointState) {
	named := map[EndpointID]bool{}
	for _, e := range list {
		named[e.ID] = true
		h := b.endpointsByID[e.ID]
		if h == nil {
			if e.Phase == PhaseRemoved {
				continue
			}
			h = &endpointState{inFlightByTenant: make([]int, len(b.tenants)), slots: make([]float64, len(b.tenants))}
			h.StartedAt = -1
			b.endpointsByID[e.ID] = h
			b.endpoints = append(b.endpoints, h)
		}
		if e.StartedAt != h.StartedAt {
			h.report, h.reportChangedAt = LoadReport{-1, -1, -1}, 0
			fresh = append(fresh, h)
		}
		h.Endpoint = e
	}
	kept := b.endpoints[:0]
	for _, h := range b.endpoints {
		if kind != ListDelta && !named[h.ID] {
			h.Phase = PhaseRemoved
		}
		if h.Phase == PhaseRemoved && h.inFlight.count == 0 {
			delete(b.endpointsByID, h.ID)
			continue
		}
		kept = append(kept, h)
	}
	b.endpoints = kept
	b.endpointWeights = make([]float64, len(kept))
	b.meanWeight = 0
	for _, h := range kept {
		b.meanWeight += max(h.Weight, 0)
	}
	b.meanWeight /= float64(max(len(kept), 1))
	return fresh
}

// warmUpFraction is the least part of its capacity that a host has by now.
func (b *Balancer) warmUpFraction(h *endpointState) float64 {
	age := b.now - h.StartedAt
	if h.StartedAt <= 0 || b.config.SlowStartDuration <= 0 || age >= b.config.SlowStartDuration {
		return 1
	}
	return b.config.SlowStartInitial + (1-b.config.SlowStartInitial)*float64(max(age, 0))/float64(b.config.SlowStartDuration)
}

// slowStartRate is how many attempts in a microsecond a cold host may have of this process.
func (b *Balancer) slowStartRate(h *endpointState, warmth float64) float64 {
	return max(b.answerRate, 2/float64(b.controlPeriod)/b.nodesPerEndpoint) * warmth * b.config.OverloadFactor * slowStartBudgetFraction * min(b.relativeWeight(h), 1) / b.processCount
}

// firstSlowStartTokens is how far this gateway's next turn at a cold host has come as it first hears of it. The turns of all are one schedule on the clock
// that all machines read: each start of a host begins it at a point of its own, and gateways stand evenly on it, by a step that has
// nothing in common with the one that chose their subsets. One that starts anew has no turn more than it would have had.
func (b *Balancer) firstSlowStartTokens(h *endpointState) float64 {
	start := float64(hash64(h.rank^hash64(uint64(h.StartedAt)))>>11) / (1 << 53)
	return math.Mod(start+float64(b.config.PeerIndex)*math.Sqrt2+b.slowStartRate(h, b.warmUpFraction(h))*float64(max(b.now-h.StartedAt, 0)), 1)
}

// relativeWeight is a host's nominal capacity, where the mean of all hosts is 1. It is held within bounds: one senseless weight
// in a list must not take the room of all other hosts.
func (b *Balancer) relativeWeight(h *endpointState) float64 {
	if h.Weight <= 0 || b.meanWeight <= 0 {
		return 1
	}
	return min(max(h.Weight/b.meanWeight, 0.25), 4)
}

// effectiveLimit is what a host may hold of this gateway's by now. A cold one has all its cores, but they are slow: room in
// line with its warmth leaves most of them idle, and room for all that keeps them busy may make answers late.
func (b *Balancer) effectiveLimit(h *endpointState) float64 {
	return h.limit / b.nodesPerEndpoint * math.Sqrt(b.warmUpFraction(h))
}

// periodTotals are the requests and the slot time of all tenants since the last control.
func (b *Balancer) periodTotals() (arrived, served float64) {
	for i := range b.tenants {
		arrived += b.tenants[i].arrivals
		served += b.tenants[i].slotTime
	}
	return arrived, served
}

// satisfiedQuotas sums the shares of those tenants that lately asked for no more than theirs.
func (b *Balancer) satisfiedQuotas() (sum float64) {
	for i := range b.tenants {
		if t := &b.tenants[i]; t.demand <= t.share {
			sum += t.share
		}
	}
	return sum
}

// readyEndpoints lists the hosts that may be sent to, by rank.
func (b *Balancer) readyEndpoints() []*endpointState {
	return slices.DeleteFunc(slices.Clone(b.endpoints), func(h *endpointState) bool { return h.Phase != PhaseReady })
}

// sortEndpoints puts hosts in the order of all gateways.
func (b *Balancer) sortEndpoints() {
	slices.SortFunc(b.endpoints, func(x, y *endpointState) int { return cmp.Compare(x.rank, y.rank) })
}

func (b *Balancer) anyAvailable() bool { return slices.ContainsFunc(b.subset, b.available) }

// updateCapacity sums what the hosts in use can hold, and returns how many of them are warm.
func (b *Balancer) updateCapacity() (warm float64) {
	limits, parts := 0.0, 0.0
	b.capacity = 0
	for _, h := range b.subset {
		if b.available(h) && h.limit > 0 { // 0: new, and not greeted yet
			b.capacity += b.effectiveLimit(h)
			one := math.Floor(b.warmUpFraction(h)) // 1 when warm, else 0
			warm, limits, parts = warm+one, limits+one*h.limit, parts+one*b.relativeWeight(h)
		}
	}
	b.typicalLimit = initialLimit
	if warm > 0 {
		b.typicalLimit = limits / parts
	}
	return warm
}

// candidatesChecked tells whether all hosts probed for a request have answered.
func (b *Balancer) candidatesChecked(r *request) bool {
	return r.candidates != nil && !slices.ContainsFunc(r.candidates, func(h *endpointState) bool { return h.reportReceivedAt < r.checkedAt })
}

// computeMedianErrorRate is the share of errors that is usual among the hosts in use.
func (b *Balancer) computeMedianErrorRate() float64 {
	var bad []float64
	for _, h := range b.subset {
		bad = append(bad, h.errorRate)
	}
	if len(bad) == 0 {
		return 0
	}
	slices.Sort(bad)
	return bad[(len(bad)-1)/2]
}

// meanUtilization is the mean that hosts in use report, of reports that have changed within a time; 0 without any.
func (b *Balancer) meanUtilization(within Span) float64 {
	sum, n := 0.0, 0.0
	for _, h := range b.subset {
		if b.available(h) && h.report.Utilization >= 0 && b.now-h.reportChangedAt < within {
			sum += h.report.Utilization
			n++
		}
	}
	return sum / max(n, 1)
}

// enqueue puts a request among those of its tenant that wait to be placed, in front or at the end.
func (b *Balancer) enqueue(r *request, front bool) {
	t := &b.tenants[r.tenant]
	r.queued = true
	t.queue = append(t.queue, r)
	if front {
		copy(t.queue[1:], t.queue)
		t.queue[0] = r
	}
	b.setQueueTimer(r)
}

// anyQueued tells whether any request is held.
func (b *Balancer) anyQueued() bool {
	for i := range b.tenants {
		if b.tenants[i].hasQueued() {
			return true
		}
	}
	return false
}

// hasQueued tells the same of one tenant, past those that have ended meanwhile.
func (t *tenantState) hasQueued() bool {
	for len(t.queue) > 0 && (t.queue[0].done || !t.queue[0].queued) {
		t.queue = t.queue[1:]
	}
	return len(t.queue) > 0
}

// pollSpread is the time over which the gateways spread their calls to discovery. It answers in turn, and
// works for nothing on what has waited too long: called by all at once, and soon again, it answers nobody.
func (b *Balancer) pollSpread() float64 {
	return float64(b.config.PollInterval) * float64(b.config.PeerCount-1) * pollSpacingFraction
}

func (b *Balancer) averagingTime(slots float64) Span {
	return max(b.controlPeriod, Span(12*float64(b.maxSilence)/max(slots, 1e-3))) // long enough for a few requests
}

// accountAttempt counts an attempt in or out, with what its end brought.
func (b *Balancer) accountAttempt(r *request, h *endpointState, n int, s AttemptResult) {
	b.tenants[r.tenant].slotTime += float64(s.Latency)
	b.recordReport(h, s.Load)
	r.attemptsInFlight += n
	if r.uploading { // it was not counted
		r.uploading = false
	} else {
		b.countInFlight(r, h, n)
	}
}

// countInFlight has an attempt at work, or no longer.
func (b *Balancer) countInFlight(r *request, h *endpointState, n int) {
	h.inFlight.add(b.now, n, b.effectiveLimit(h), b.averagingTime(b.effectiveLimit(h)))
	h.inFlightByTenant[r.tenant] += n
	t := &b.tenants[r.tenant]
	t.inFlight.add(b.now, n, t.slots, b.averagingTime(t.slots))
	b.inFlight.add(b.now, n, b.capacity, b.averagingTime(b.capacity))
}

// random is splitmix64, so that a port draws the same numbers.
func (b *Balancer) random() float64 {
	b.randomState += 0x9e3779b97f4a7c15
	return float64(hash64(b.randomState)>>11) / (1 << 53)
}

func hash64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// maxLogBurst bounds what an instance writes at once; each period lets one more through.
const maxLogBurst = 100

func (b *Balancer) logf(format string, args ...any) {
	if b.logLines < maxLogBurst {
		b.logLines++
		b.commands.Log(fmt.Sprintf(format, args...))
	}
}
