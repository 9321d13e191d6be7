package balancer

// Validation of a configuration, its defaults, and its change while requests are open.

import (
	"errors"
	"fmt"
)

// ErrNoClasses is the error of a configuration without a class of requests.
var ErrNoClasses = errors.New("settings: no classes of request")

// MissingDeadlineError is the error of a configuration in which a class has no deadline.
type MissingDeadlineError struct{ Class int }

// Error names the class by its number.
func (e *MissingDeadlineError) Error() string {
	return fmt.Sprintf("settings: class %d has no deadline", e.Class)
}

// minSlowStartInitial keeps the warm-up fraction away from 0, by which latencies are divided.
const minSlowStartInitial = 0.05

// applyConfig takes a configuration up, with the defaults that api.go and the README state.
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

// setDefaults replaces values that make no sense; without a deadline nothing does.
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

// initClasses starts the latency estimates of each class with a quarter of its objective.
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

// initTenants gives each tenant its quota, or all the same one if the configuration has none.
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

// Reconfigure takes a new configuration up. Open requests keep the rules under which they came: their classes
// and tenants must stay in config under their numbers. classes and tenants give, for each one of config, the
// number of the one whose learned state it continues, or -1; a tenant's requests go with it, so that number
// is its own.
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

func (b *Balancer) continueClasses(previous *Balancer, numbers []int) {
	for i, number := range numbers {
		if number < 0 {
			continue
		}
		learned := previous.classes[number]
		if b.config.Classes[i].Deadline != previous.config.Classes[number].Deadline {
			learned.clientTimeouts = b.classes[i].clientTimeouts // its buckets are parts of the deadline
		}
		b.classes[i] = learned
	}
}

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

// renumberTenants moves the counts of tenants to their new numbers: a number may be another tenant's by now.
func (e *endpointState) renumberTenants(numbers []int, tenants int) {
	inFlight, slots := make([]int, tenants), make([]float64, tenants)
	for i, number := range numbers {
		if number >= 0 {
			inFlight[i], slots[i] = e.inFlightByTenant[number], e.slots[number]
		}
	}
	e.inFlightByTenant, e.slots = inFlight, slots
}

// Config returns the configuration in force, with its defaults.
func (b *Balancer) Config() Config { return b.config }
