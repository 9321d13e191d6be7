package scenario

import (
	"slices"

	"tulipglade/internal/faultinject"
)

// Scope returns the backends, nodes, sites and tenants that faults can affect.
func (s *Scenario) Scope(backendSite, nodeSite func(int) string) faultinject.Scope {
	scope := faultinject.Scope{
		Backends:    s.Fleet.Backends,
		Nodes:       s.Nodes.Count,
		Sites:       s.Fleet.Sites,
		BackendSite: backendSite,
		NodeSite:    nodeSite,
	}
	for _, tenant := range s.Tenants {
		scope.Tenants = append(scope.Tenants, tenant.Name)
	}
	return scope
}

// ApplyDefaults returns the faults of the file and the random faults, with all defaults applied and sorted by start.
// The random faults, and targets that the file omits, are drawn with r.
func (s *Scenario) ApplyDefaults(r faultinject.Rand) []faultinject.Fault {
	siteName := func(i int) string { return s.Fleet.Sites[s.Site(i)] }
	scope := s.Scope(siteName, siteName)
	var all []faultinject.Fault
	for _, f := range s.Faults {
		all = append(all, f.ApplyDefaults(scope, r).Expand()...)
	}
	all = append(all, s.RandomFaults.Draw(scope, int64(s.Seconds*1000), r)...)
	slices.SortStableFunc(all, func(a, b faultinject.Fault) int { return int(min(max(a.Start-b.Start, -1), 1)) })
	return all
}
