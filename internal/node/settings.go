package node

import "tulipglade/internal/balancer"

// Settings configure a node when it is created and at each Reconfigure. All times are in microseconds. Settings are
// never modified once they are applied, because open requests keep the settings under which they were admitted.
type Settings struct {
	Balancer       balancer.Config
	Seed           uint64   // seed of the balancer's random decisions
	Classes        []string // names by number, as in balancer.Config.Classes
	Tenants        []string // names by number, as in balancer.Config.Tenants
	Zones          []string // names by number
	MaxInFlight    int      // maximum number of open requests; 0: limited only by descriptors and trace IDs
	ConnectTimeout int64    // maximum duration of a dial to a backend
	Keepalive      int64    // idle time after which backends close a connection
	LoadReports    bool     // backends report their load
	OverdueGrace   int64    // time past its deadline after which a request counts as overdue
	// DrainGrace is how long attempts may still start at a backend after the node was notified that the backend drains
	// or is removed.
	DrainGrace     int64
	MaxDescriptors int   // maximum number of file descriptors that the whole process may hold; 0: unlimited
	MemoryLimit    int64 // bytes that the process may use; 0: unlimited
}

// addDefaultTenant adds a tenant with an empty name, to which all requests are assigned, if the settings define no
// tenants. A named tenant never inherits what was learned of the default tenant, nor the other way round.
func (s *Settings) addDefaultTenant() {
	if len(s.Tenants) == 0 {
		s.Tenants, s.Balancer.Tenants = []string{""}, []balancer.Tenant{{QuotaFraction: 1}}
	}
}
