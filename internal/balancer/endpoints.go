package balancer

// The endpoint list: the state of each endpoint, and how a new list updates it.

import (
	"cmp"
	"slices"
)

// The nominal capacity of an endpoint, relative to the mean of all, is limited to this range, so that one
// wrong weight in a list does not take away the capacity of all other endpoints.
const (
	minRelativeWeight = 0.25
	maxRelativeWeight = 4
)

// startUnknown is the start time of an endpoint that has just been added. It differs from the start time of
// any entry, so that the endpoint is initialized as a new process.
const startUnknown Time = -1

// endpointState is the state of an endpoint: its entry in the list, and what this node has learned about it.
type endpointState struct {
	Endpoint
	rank uint64 // sort key that is the same at every node

	inFlight         inFlightMeter // attempts of this node in flight
	inFlightByTenant []int
	slots            []float64 // the endpoint's row of the paper's slot matrix, by tenant

	limit        float64      // concurrency limit: requests of all nodes together
	cores        float64      // most requests seen in work at the same time; 0: not reported
	slowness     float64      // its latency relative to the usual one
	reported     reportedLoad // its last load report
	lastAnswerAt Time         // last answer, or when the wait for one began
	outlier      outlierState
	slowStart    slowStartTokens
}

// HandleEndpoints handles an endpoint list that is current as of now, or a failed call for one.
func (b *Balancer) HandleEndpoints(now Time, kind ListKind, list []Endpoint) {
	b.HandleEndpointsAsOf(now, now, kind, list)
}

// HandleEndpointsAsOf handles an endpoint list, or a failed call for one. asOf is the time at which the list
// was known to be current, or at which no newer list could be fetched.
func (b *Balancer) HandleEndpointsAsOf(now, asOf Time, kind ListKind, list []Endpoint) {
	b.now = now
	if !b.started {
		b.startFromFirstList(len(list))
	}
	b.recordListEvidence(kind, asOf)
	switch kind {
	case ListFailed, ListTimeout, ListOverloaded, ListInvalid:
		b.schedulePollAfterFailure(kind)
		b.dispatch() // the failure may be evidence that the list is current
		return
	case ListDelta, ListFull:
		b.poll.watching, b.poll.failures = true, 0
	}
	b.applyList(kind, list)
}

// applyList updates the endpoints, the subset, the limits and the slots by a new list.
func (b *Balancer) applyList(kind ListKind, list []Endpoint) {
	newProcesses := b.mergeEndpoints(kind, list)
	b.updateSubset()
	for _, endpoint := range newProcesses {
		b.initEndpoint(endpoint)
	}
	b.sortEndpoints()
	b.runControl()
	b.dispatch()
}

// initEndpoint initializes the learned state of a new process, which is assumed to be like the others.
func (b *Balancer) initEndpoint(endpoint *endpointState) {
	endpoint.limit = b.typicalLimit * b.relativeWeight(endpoint)
	endpoint.outlier = outlierState{}
	endpoint.slowness, endpoint.cores = 1, 0
	endpoint.rank = hash64(endpoint.stableKey())
	endpoint.slowStart = slowStartTokens{count: b.initialSlowStartTokens(endpoint), updatedAt: b.now}
	endpoint.lastAnswerAt = b.now
}

// stableKey returns a key that is the same at every node and in every process of a node.
func (e *endpointState) stableKey() uint64 { return cmp.Or(e.StableKey, uint64(e.ID)) }

// mergeEndpoints merges a list into the known endpoints and returns those that are new processes: endpoints
// that were added, or whose start time has changed.
func (b *Balancer) mergeEndpoints(kind ListKind, list []Endpoint) (newProcesses []*endpointState) {
	listed := map[EndpointID]bool{}
	for _, entry := range list {
		listed[entry.ID] = true
		endpoint := b.endpointsByID[entry.ID]
		if endpoint == nil {
			if entry.Phase == PhaseRemoved {
				continue
			}
			endpoint = b.addEndpoint(entry.ID)
		}
		if entry.StartedAt != endpoint.StartedAt {
			endpoint.reported.LoadReport, endpoint.reported.changedAt = unknownLoad, 0
			newProcesses = append(newProcesses, endpoint)
		}
		endpoint.Endpoint = entry
	}
	if kind != ListDelta {
		for _, endpoint := range b.endpoints {
			if !listed[endpoint.ID] {
				endpoint.Phase = PhaseRemoved
			}
		}
	}
	b.dropRemoved()
	b.updateMeanWeight()
	return newProcesses
}

func (b *Balancer) addEndpoint(id EndpointID) *endpointState {
	endpoint := &endpointState{
		inFlightByTenant: make([]int, len(b.tenants)),
		slots:            make([]float64, len(b.tenants)),
	}
	endpoint.StartedAt = startUnknown
	b.endpointsByID[id] = endpoint
	b.endpoints = append(b.endpoints, endpoint)
	return endpoint
}

// dropRemoved deletes the removed endpoints that have no more attempts in flight.
func (b *Balancer) dropRemoved() {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(endpoint *endpointState) bool {
		drop := endpoint.Phase == PhaseRemoved && endpoint.inFlight.count == 0
		if drop {
			delete(b.endpointsByID, endpoint.ID)
		}
		return drop
	})
	b.endpointWeights = make([]float64, len(b.endpoints))
}

func (b *Balancer) updateMeanWeight() {
	b.meanWeight = 0
	for _, endpoint := range b.endpoints {
		b.meanWeight += max(endpoint.Weight, 0)
	}
	b.meanWeight /= float64(max(len(b.endpoints), 1))
}

// relativeWeight returns an endpoint's nominal capacity relative to the mean of all, which is 1.
func (b *Balancer) relativeWeight(endpoint *endpointState) float64 {
	if endpoint.Weight <= 0 || b.meanWeight <= 0 {
		return 1
	}
	return min(max(endpoint.Weight/b.meanWeight, minRelativeWeight), maxRelativeWeight)
}

// readyEndpoints returns the endpoints in phase PhaseReady, sorted by rank.
func (b *Balancer) readyEndpoints() []*endpointState {
	notReady := func(endpoint *endpointState) bool { return endpoint.Phase != PhaseReady }
	return slices.DeleteFunc(slices.Clone(b.endpoints), notReady)
}

// sortEndpoints sorts the endpoints by rank, which gives the same order at every node.
func (b *Balancer) sortEndpoints() {
	slices.SortFunc(b.endpoints, func(x, y *endpointState) int { return cmp.Compare(x.rank, y.rank) })
}
