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

// An agent takes in what 1,024 nodes tell, of 64 zones and 20 classes in numbers as long as can be, and so does the director of an
// agent that passes all of it on at once. Guards: what one agent passed on had 1 MB, and was refused whole beyond that.
func TestManyNodesTell(t *testing.T) {
	const zones, classes, nodes = 64, 20, 1024
	d := &director{a: &Agent{who: Identity{Group: "g"}, o: Options{Clock: func() time.Duration { return 0 }}, log: slog.New(slog.DiscardHandler)},
		told: map[string]failover.Digest{}, sums: failover.NewCollector(zones, classes)}
	mux := http.NewServeMux()
	d.routes(t.Context(), mux)
	post := func(path string, v any) {
		t.Helper()
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		r, w := httptest.NewRequest("POST", path, bytes.NewReader(raw)), httptest.NewRecorder()
		r.Header.Set(headGroup, "g")
		if mux.ServeHTTP(w, r); w.Code != http.StatusNoContent {
			t.Fatalf("%s of %d bytes: %d %s", path, len(raw), w.Code, w.Body)
		}
	}
	many := func(n int) (list []float64) {
		for i := range n {
			list = append(list, math.Pi*math.Pow(10, float64(i%3)))
		}
		return list
	}
	var all []failover.Digest
	for i := range nodes {
		one := failover.Digest{Node: fmt.Sprintf("n%0127d", i), Incarnation: 1, Sequence: 1, Zone: i % zones, Demand: many(classes), Capacity: many(zones)}
		all = append(all, one)
		post("/digest", one)
	}
	if len(d.told) != nodes {
		t.Errorf("%d of %d nodes heard", len(d.told), nodes)
	}
	post("/digests", all)
	if s := d.sums.Totals(0); s.Demand[0][0] < nodes/zones*math.Pi*0.99 {
		t.Errorf("demand of zone 0: %v", s.Demand[0][0])
	}
}
