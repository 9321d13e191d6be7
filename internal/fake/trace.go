package fake

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"tulipglade/internal/simulation/scenario"
)

const maxEventBytes = 1 << 20

// WriteTrace converts an event log to a trace of calls for the load generator. Each request that arrived at a backend
// becomes a call at the time of its first arrival, counted from that of the first request; later arrivals with the same
// ID, which are retries, are left out. It returns the number of calls.
func WriteTrace(events io.Reader, out io.Writer, config *scenario.Scenario) (int, error) {
	classes, tenants := map[string]int{}, map[string]int{}
	for i := range config.Classes {
		classes[config.Classes[i].Name] = i
	}
	for i := range config.Tenants {
		tenants[config.Tenants[i].Name] = i
	}
	seen := map[string]bool{}
	start := int64(-1)
	calls := 0
	writer := bufio.NewWriter(out)
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, maxEventBytes)
	for line := 1; lines.Scan(); line++ {
		var event logEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return calls, fmt.Errorf("line %d: %w", line, err)
		}
		if event.Kind != eventArrived || seen[event.ID] {
			continue
		}
		class, known := classes[event.Class]
		if !known {
			return calls, fmt.Errorf("line %d: class: %q is not a class of the scenario", line, event.Class)
		}
		seen[event.ID] = true
		if start < 0 {
			start = event.Time
		}
		site := config.Site(event.Node)
		if _, err := fmt.Fprintln(writer, event.Time-start, class, tenants[event.Tenant], site, event.Key); err != nil {
			return calls, err
		}
		calls++
	}
	return calls, errors.Join(lines.Err(), writer.Flush())
}
