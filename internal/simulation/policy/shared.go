package policy

import (
	"encoding/binary"

	"tulipglade/internal/balancer"
)

// beat is how often nodes of the policy least-shared tell the others what they have out.
const beat balancer.Span = 100000

const (
	maxDatagram = 256
	recordSize  = 9 // a host's id and what is out at it, at most 255
)

// shared is the least-outstanding policy over what all nodes together have out at a host, as far as they have told
// each other: each sends the hosts where it has most out, in one datagram a beat.
type shared struct {
	*plain
	others map[int]map[balancer.EndpointID]int // by node, of its last datagram
	sum    map[balancer.EndpointID]int
}

func newShared(e Env) *shared {
	s := &shared{others: map[int]map[balancer.EndpointID]int{}, sum: map[balancer.EndpointID]int{}}
	s.plain = newPlain(e, func(p *plain, _ *request, from []*host) *host {
		return least(p, from, func(h *host) float64 { return float64(h.out + s.sum[h.ID]) })
	})
	s.extra = s.tell
	return s
}

func (s *shared) tell(balancer.Time) {
	data := make([]byte, 0, maxDatagram)
	for level := 255; level > 0 && len(data)+recordSize <= maxDatagram; level-- {
		if level > 16 { // hosts with so many are rare: one pass for all of them
			for _, h := range s.hosts {
				if h.out > 16 && len(data)+recordSize <= maxDatagram {
					data = append(binary.BigEndian.AppendUint64(data, uint64(h.ID)), byte(min(h.out, 255)))
				}
			}
			level = 17
			continue
		}
		for _, h := range s.hosts {
			if h.out == level && len(data)+recordSize <= maxDatagram {
				data = append(binary.BigEndian.AppendUint64(data, uint64(h.ID)), byte(level))
			}
		}
	}
	s.env.Publish(-1, data)
}

// HandlePeerMessage takes another node's datagram in place of its last one.
func (s *shared) HandlePeerMessage(_ balancer.Time, from int, data []byte) {
	for id, n := range s.others[from] {
		if s.sum[id] -= n; s.sum[id] == 0 {
			delete(s.sum, id)
		}
	}
	told := map[balancer.EndpointID]int{}
	for ; len(data) >= recordSize; data = data[recordSize:] {
		id, n := balancer.EndpointID(binary.BigEndian.Uint64(data)), int(data[8])
		told[id] += n
		s.sum[id] += n
	}
	s.others[from] = told
}
