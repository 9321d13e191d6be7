package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tulipglade/internal/failover"
)

// An agent must accept the digests of 1,024 nodes with 64 zones and 20 classes, in numbers with as many digits as
// possible. The failover leader must accept all of them in one message from another agent. Such a message was once
// limited to 1 MB, and larger ones were rejected.
func TestDigestsOfManyNodesAreAccepted(t *testing.T) {
	const zones, classes, nodes = 64, 20, 1024
	participant := &failoverParticipant{
		agent: &Agent{
			identity: Identity{Group: "g"},
			options:  Options{Clock: func() time.Duration { return 0 }},
			log:      slog.New(slog.DiscardHandler),
		},
		digests:   map[string]failover.Digest{},
		collector: failover.NewCollector(zones, classes),
	}
	mux := http.NewServeMux()
	participant.registerRoutes(t.Context(), mux)
	post := func(path string, v any) {
		t.Helper()
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		r, w := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(raw)), httptest.NewRecorder()
		r.Header.Set(groupHeader, "g")
		if mux.ServeHTTP(w, r); w.Code != http.StatusNoContent {
			t.Fatalf("%s of %d bytes: %d %s", path, len(raw), w.Code, w.Body)
		}
	}
	numbers := func(n int) (list []float64) {
		for i := range n {
			list = append(list, math.Pi*math.Pow(10, float64(i%3)))
		}
		return list
	}
	var all []failover.Digest
	for i := range nodes {
		digest := failover.Digest{
			Node:        fmt.Sprintf("n%0127d", i),
			Incarnation: 1,
			Sequence:    1,
			Zone:        i % zones,
			Demand:      numbers(classes),
			Capacity:    numbers(zones),
		}
		all = append(all, digest)
		post("/digest", digest)
	}
	if len(participant.digests) != nodes {
		t.Errorf("digests of %d of %d nodes", len(participant.digests), nodes)
	}
	post("/digests", all)
	if s := participant.collector.Totals(0); s.Demand[0][0] < nodes/zones*math.Pi*0.99 {
		t.Errorf("demand of zone 0: %v", s.Demand[0][0])
	}
}
