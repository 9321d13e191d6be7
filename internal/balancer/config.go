package balancer

// Validation of a configuration, its default values, and reconfiguration while requests are open.

import (
	"errors"
	"fmt"
)

// ErrNoClasses is returned for a configuration that has no request classes.
var ErrNoClasses = errors.New("settings: classes: at least one request class is required")

// MissingDeadlineError is returned for a configuration with a class whose deadline is not above 0.
type MissingDeadlineError struct{ Class int }

// Error returns a message that names the class by its index in the configuration.
func (e *MissingDeadlineError) Error() string {
	return fmt.Sprintf("settings: class %d has no deadline: it must be above 0", e.Class)
}

// minSlowStartInitial keeps the warm-up fraction above 0, as latencies are divided by it.
const minSlowStartInitial = 0.05

// applyConfig validates a configuration, replaces missing values with the defaults that api.go and the README
// state, and initializes the classes and tenants.
func (b *Balancer) applyConfig(config Config) error {
	if len(config.Classes) == 0 {
		return ErrNoClasses
	}
	config.Classes = append([]Class(nil), config.Classes...)
	for i := range config.Classes {
		if err := config.Classes[i].setDefaults(i); err != nil {
			return err
		}
	}
	config.MaxAttempts = max(config.MaxAttempts, 1)
	config.PeerIndex = max(config.PeerIndex, 0)
	config.SlowStartInitial = min(max(config.SlowStartInitial, minSlowStartInitial), 1)
	b.config = config
	b.initClasses(config.Classes)
	b.initTenants(config.Tenants)
	return nil
}

// setDefaults replaces invalid values with defaults. It returns an error if the deadline is missing, for
// which there is no default.
func (c *Class) setDefaults(number int) error {
	if c.Deadline <= 0 {
		return &MissingDeadlineError{Class: number}
	}
	if !(c.PriorityWeight > 0) {
		c.PriorityWeight = 1
	}
	if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
		c.LatencyObjective = c.Deadline
	}
	return nil
}

// initClasses initializes the latency estimates of each class to a quarter of its latency objective.
func (b *Balancer) initClasses(classes []Class) {
	for i := range classes {
		objective := classes[i].LatencyObjective
		quarter := float64(objective) / 4
		b.controlPeriod = max(b.controlPeriod, 2*objective)
		b.classes = append(b.classes, classState{
			latency: classLatency{baseline: quarter, mean: quarter},
			work:    workEstimate{mean: quarter},
		})
		b.meanObjective += float64(objective) / float64(len(classes))
		b.meanWork = b.meanObjective / 4
	}
	b.maxSilence = b.controlPeriod / 2
	b.classWeights = make([]float64, len(classes))
}

// initTenants assigns each tenant its quota as a fraction of the sum of all quotas. If the configuration has
// no quotas, all tenants have the same one.
func (b *Balancer) initTenants(tenants []Tenant) {
	total := 0.0
	for _, tenant := range tenants {
		total += max(tenant.QuotaFraction, 0)
	}
	b.predictedTotal = 1
	b.tenants = make([]tenantState, max(len(tenants), 1))
	b.tenantWeights = make([]float64, len(b.tenants))
	b.blockedTenants = make([]bool, len(b.tenants))
	for i := range b.tenants {
		fraction := 1 / float64(len(b.tenants))
		if total > 0 {
			fraction = max(tenants[i].QuotaFraction, 0) / total
		}
		b.tenants[i].quota = tenantQuota{fraction: fraction, demand: fraction, predicted: fraction}
	}
}

// Reconfigure replaces the configuration. Open requests keep the rules under which they arrived, so config
// must contain their classes and tenants under the same indexes. For each class and tenant of config, the
// arguments classes and tenants contain the index of the previous one whose learned state it continues, or -1
// if it starts without any. A tenant keeps its queued requests, which refer to it by index, so a tenant that
// continues must keep its own index.
func (b *Balancer) Reconfigure(now Time, config Config, classes, tenants []int) error {
	next := &Balancer{}
	if err := next.applyConfig(config); err != nil {
		return err
	}
	b.now = now
	next.continueClasses(b, classes)
	next.continueTenants(b, tenants)
	for _, endpoint := range b.endpoints {
		endpoint.renumberTenants(tenants, len(next.tenants))
	}
	b.config = next.config
	b.classes, b.classWeights = next.classes, next.classWeights
	b.tenants, b.tenantWeights, b.blockedTenants = next.tenants, next.tenantWeights, next.blockedTenants
	b.controlPeriod, b.meanObjective = next.controlPeriod, next.meanObjective
	b.runControl()
	b.dispatch()
	return nil
}

// continueClasses copies the learned state of the classes that continue one of the previous Balancer.
func (b *Balancer) continueClasses(previous *Balancer, numbers []int) {
	for i, number := range numbers {
		if number < 0 {
			continue
		}
		learned := previous.classes[number]
		if b.config.Classes[i].Deadline != previous.config.Classes[number].Deadline {
			// Its buckets are fractions of the deadline, which has changed.
			learned.clientTimeouts = b.classes[i].clientTimeouts
		}
		b.classes[i] = learned
	}
}

// continueTenants copies the state of the tenants that continue one of the previous Balancer, except for
// their quotas, which the new configuration sets.
func (b *Balancer) continueTenants(previous *Balancer, numbers []int) {
	for i, number := range numbers {
		if number < 0 {
			continue
		}
		fraction := b.tenants[i].quota.fraction
		b.tenants[i] = previous.tenants[number]
		b.tenants[i].quota.fraction = fraction
	}
}

// renumberTenants moves the counts of tenants to their new indexes, as an index may now belong to another
// tenant.
func (e *endpointState) renumberTenants(numbers []int, tenants int) {
	inFlight, slots := make([]int, tenants), make([]float64, tenants)
	for i, number := range numbers {
		if number >= 0 {
			inFlight[i], slots[i] = e.inFlightByTenant[number], e.slots[number]
		}
	}
	e.inFlightByTenant, e.slots = inFlight, slots
}

// Config returns the current configuration, including default values.
func (b *Balancer) Config() Config { return b.config }
