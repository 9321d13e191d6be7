package fake

// Report holds the figures that a cluster has counted so far.
type Report struct {
	Seconds       float64 `json:"seconds"`
	Arrived       int64   `json:"arrived"`    // complete requests that arrived at backends
	Executions    int64   `json:"executions"` // executions that began
	DuplicateRuns int64   `json:"twice"`      // executions beyond the first of one ID, in non-idempotent classes
	// AfterDrain counts requests that arrive at a draining or removed backend later than the drain grace and 50 ms
	// after their node was notified.
	AfterDrain   int64           `json:"after_drain"`
	Unreadable   int64           `json:"unreadable"`  // requests that did not conform to PROTOCOL
	Connections  int64           `json:"connections"` // connections accepted by backends
	Backends     []BackendReport `json:"boxes"`
	HealthChecks int64           `json:"probes"`
}

// BackendReport holds the figures counted at one backend's address.
type BackendReport struct {
	Number  int   `json:"place"`
	Arrived int64 `json:"arrived"`
	Ran     int64 `json:"ran"`
	Up      bool  `json:"up"`
}

// Report returns the figures counted so far.
func (cl *Cluster) Report() Report {
	var report Report
	cl.call(func() {
		report = cl.ledger.totals
		report.Seconds = cl.Elapsed().Seconds()
		report.Executions = cl.live.Executions()
		for addressIndex := range cl.backends {
			backend := BackendReport{
				Number:  addressIndex,
				Arrived: cl.ledger.arrivalsByAddress[addressIndex],
				Ran:     cl.ledger.executionsByAddress[addressIndex],
			}
			backend.Up, _ = cl.live.Up(addressIndex)
			report.Backends = append(report.Backends, backend)
		}
	})
	return report
}

// Executions returns how often the request with this ID has begun to run. It returns 0 once the ID has been forgotten,
// after maxRememberedIDs newer ones.
func (cl *Cluster) Executions(id string) (count int) {
	cl.call(func() { count = cl.ledger.executions[id] })
	return count
}
