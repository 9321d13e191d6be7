package fake

import (
	"cmp"
	"fmt"
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/emulator"
)

// phaseNames are the names of an endpoint's phases in discovery's responses.
var phaseNames = map[balancer.Phase]string{
	balancer.PhaseReady:    "in_service",
	balancer.PhaseDraining: "terminating",
	balancer.PhaseRemoved:  "terminated",
}

// endpointRecord is an entry of discovery's list, with the revision at which it last changed.
type endpointRecord struct {
	emulator.EndpointEntry
	revision int
}

// listChanges holds the entries of discovery's list that changed after some revision, or all of them.
type listChanges struct {
	records       []endpointRecord // in the order of their revisions
	revision      int              // the current revision of the list
	discoveryDown bool
	next          <-chan struct{} // closed at the next change of the list
}

// updateEndpoint adds or replaces an entry of discovery's list, and wakes the watches.
func (cl *Cluster) updateEndpoint(entry emulator.EndpointEntry) {
	cl.revision++
	record := endpointRecord{entry, cl.revision}
	index := slices.IndexFunc(cl.endpoints, func(r endpointRecord) bool { return r.Backend == entry.Backend })
	if index < 0 {
		cl.endpoints = append(cl.endpoints, record)
	} else {
		cl.endpoints[index] = record
	}
	close(cl.listChanged)
	cl.listChanged = make(chan struct{})
}

// endpointsSince returns the entries that changed after a revision. Since allRevisions, these are all endpoints except
// the removed ones.
func (cl *Cluster) endpointsSince(since int) listChanges {
	changes := listChanges{
		revision:      cl.revision,
		discoveryDown: cl.discoveryFaults > 0,
		next:          cl.listChanged,
	}
	for _, record := range cl.endpoints {
		if record.revision > since && (since != allRevisions || record.Phase != balancer.PhaseRemoved) {
			changes.records = append(changes.records, record)
		}
	}
	slices.SortFunc(changes.records, func(a, b endpointRecord) int { return cmp.Compare(a.revision, b.revision) })
	return changes
}

// backendAt returns the number of the newest backend process at an address.
func (cl *Cluster) backendAt(addressIndex int) int {
	backend := 0
	for _, record := range cl.endpoints {
		if record.AddressIndex == addressIndex {
			backend = max(backend, record.Backend)
		}
	}
	return backend
}

// listedEndpoint returns the JSON form of an entry, with the address at which the node reaches the backend.
func (cl *Cluster) listedEndpoint(node int, record endpointRecord) listedEndpoint {
	endpoint := listedEndpoint{
		UID:      fmt.Sprintf("box-%d", record.Backend),
		Endpoint: cl.backends[record.AddressIndex][node].addr,
		Zone:     cl.scenario.Fleet.Sites[record.Site],
		Model:    "box",
		Group:    record.Rack,
		State:    phaseNames[record.Phase],
		Capacity: record.Weight,
	}
	if record.StartedAt >= 0 {
		endpoint.BootMs = cl.startedAt.UnixMilli() + record.StartedAt/microsPerMilli
	}
	return endpoint
}
