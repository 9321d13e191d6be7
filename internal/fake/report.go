package fake

// Report is what a cluster has counted so far.
type Report struct {
	Seconds       float64         `json:"seconds"`
	Arrived       int64           `json:"arrived"`     // complete requests at backends
	Executions    int64           `json:"executions"`  // that began to run
	DuplicateRuns int64           `json:"twice"`       // of a non-idempotent class: executions beyond the first of one ID
	AfterDrain    int64           `json:"after_drain"` // requests to a backend later than the grace and 50 ms after the node was notified
	Unreadable    int64           `json:"unreadable"`  // requests that were not what PROTOCOL says
	Connections   int64           `json:"connections"` // made to backends
	Backends      []BackendReport `json:"boxes"`
	HealthChecks  int64           `json:"probes"`
}

// BackendReport is what was counted at one backend's address.
type BackendReport struct {
	Number  int   `json:"place"`
	Arrived int64 `json:"arrived"`
	Ran     int64 `json:"ran"`
	Up      bool  `json:"up"`
}

// Report returns the figures so far.
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

// Executions is how often the request of that ID has begun to run, while the ID is remembered.
func (cl *Cluster) Executions(id string) (count int) {
	cl.call(func() { count = cl.ledger.executions[id] })
	return count
}
