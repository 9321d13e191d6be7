package policy

import (
	"encoding/binary"

	"tulipglade/internal/balancer"
)

// shareInterval is how often the nodes of the policy least-shared publish their attempts in flight, in µs.
const shareInterval balancer.Span = 100000

const (
	maxDatagramBytes = 256
	entryBytes       = 9   // an endpoint's ID and the attempts in flight to it
	maxEntryInFlight = 255 // of one byte
	manyInFlight     = 16  // endpoints with more are rare, so one pass finds all of them
)

// sharedLoad is the least-outstanding policy on the attempts in flight of all nodes, as far as they have published them:
// each node sends the endpoints with most of its attempts, in one datagram per shareInterval.
type sharedLoad struct {
	*reference
	reports           map[int]map[balancer.EndpointID]int // by node: its last datagram
	inFlightElsewhere map[balancer.EndpointID]int         // the sum of reports
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

// publishInFlight sends the endpoints by descending attempts in flight, as many as fit into a datagram.
func (s *sharedLoad) publishInFlight() {
	data := make([]byte, 0, maxDatagramBytes)
	data = s.appendEntries(data, func(inFlight int) bool { return inFlight > manyInFlight })
	for level := manyInFlight; level > 0; level-- {
		data = s.appendEntries(data, func(inFlight int) bool { return inFlight == level })
	}
	s.env.Publish(-1, data)
}

// appendEntries appends the selected endpoints in service while there is room.
func (s *sharedLoad) appendEntries(data []byte, selected func(inFlight int) bool) []byte {
	for _, e := range s.ready {
		if selected(e.inFlight) && len(data)+entryBytes <= maxDatagramBytes {
			data = binary.BigEndian.AppendUint64(data, uint64(e.ID))
			data = append(data, byte(min(e.inFlight, maxEntryInFlight)))
		}
	}
	return data
}

// HandlePeerMessage replaces the last datagram of another node.
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
