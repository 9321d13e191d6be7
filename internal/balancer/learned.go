package balancer

// The learned state, which a process exports for its successor in a hot restart.

import (
	"math"

	"tulipglade/internal/staleness"
)

// maxHandoffDuration is the longest time that the learned state may take from a process to its successor. The
// lease on the endpoint list is shortened by this time.
const maxHandoffDuration Span = 500_000

// maxLearnedValue is the upper bound of the numbers that are accepted from another process.
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
	// ListLeaseRemaining is the remaining duration of the lease on the endpoint list, or 0 without a lease.
	ListLeaseRemaining Span `json:"ListLeft"`
}

// LearnedEndpoint is the learned state of an endpoint. It is valid only for the process of the endpoint that
// was started at StartedAt.
type LearnedEndpoint struct {
	StartedAt           Time    `json:"Started"`
	Limit               float64 `json:"Limit"`
	ErrorRate           float64 `json:"Bad"`
	SlowStartTokens     float64 `json:"Tokens"`
	ConsecutiveFailures int     `json:"Fails"`
	Ejections           int     `json:"Outs"`
	EjectedUntil        Time    `json:"OutTill"`
	SlowStartUpdatedAt  Time    `json:"TokensAt"`
	Backlog             float64 `json:"Queue"` // of the last load report, like the next two fields
	Utilization         float64 `json:"Util"`
	Outstanding         float64 `json:"Holding"`
}

// LearnedClass is the learned state of a class.
type LearnedClass struct {
	BaselineLatency float64 `json:"Base"`
	MeanLatency     float64 `json:"Mean"`
}

// LearnedTenant is the learned state of a tenant.
type LearnedTenant struct {
	Demand         float64    `json:"Demand"`
	PredictedQuota float64    `json:"Want"`
	Utilization    [2]float64 `json:"Used"`
}

// ExportState returns the learned state, for a successor. It includes half of the remaining slow-start
// tokens; this process keeps the other half.
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

// exportState returns the learned state of one endpoint.
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

// ImportState adopts the learned state of another process of the node. It ignores endpoints that are not
// listed or were started at another time, and values that are invalid.
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

// importEndpoint adopts the learned state of one endpoint, and limits its failures and its ejection to values
// that this process could have reached.
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

// importClasses adopts the learned latencies if both processes have the same number of classes.
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

// importTenants adopts the learned quotas if both processes have the same number of tenants.
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

// importListLease continues the lease on the endpoint list. It shortens the remaining duration by the time
// that the handoff may have taken, and ignores one that is longer than a whole lease.
func (b *Balancer) importListLease(left Span) {
	remaining := left - maxHandoffDuration
	if remaining > 0 && left <= b.config.ListLease {
		b.listLease.Record(b.now, staleness.Answered, b.now+remaining-b.config.ListLease)
	}
}

// validNumbers reports whether the limit, the error rate and the tokens are values that an endpoint can have.
func (e *LearnedEndpoint) validNumbers() bool {
	return validNumbers(e.Limit, e.ErrorRate) && e.Limit != 0 && e.ErrorRate <= 1 &&
		!math.IsNaN(e.SlowStartTokens)
}

// validNumbers reports whether all values are finite, not negative and below maxLearnedValue.
func validNumbers(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0 && value < maxLearnedValue) {
			return false
		}
	}
	return true
}
