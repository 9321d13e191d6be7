package node

import "tulipglade/internal/balancer"

// Settings configure a node at its start and at each Reconfigure. All times are in microseconds. Settings in force
// are never modified: an open request keeps the ones under which it was admitted.
type Settings struct {
	Balancer       balancer.Config
	Seed           uint64
	Classes        []string // by number, as in balancer.Config.Classes
	Tenants        []string
	Zones          []string
	MaxInFlight    int // open requests; 0: limited by descriptors only
	ConnectTimeout int64
	Keepalive      int64 // idle time after which a backend closes a connection
	LoadReports    bool  // backends report their load
	OverdueGrace   int64 // time past its deadline after which a request counts as overdue
	// DrainGrace is the time after the notification that a backend drains or is removed in which attempts may still
	// start there.
	DrainGrace     int64
	MaxDescriptors int   // file descriptors of the whole process
	MemoryLimit    int64 // bytes that the process may use; 0: unlimited
}

// addDefaultTenant assigns all requests to a tenant without a name where the settings define no tenants. A named
// tenant never inherits what was learned of the nameless one, nor the other way round.
func (s *Settings) addDefaultTenant() {
	if len(s.Tenants) == 0 {
		s.Tenants, s.Balancer.Tenants = []string{""}, []balancer.Tenant{{QuotaFraction: 1}}
	}
}
