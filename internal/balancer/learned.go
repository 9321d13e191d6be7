package balancer

// The learned state, which a process passes on to the next one of its node in a hot restart.

import (
	"math"

	"tulipglade/internal/staleness"
)

// maxHandoffDuration is how long the learned state may take from one process to the next. The lease on the
// endpoint list is shortened by it.
const maxHandoffDuration Span = 500_000

// maxLearnedValue bounds what is taken for a sound number.
const maxLearnedValue = 1e15

// LearnedState is the learned state of a node, which a process exports for its successor. Endpoints are keyed
// by their StableKey; classes and tenants are in the order of the configuration, which both processes share.
type LearnedState struct {
	Endpoints    map[uint64]LearnedEndpoint `json:"Hosts"`
	Classes      []LearnedClass             `json:"Classes"`
	Tenants      []LearnedTenant            `json:"Tenants"`
	MeanInFlight float64                    `json:"Busy"`
	AnswerRate   float64                    `json:"Rate"`
	ModeTime     [2]float64                 `json:"ModeTime"`
	Overloaded   bool                       `json:"Over"`
	// ListLeaseRemaining is how long requests may still be sent by the endpoint list.
	ListLeaseRemaining Span `json:"ListLeft"`
}

// LearnedEndpoint is what was learned of the endpoint's process that was started at StartedAt.
type LearnedEndpoint struct {
	StartedAt           Time    `json:"Started"`
	Limit               float64 `json:"Limit"`
	ErrorRate           float64 `json:"Bad"`
	SlowStartTokens     float64 `json:"Tokens"`
	ConsecutiveFailures int     `json:"Fails"`
	Ejections           int     `json:"Outs"`
	EjectedUntil        Time    `json:"OutTill"`
	SlowStartUpdatedAt  Time    `json:"TokensAt"`
	Backlog             float64 `json:"Queue"` // by its last report, as the next two
	Utilization         float64 `json:"Util"`
	Outstanding         float64 `json:"Holding"`
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	BaselineLatency float64 `json:"Base"`
	MeanLatency     float64 `json:"Mean"`
}

// LearnedTenant is what was learned of a tenant.
type LearnedTenant struct {
	Demand         float64    `json:"Demand"`
	PredictedQuota float64    `json:"Want"`
	Utilization    [2]float64 `json:"Used"`
}

// ExportState returns what was learned. Half of the slow-start tokens that are left go with it.
func (b *Balancer) ExportState(now Time) LearnedState {
	b.now = now
	learned := LearnedState{
		Endpoints:    map[uint64]LearnedEndpoint{},
		MeanInFlight: b.meanInFlight,
		AnswerRate:   b.answerRate,
		ModeTime:     b.modeTime,
		Overloaded:   b.overloadMode,
	}
	if b.listLease.CanExpire() {
		learned.ListLeaseRemaining = max(b.listLease.ExpiresAt(b.now)-b.now, 0)
	}
	for _, endpoint := range b.endpoints {
		endpoint.slowStart.count /= 2
		learned.Endpoints[endpoint.stableKey()] = endpoint.exportState()
	}
	for i := range b.classes {
		latency := &b.classes[i].latency
		learned.Classes = append(learned.Classes, LearnedClass{latency.baseline, latency.mean})
	}
	for i := range b.tenants {
		quota := &b.tenants[i].quota
		learned.Tenants = append(learned.Tenants, LearnedTenant{
			Demand:         quota.demand,
			PredictedQuota: quota.predicted,
			Utilization:    quota.utilization,
		})
	}
	return learned
}

func (e *endpointState) exportState() LearnedEndpoint {
	return LearnedEndpoint{
		StartedAt:           e.StartedAt,
		Limit:               e.limit,
		ErrorRate:           e.outlier.errorRate,
		SlowStartTokens:     e.slowStart.count,
		ConsecutiveFailures: e.outlier.consecutiveFailures,
		Ejections:           e.outlier.ejections,
		EjectedUntil:        e.outlier.ejectedUntil,
		SlowStartUpdatedAt:  e.slowStart.updatedAt,
		Backlog:             e.reported.Backlog,
		Utilization:         e.reported.Utilization,
		Outstanding:         e.reported.Outstanding,
	}
}

// ImportState takes up what another process has learned of the listed endpoints. Values that make no sense
// are left out.
func (b *Balancer) ImportState(now Time, learned LearnedState) {
	b.now = now
	for _, endpoint := range b.endpoints {
		state, ok := learned.Endpoints[endpoint.stableKey()]
		if ok && state.StartedAt == endpoint.StartedAt && state.validNumbers() {
			b.importEndpoint(endpoint, state)
		}
	}
	b.importClasses(learned.Classes)
	b.importTenants(learned.Tenants)
	if validNumbers(learned.MeanInFlight, learned.AnswerRate, learned.ModeTime[0], learned.ModeTime[1]) {
		b.meanInFlight, b.answerRate = learned.MeanInFlight, learned.AnswerRate
		b.modeTime, b.overloadMode = learned.ModeTime, learned.Overloaded
	}
	b.importListLease(learned.ListLeaseRemaining)
	b.runControl()
	b.dispatch()
}

func (b *Balancer) importEndpoint(endpoint *endpointState, state LearnedEndpoint) {
	endpoint.limit = state.Limit
	endpoint.outlier = outlierState{
		consecutiveFailures: min(max(state.ConsecutiveFailures, 0), ejectionFailures),
		errorRate:           state.ErrorRate,
		ejections:           min(max(state.Ejections, 0), 2*maxBackoffExponent),
		ejectedUntil:        min(state.EjectedUntil, b.now+b.controlPeriod<<maxBackoffExponent),
	}
	endpoint.slowStart = slowStartTokens{count: state.SlowStartTokens, updatedAt: b.now}
	endpoint.reported = reportedLoad{LoadReport: unknownLoad, changedAt: b.now}
	if validNumbers(state.Backlog, state.Utilization) {
		endpoint.reported.LoadReport = LoadReport{state.Outstanding, state.Backlog, state.Utilization}
	}
}

func (b *Balancer) importClasses(classes []LearnedClass) {
	if len(classes) != len(b.classes) {
		return
	}
	for i, class := range classes {
		positive := class.BaselineLatency > 0 && class.MeanLatency > 0
		if positive && validNumbers(class.BaselineLatency, class.MeanLatency) {
			latency := &b.classes[i].latency
			latency.baseline, latency.mean = class.BaselineLatency, class.MeanLatency
		}
	}
}

func (b *Balancer) importTenants(tenants []LearnedTenant) {
	if len(tenants) != len(b.tenants) {
		return
	}
	for i, tenant := range tenants {
		if validNumbers(tenant.Demand, tenant.PredictedQuota, tenant.Utilization[0], tenant.Utilization[1]) {
			quota := &b.tenants[i].quota
			quota.demand, quota.predicted = tenant.Demand, tenant.PredictedQuota
			quota.utilization = tenant.Utilization
		}
	}
}

// importListLease continues the lease on the endpoint list, less the time that the handoff may have taken.
func (b *Balancer) importListLease(left Span) {
	remaining := left - maxHandoffDuration
	if remaining > 0 && left <= b.config.ListLease {
		b.listLease.Record(b.now, staleness.Answered, b.now+remaining-b.config.ListLease)
	}
}

// validNumbers tells whether the state has values that an endpoint can have.
func (e *LearnedEndpoint) validNumbers() bool {
	return validNumbers(e.Limit, e.ErrorRate) && e.Limit != 0 && e.ErrorRate <= 1 &&
		!math.IsNaN(e.SlowStartTokens)
}

// validNumbers tells whether all values are finite and not negative.
func validNumbers(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0 && value < maxLearnedValue) {
			return false
		}
	}
	return true
}
