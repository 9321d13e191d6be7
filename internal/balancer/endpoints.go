package balancer

// The endpoint list: what is known of each endpoint, and how a new list changes it.

import (
	"cmp"
	"slices"
)

// The nominal capacity of an endpoint beside the mean of all is kept within these bounds: one senseless
// weight in a list must not take the capacity of all other endpoints.
const (
	minRelativeWeight = 0.25
	maxRelativeWeight = 4
)

// startUnknown is the start time of an endpoint that has just been added: it differs from that of any entry.
const startUnknown Time = -1

// endpointState is what is known of an endpoint.
type endpointState struct {
	Endpoint
	rank uint64 // its place in the order that all nodes share

	inFlight         inFlightMeter // attempts of this node
	inFlightByTenant []int
	slots            []float64 // its row of the paper's slot matrix, by tenant

	limit        float64 // requests that it may hold of all nodes together
	cores        float64 // requests that it works on at once, as far as was seen; 0: not reported
	slowness     float64 // the time it takes as a multiple of what is usual
	reported     reportedLoad
	lastAnswerAt Time // the last sign of life while attempts were in flight
	outlier      outlierState
	slowStart    slowStartTokens
}

// HandleEndpoints takes an endpoint list that is current as of now, or a call for one that has failed.
func (b *Balancer) HandleEndpoints(now Time, kind ListKind, list []Endpoint) {
	b.HandleEndpointsAsOf(now, now, kind, list)
}

// HandleEndpointsAsOf takes an endpoint list, or a call for one that has failed. At asOf the list was
// current, or nothing newer could be had.
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

// initEndpoint sets up what is thought of a new process: that it is like the others.
func (b *Balancer) initEndpoint(endpoint *endpointState) {
	endpoint.limit = b.typicalLimit * b.relativeWeight(endpoint)
	endpoint.outlier = outlierState{}
	endpoint.slowness, endpoint.cores = 1, 0
	endpoint.rank = hash64(endpoint.stableKey())
	endpoint.slowStart = slowStartTokens{count: b.initialSlowStartTokens(endpoint), updatedAt: b.now}
	endpoint.lastAnswerAt = b.now
}

// stableKey is the same at every node and in every process of a node.
func (e *endpointState) stableKey() uint64 { return cmp.Or(e.StableKey, uint64(e.ID)) }

// mergeEndpoints applies a list and returns the endpoints that are new processes.
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

// dropRemoved forgets removed endpoints, each after its last attempt has ended.
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

// relativeWeight is an endpoint's nominal capacity, where the mean of all is 1.
func (b *Balancer) relativeWeight(endpoint *endpointState) float64 {
	if endpoint.Weight <= 0 || b.meanWeight <= 0 {
		return 1
	}
	return min(max(endpoint.Weight/b.meanWeight, minRelativeWeight), maxRelativeWeight)
}

// readyEndpoints returns the endpoints that may be sent to, by rank.
func (b *Balancer) readyEndpoints() []*endpointState {
	notReady := func(endpoint *endpointState) bool { return endpoint.Phase != PhaseReady }
	return slices.DeleteFunc(slices.Clone(b.endpoints), notReady)
}

// sortEndpoints puts the endpoints into the order that all nodes share.
func (b *Balancer) sortEndpoints() {
	slices.SortFunc(b.endpoints, func(x, y *endpointState) int { return cmp.Compare(x.rank, y.rank) })
}
