package node

import (
	"tulipglade/internal/balancer"
)

// Settings is what a node is told at its start, and what Retune changes. All times are in microseconds. One that has been
// taken up is not changed any more: an open request keeps the one that it came under.
type Settings struct {
	Balancer       balancer.Config
	Seed           uint64
	Classes        []string // by number, as in Module.Classes
	Tenants        []string
	Zones          []string
	MaxInFlight    int // open requests; 0: no limit but that of sockets
	ConnectTimeout int64
	Keepalive      int64 // a backend closes a connection that stood idle so long
	LoadReports    bool  // backends report their load
	OverdueGrace   int64 // past its deadline, after which a request is overdue
	DrainGrace     int64 // after the word that a backend drains or is gone, for what still goes to it
	MaxDescriptors int   // descriptors of the whole process
	MemoryLimit    int64 // bytes that the process may use; 0: no limit
}

// addDefaultTenant has all requests belong to a tenant without a name where the settings tell none apart. No tenant that has one goes on with what
// that one has learned, nor the other way round.
func (s *Settings) addDefaultTenant() {
	if len(s.Tenants) == 0 {
		s.Tenants, s.Balancer.Tenants = []string{""}, []balancer.Tenant{{QuotaFraction: 1}}
	}
}
