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

type host struct {
	Endpoint
	out      meter     // own attempts
	per      []int     // the same by tenant
	slots    []float64 // its row of the slot matrix
	limit    float64   // what it may hold of all gateways together
	cores    float64   // requests that it works on at once, as far as was seen; 0: not told
	slow     float64   // how much longer it takes than is usual
	rank     uint64    // its place in the order of all gateways
	fails    int
	bad      float64 // share of its answers that were errors, of late
	outs     int     // times judged out since it last did well
	outTill  Time
	answered Time    // last sign of life while attempts were out
	tokens   float64 // turns while it is cold: the whole ones are open, the rest is how far the next has come
	tokensAt Time
	report   LoadReport
	reportAt Time // when the report last changed
	heardAt  Time // when the last report came
}

// What a timer's token says beside its request.
const (
	wakeControl = iota
	wakeAsk
	wakeEnd
	wakeHeld
	wakeAsked
	wakeKinds
)

type attempt struct {
	host       *host
	zone, cell int
	sent       Time
	open       bool
	ran        bool // may have run
	foreseen   foresight
}

type request struct {
	id                      RequestID
	class, tenant           int
	key                     uint64  // 0: of no use
	hint                    float64 // its client's guess, as the logarithm of what it is of the usual one
	size                    float64 // its work, as a part of what is usual in its class
	aimAt, halfAt, deadline Time
	tries                   []attempt
	open                    int
	most                    int // attempts that it may have, by the settings that it came under
	held, done, started     bool
	loading                 bool    // its attempt is out, and not at work yet
	drawn                   []*host // for it, and probed
	asked, askTill          Time    // when, and how long it waits for the answers, or before the next draw
}

type tenantState struct {
	share   float64
	held    []*request
	out     meter
	slots   float64
	served  float64 // slot time since the last control
	arrived float64 // requests since then
	demand  float64 // mean share of requests
	want    float64 // U_PR, as a part of all slots above the floor
	used    [2]float64
}

type classState struct {
	base, mean float64
	patience   [20]int // requests by how long the client waits, in steps of the class's deadline
	sum, n     float64 // of this control period
	work       float64 // time that a host takes for it alone, where hosts tell what they hold
	answers    float64 // from which that was learned
	hint       float64 // mean logarithm of the clients' guesses
	hintXX     float64 // squares of their distances from that, and products with those of the work
	hintXY     float64
}

// meter counts what is in flight, and its mean over about a period.
type meter struct {
	n    int
	mean float64
	at   Time
}

func (m *meter) add(now Time, n int, slots float64, period Span) float64 {
	if m.at == 0 { // it begins as if its slots had been used: no gateway starts with time saved up
		m.mean, m.at = slots, now
	}
	m.mean += (float64(m.n) - m.mean) * -math.Expm1(float64(m.at-now)/float64(period))
	m.n, m.at = m.n+n, now
	return m.mean
}

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	act     Commands
	seed    uint64
	born    uint64 // the seed at start
	now     Time
	begun   bool
	hosts   []*host // by rank, in the same order at every gateway
	group   []*host // the subset in use
	byID    map[EndpointID]*host
	reqs    map[RequestID]*request
	tenants []tenantState
	classes []classState
	weights []float64
	turns   []float64 // weights of tenants
	gains   []float64 // weights of classes
	blocked []bool    // tenants of whom nothing can be placed now

	over      bool // overload mode
	out       meter
	mute      bool    // probes do not tell what hosts hold
	askedAt   Time    // the first request's probes since one was answered; 0: none
	probeTook float64 // mean time of a probe
	size      int     // of the subset
	wanted    float64 // sum of U_PR, 1 at least
	busy      float64 // own requests in flight, mean over periods
	sharers   float64 // gateways that use a host
	modeTime  [2]float64
	controlAt Time
	period    Span // T_d
	capacity  float64
	triedAt   Time    // when a request was last sent whose answer was foreseen as late
	work      float64 // mean over classes
	aim       float64
	way       float64         // how long a request is under way from its client, where deadlines tell
	silence   Span            // how long a host may owe an answer
	weight    float64         // mean of the hosts listed
	typical   float64         // mean limit of warm hosts of mean weight
	answers   float64         // from warm hosts since the last control
	usualBad  float64         // median share of errors of the hosts in use
	rate      float64         // answers a warm host gives this gateway, per microsecond
	lease     staleness.Lease // of the list: nothing is sent without it
	watching  bool
	askFails  int
	askAt     Time
	shared    float64 // processes that are this gateway: 2 while another takes its place
	logged    int
}

// New returns a Balancer for one gateway, or an error where the settings leave nothing sound to do.
func New(cfg Config, seed uint64, act Commands) (*Balancer, error) {
	b := &Balancer{act: act, seed: seed, born: seed, byID: map[EndpointID]*host{}, reqs: map[RequestID]*request{}, shared: 1}
	if err := b.settle(cfg); err != nil {
		return nil, err
	}
	return b, nil
}

// settle takes in the settings, with the defaults that api.go and the README state.
func (b *Balancer) settle(cfg Config) error {
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
		b.period = max(b.period, 2*c.LatencyObjective)
		quarter := float64(c.LatencyObjective) / 4
		b.classes = append(b.classes, classState{base: quarter, mean: quarter, work: quarter})
		b.aim += float64(c.LatencyObjective) / float64(len(cfg.Classes))
		b.work = b.aim / 4
	}
	b.silence, b.wanted, b.gains = b.period/2, 1, make([]float64, len(cfg.Classes))
	cfg.MaxAttempts, cfg.PeerIndex = max(cfg.MaxAttempts, 1), max(cfg.PeerIndex, 0)
	cfg.SlowStartInitial = min(max(cfg.SlowStartInitial, 0.05), 1)
	total := 0.0
	for _, t := range cfg.Tenants {
		total += max(t.QuotaFraction, 0)
	}
	b.tenants = make([]tenantState, max(len(cfg.Tenants), 1))
	b.turns, b.blocked = make([]float64, len(b.tenants)), make([]bool, len(b.tenants))
	for i := range b.tenants {
		b.tenants[i].share = 1 / float64(len(b.tenants))
		if total > 0 {
			b.tenants[i].share = max(cfg.Tenants[i].QuotaFraction, 0) / total
		}
		b.tenants[i].demand, b.tenants[i].want = b.tenants[i].share, b.tenants[i].share
	}
	b.cfg = cfg
	return nil
}

// Reconfigure takes up new settings. Requests that are open keep the rules they came under: the classes and tenants they
// belong to must stay in cfg under their numbers. classes and tenants tell, for each of cfg's, the number of the one whose
// learning it goes on with, or -1; a tenant's requests go with it, so that number is its own.
func (b *Balancer) Reconfigure(now Time, cfg Config, classes, tenants []int) error {
	next := &Balancer{}
	if err := next.settle(cfg); err != nil {
		return err
	}
	b.now = now
	for i, old := range classes {
		if old < 0 {
			continue
		}
		c, was := &next.classes[i], b.classes[old]
		if next.cfg.Classes[i].Deadline != b.cfg.Classes[old].Deadline { // its steps are parts of the deadline
			was.patience = c.patience
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
	for _, h := range b.hosts {
		per, slots := make([]int, len(next.tenants)), make([]float64, len(next.tenants))
		for i, old := range tenants { // a number may be another tenant's by now
			if old >= 0 {
				per[i], slots[i] = h.per[old], h.slots[old]
			}
		}
		h.per, h.slots = per, slots
	}
	b.cfg, b.classes, b.tenants, b.period, b.aim = next.cfg, next.classes, next.tenants, next.period, next.aim
	b.turns, b.gains, b.blocked = next.turns, next.gains, next.blocked
	b.control()
	b.release()
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
	m := Learned{Endpoints: map[uint64]LearnedEndpoint{}, MeanInFlight: b.busy, AnswerRate: b.rate, ModeTime: b.modeTime, Overloaded: b.over}
	if b.lease.Bounded() {
		m.ListLeaseLeft = max(b.lease.Until()-b.now, 0)
	}
	for _, h := range b.hosts {
		h.tokens /= 2
		m.Endpoints[cmp.Or(h.StableKey, uint64(h.ID))] = LearnedEndpoint{StartedAt: h.StartedAt, Limit: h.limit, ErrorShare: h.bad, Tokens: h.tokens, ConsecutiveFailures: h.fails,
			Ejections: h.outs, EjectedUntil: h.outTill, TokensAt: h.tokensAt, Backlog: h.report.Backlog, Utilization: h.report.Utilization, Outstanding: h.report.Outstanding}
	}
	for i := range b.classes {
		m.Classes = append(m.Classes, LearnedClass{b.classes[i].base, b.classes[i].mean})
	}
	for i := range b.tenants {
		t := &b.tenants[i]
		m.Tenants = append(m.Tenants, LearnedTenant{t.demand, t.want, t.used})
	}
	return m
}

// ImportState takes up what another process has learned of the hosts that are listed. What makes no sense is left out.
func (b *Balancer) ImportState(now Time, m Learned) {
	b.now = now
	sound := func(v ...float64) bool {
		return !slices.ContainsFunc(v, func(v float64) bool { return !(v >= 0 && v < 1e15) })
	}
	for _, h := range b.hosts {
		o, ok := m.Endpoints[cmp.Or(h.StableKey, uint64(h.ID))]
		if !ok || o.StartedAt != h.StartedAt || !sound(o.Limit, o.ErrorShare) || o.Limit == 0 || o.ErrorShare > 1 || math.IsNaN(o.Tokens) {
			continue
		}
		h.limit, h.bad, h.fails, h.outs = o.Limit, o.ErrorShare, min(max(o.ConsecutiveFailures, 0), ejectAfter), min(max(o.Ejections, 0), 2*ejectMost)
		h.tokens, h.tokensAt = o.Tokens, now
		h.outTill = min(o.EjectedUntil, now+b.period<<ejectMost)
		h.report, h.reportAt, h.heardAt = LoadReport{o.Outstanding, o.Backlog, o.Utilization}, now, 0
		if !sound(o.Backlog, o.Utilization) {
			h.report = LoadReport{-1, -1, -1}
		}
	}
	if len(m.Classes) == len(b.classes) {
		for i, c := range m.Classes {
			if sound(c.BaseLatency, c.MeanLatency) && c.BaseLatency > 0 && c.MeanLatency > 0 {
				b.classes[i].base, b.classes[i].mean = c.BaseLatency, c.MeanLatency
			}
		}
	}
	if len(m.Tenants) == len(b.tenants) {
		for i, t := range m.Tenants {
			if sound(t.Demand, t.QuotaTarget, t.Used[0], t.Used[1]) {
				b.tenants[i].demand, b.tenants[i].want, b.tenants[i].used = t.Demand, t.QuotaTarget, t.Used
			}
		}
	}
	if sound(m.MeanInFlight, m.AnswerRate, m.ModeTime[0], m.ModeTime[1]) {
		b.busy, b.rate, b.modeTime, b.over = m.MeanInFlight, m.AnswerRate, m.ModeTime, m.Overloaded
	}
	if left := m.ListLeaseLeft - handoverWithin; left > 0 && m.ListLeaseLeft <= b.cfg.ListLease {
		b.lease.Record(staleness.Answered, now+left-b.cfg.ListLease)
	}
	b.control()
	b.release()
}

// handoverWithin is how long it may take until what one process has given is with the next.
const handoverWithin Span = 500_000

// SetProcessCount tells how many processes are this gateway: they spend the cold budgets together.
func (b *Balancer) SetProcessCount(processes int) { b.shared = float64(max(processes, 1)) }

// Config returns the settings in force, defaults filled in.
func (b *Balancer) Config() Config { return b.cfg }

// draw picks an index in proportion to the weights, or -1 where all are zero.
func (b *Balancer) draw(weights []float64) int {
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

// drawFor draws by weight: by chance, or by key where hosts work less for one that they have met. Over all
// keys hosts still stand by weight, but a key meets the same ones, at whichever gateway it comes in.
func (b *Balancer) drawFor(key uint64, from []*host) int {
	if key == 0 {
		return b.draw(b.weights[:len(from)])
	}
	first, least := -1, math.Inf(1)
	for i, h := range from { // weighted rendezvous; -ln u is 1-u at least: that spares most logarithms
		u, w := float64(mix(key^h.rank)>>11+1)/(1<<53), b.weights[i]
		if w > 0 && 1-u < least*w {
			if x := -math.Log(u) / w; x < least {
				first, least = i, x
			}
		}
	}
	return first
}

func (b *Balancer) forget(r *request) {
	if r.done && r.open == 0 {
		delete(b.reqs, r.id)
	}
}

// observe keeps a host's report and when it last changed.
func (b *Balancer) observe(h *host, rep *LoadReport) {
	if rep == nil {
		return
	}
	if *rep != h.report {
		h.reportAt = b.now
	}
	h.report, h.heardAt = *rep, b.now
	h.noteCores(rep)
}

func (b *Balancer) mode() int {
	if b.over {
		return 1
	}
	return 0
}

// commonest counts how long clients wait for a try, in a few steps of the whole time that a client has, and
// returns the step of this one and the one seen most, which stays that of first tries even in a jam of repeats.
func (c *classState) commonest(left, whole Span) (at, usual int) {
	n := Span(len(c.patience))
	at = int(max(0, min(left*n/whole, n-1)))
	c.patience[at]++
	for i, seen := range c.patience {
		if seen > c.patience[usual] {
			usual = i
		}
	}
	return at, usual
}

// mayHaveRun is the first of these attempts that may have executed, or is still out.
func mayHaveRun(tries []attempt) *safety.PriorAttempt {
	for i := range tries {
		if a := &tries[i]; a.open || a.ran {
			return &safety.PriorAttempt{SentAt: a.sent, Zone: a.zone, Cell: a.cell}
		}
	}
	return nil
}

// HandleResponseStart is the start of a streamed answer: from here on no deadline counts.
func (b *Balancer) HandleResponseStart(now Time, id RequestID) {
	b.now = now
	if r := b.reqs[id]; r != nil {
		r.started = true
	}
}

// HandleUpload tells that a request's one attempt has begun to go out while the request is still coming in, and later that all
// of it has gone: in between its host has no work with it, and no deadline counts. It can't be sent again, and how long its
// answer may take is the gateway's to say.
func (b *Balancer) HandleUpload(now Time, id RequestID, on bool) {
	b.now = now
	r := b.reqs[id]
	if r == nil || r.open == 0 || r.loading == on {
		return
	}
	r.started, r.loading = true, on
	h, n := r.tries[len(r.tries)-1].host, 1
	if on {
		n = -1
	} else if h.out.n == 0 { // from here on it owes an answer
		h.answered = now
	}
	b.count(r, h, n)
	b.release()
}

// HandlePeerMessage is a message of another gateway. None is sent, so none is heeded.
func (b *Balancer) HandlePeerMessage(now Time, from int, data []byte) { b.now = now }

// merge applies a list to the hosts known and returns those that are new processes. A host that a whole list
// leaves off is gone; its record stays until its last attempt has ended.
func (b *Balancer) merge(kind ListKind, list []Endpoint) (fresh []*host) {
	named := map[EndpointID]bool{}
	for _, e := range list {
		named[e.ID] = true
		h := b.byID[e.ID]
		if h == nil {
			if e.Phase == PhaseRemoved {
				continue
			}
			h = &host{per: make([]int, len(b.tenants)), slots: make([]float64, len(b.tenants))}
			h.StartedAt = -1
			b.byID[e.ID] = h
			b.hosts = append(b.hosts, h)
		}
		if e.StartedAt != h.StartedAt {
			h.report, h.reportAt = LoadReport{-1, -1, -1}, 0
			fresh = append(fresh, h)
		}
		h.Endpoint = e
	}
	kept := b.hosts[:0]
	for _, h := range b.hosts {
		if kind != ListDelta && !named[h.ID] {
			h.Phase = PhaseRemoved
		}
		if h.Phase == PhaseRemoved && h.out.n == 0 {
			delete(b.byID, h.ID)
			continue
		}
		kept = append(kept, h)
	}
	b.hosts = kept
	b.weights = make([]float64, len(kept))
	b.weight = 0
	for _, h := range kept {
		b.weight += max(h.Weight, 0)
	}
	b.weight /= float64(max(len(kept), 1))
	return fresh
}

// warmth is the least part of its capacity that a host has by now.
func (b *Balancer) warmth(h *host) float64 {
	age := b.now - h.StartedAt
	if h.StartedAt <= 0 || b.cfg.SlowStartDuration <= 0 || age >= b.cfg.SlowStartDuration {
		return 1
	}
	return b.cfg.SlowStartInitial + (1-b.cfg.SlowStartInitial)*float64(max(age, 0))/float64(b.cfg.SlowStartDuration)
}

// coldRate is how many attempts in a microsecond a cold host may have of this process.
func (b *Balancer) coldRate(h *host, warmth float64) float64 {
	return max(b.rate, 2/float64(b.period)/b.sharers) * warmth * b.cfg.OverloadFactor * coldPart * min(b.part(h), 1) / b.shared
}

// phase is how far this gateway's next turn at a cold host has come as it first hears of it. The turns of all are one schedule on the clock
// that all machines read: each start of a host begins it at a point of its own, and gateways stand evenly on it, by a step that has
// nothing in common with the one that chose their subsets. One that starts anew has no turn more than it would have had.
func (b *Balancer) phase(h *host) float64 {
	start := float64(mix(h.rank^mix(uint64(h.StartedAt)))>>11) / (1 << 53)
	return math.Mod(start+float64(b.cfg.PeerIndex)*math.Sqrt2+b.coldRate(h, b.warmth(h))*float64(max(b.now-h.StartedAt, 0)), 1)
}

// part is a host's nominal capacity, where the mean of all hosts is 1. It is held within bounds: one senseless weight
// in a list must not take the room of all other hosts.
func (b *Balancer) part(h *host) float64 {
	if h.Weight <= 0 || b.weight <= 0 {
		return 1
	}
	return min(max(h.Weight/b.weight, 0.25), 4)
}

// limitOf is what a host may hold of this gateway's by now. A cold one has all its cores, but they are slow: room in
// line with its warmth leaves most of them idle, and room for all that keeps them busy may make answers late.
func (b *Balancer) limitOf(h *host) float64 { return h.limit / b.sharers * math.Sqrt(b.warmth(h)) }

// sums are the requests and the slot time of all tenants since the last control.
func (b *Balancer) sums() (arrived, served float64) {
	for i := range b.tenants {
		arrived += b.tenants[i].arrived
		served += b.tenants[i].served
	}
	return arrived, served
}

// within sums the shares of those tenants that lately asked for no more than theirs.
func (b *Balancer) within() (sum float64) {
	for i := range b.tenants {
		if t := &b.tenants[i]; t.demand <= t.share {
			sum += t.share
		}
	}
	return sum
}

// ready lists the hosts that may be sent to, by rank.
func (b *Balancer) ready() []*host {
	return slices.DeleteFunc(slices.Clone(b.hosts), func(h *host) bool { return h.Phase != PhaseReady })
}

// sort puts hosts in the order of all gateways.
func (b *Balancer) sort() {
	slices.SortFunc(b.hosts, func(x, y *host) int { return cmp.Compare(x.rank, y.rank) })
}

func (b *Balancer) anyFit() bool { return slices.ContainsFunc(b.group, b.fit) }

// tally sums what the hosts in use can hold, and returns how many of them are warm.
func (b *Balancer) tally() (warm float64) {
	limits, parts := 0.0, 0.0
	b.capacity = 0
	for _, h := range b.group {
		if b.fit(h) && h.limit > 0 { // 0: new, and not greeted yet
			b.capacity += b.limitOf(h)
			one := math.Floor(b.warmth(h)) // 1 when warm, else 0
			warm, limits, parts = warm+one, limits+one*h.limit, parts+one*b.part(h)
		}
	}
	b.typical = limitFirst
	if warm > 0 {
		b.typical = limits / parts
	}
	return warm
}

// heard tells whether all hosts probed for a request have answered.
func (b *Balancer) heard(r *request) bool {
	return r.drawn != nil && !slices.ContainsFunc(r.drawn, func(h *host) bool { return h.heardAt < r.asked })
}

// medianBad is the share of errors that is usual among the hosts in use.
func (b *Balancer) medianBad() float64 {
	var bad []float64
	for _, h := range b.group {
		bad = append(bad, h.bad)
	}
	if len(bad) == 0 {
		return 0
	}
	slices.Sort(bad)
	return bad[(len(bad)-1)/2]
}

// utilization is the mean that hosts in use report, of reports that have changed within a time; 0 without any.
func (b *Balancer) utilization(within Span) float64 {
	sum, n := 0.0, 0.0
	for _, h := range b.group {
		if b.fit(h) && h.report.Utilization >= 0 && b.now-h.reportAt < within {
			sum += h.report.Utilization
			n++
		}
	}
	return sum / max(n, 1)
}

// hold puts a request among those of its tenant that wait to be placed, in front or at the end.
func (b *Balancer) hold(r *request, front bool) {
	t := &b.tenants[r.tenant]
	r.held = true
	t.held = append(t.held, r)
	if front {
		copy(t.held[1:], t.held)
		t.held[0] = r
	}
	b.await(r)
}

// holding tells whether any request is held.
func (b *Balancer) holding() bool {
	for i := range b.tenants {
		if b.tenants[i].waiting() {
			return true
		}
	}
	return false
}

// waiting tells the same of one tenant, past those that have ended meanwhile.
func (t *tenantState) waiting() bool {
	for len(t.held) > 0 && (t.held[0].done || !t.held[0].held) {
		t.held = t.held[1:]
	}
	return len(t.held) > 0
}

// askSpread is the time over which the gateways spread their calls to discovery. It answers in turn, and
// works for nothing on what has waited too long: called by all at once, and soon again, it answers nobody.
func (b *Balancer) askSpread() float64 {
	return float64(b.cfg.PollInterval) * float64(b.cfg.PeerCount-1) * askEach
}

func (b *Balancer) horizon(slots float64) Span {
	return max(b.period, Span(12*float64(b.silence)/max(slots, 1e-3))) // long enough for a few requests
}

// book counts an attempt in or out, with what its end brought.
func (b *Balancer) book(r *request, h *host, n int, s AttemptResult) {
	b.tenants[r.tenant].served += float64(s.Latency)
	b.observe(h, s.Load)
	r.open += n
	if r.loading { // it was not counted
		r.loading = false
	} else {
		b.count(r, h, n)
	}
}

// count has an attempt at work, or no longer.
func (b *Balancer) count(r *request, h *host, n int) {
	h.out.add(b.now, n, b.limitOf(h), b.horizon(b.limitOf(h)))
	h.per[r.tenant] += n
	t := &b.tenants[r.tenant]
	t.out.add(b.now, n, t.slots, b.horizon(t.slots))
	b.out.add(b.now, n, b.capacity, b.horizon(b.capacity))
}

// random is splitmix64, so that a port draws the same numbers.
func (b *Balancer) random() float64 {
	b.seed += 0x9e3779b97f4a7c15
	return float64(mix(b.seed)>>11) / (1 << 53)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// logLines bounds what an instance writes at once; each period lets one more through.
const logLines = 100

func (b *Balancer) log(format string, args ...any) {
	if b.logged < logLines {
		b.logged++
		b.act.Log(fmt.Sprintf(format, args...))
	}
}
