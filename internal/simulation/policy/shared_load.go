package policy

import (
	"encoding/binary"

	"tulipglade/internal/balancer"
)

// shareInterval is the interval at which the nodes of the policy least-shared publish their attempts in flight, in µs.
const shareInterval balancer.Span = 100000

const (
	maxDatagramBytes = 256
	entryBytes       = 9   // 8 bytes for an endpoint's ID, and one for the number of attempts in flight to it
	maxEntryInFlight = 255 // the largest number that fits into the byte of an entry
	manyInFlight     = 16  // endpoints with more attempts in flight are rare, so a single pass collects them without sorting
)

// sharedLoad is the policy least-shared. It selects an endpoint with the fewest attempts in flight from all nodes, as
// far as the other nodes have published theirs: each node sends one datagram per shareInterval, which lists the
// endpoints with most of its attempts in flight.
type sharedLoad struct {
	*reference
	reports           map[int]map[balancer.EndpointID]int // by node: attempts in flight per endpoint, from its last datagram
	inFlightElsewhere map[balancer.EndpointID]int         // the sum of all reports by endpoint
}

func newSharedLoad(env Env) *sharedLoad {
	s := &sharedLoad{
		reports:           map[int]map[balancer.EndpointID]int{},
		inFlightElsewhere: map[balancer.EndpointID]int{},
	}
	s.reference = newReference(env, func(p *reference, candidates []*endpoint) *endpoint {
		return p.leastLoaded(candidates, func(e *endpoint) float64 { return float64(e.inFlight + s.inFlightElsewhere[e.ID]) })
	})
	s.onTick = s.publishInFlight
	return s
}

// publishInFlight sends all other nodes as many endpoints as fit into a datagram. Those with more than manyInFlight
// attempts in flight come first, in the order of their IDs, and the others follow by descending number of attempts in
// flight.
func (s *sharedLoad) publishInFlight() {
	data := make([]byte, 0, maxDatagramBytes)
	data = s.appendEntries(data, func(inFlight int) bool { return inFlight > manyInFlight })
	for level := manyInFlight; level > 0; level-- {
		data = s.appendEntries(data, func(inFlight int) bool { return inFlight == level })
	}
	s.env.Publish(-1, data)
}

// appendEntries appends an entry for each selected endpoint in service, until the datagram is full.
func (s *sharedLoad) appendEntries(data []byte, selected func(inFlight int) bool) []byte {
	for _, e := range s.ready {
		if selected(e.inFlight) && len(data)+entryBytes <= maxDatagramBytes {
			data = binary.BigEndian.AppendUint64(data, uint64(e.ID))
			data = append(data, byte(min(e.inFlight, maxEntryInFlight)))
		}
	}
	return data
}

// HandlePeerMessage replaces the report of another node with the contents of its new datagram.
func (s *sharedLoad) HandlePeerMessage(_ balancer.Time, from int, data []byte) {
	for id, inFlight := range s.reports[from] {
		s.inFlightElsewhere[id] -= inFlight
		if s.inFlightElsewhere[id] == 0 {
			delete(s.inFlightElsewhere, id)
		}
	}
	report := map[balancer.EndpointID]int{}
	for ; len(data) >= entryBytes; data = data[entryBytes:] {
		id := balancer.EndpointID(binary.BigEndian.Uint64(data))
		inFlight := int(data[entryBytes-1])
		report[id] += inFlight
		s.inFlightElsewhere[id] += inFlight
	}
	s.reports[from] = report
}
