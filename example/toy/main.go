// Command toy is a world small enough to try a node in: three backends and a discovery service, all on
// loopback addresses and in one process.
//
// Discovery also takes POST /toy?uid=app-1&state=terminating (or in_service, or terminated), so that one can
// watch a node follow.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// target is a backend in discovery's form.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
	rev      int
}

// discovery keeps the list and wakes those who watch it.
type discovery struct {
	mu      sync.Mutex
	rev     int
	targets []target
	changed chan struct{} // closed at the next change
}

func (d *discovery) add(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	t.rev = d.rev
	d.targets = append(d.targets, t)
}

// since lists what changed after a version, all of it for a version below 0.
func (d *discovery) since(rev int) (answer map[string]any, some bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []target{}
	for _, t := range d.targets {
		if t.rev > rev {
			list = append(list, t)
		}
	}
	return map[string]any{"rev": d.rev, "all": rev < 0, "targets": list}, len(list) > 0, d.changed
}

func (d *discovery) set(uid, state string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.targets {
		t := &d.targets[i]
		if t.UID != uid {
			continue
		}
		if state == "in_service" && t.State == "terminated" {
			t.BootMs = time.Now().UnixMilli() // it comes back as a new process, and cold
		}
		d.rev++
		t.State, t.rev = state, d.rev
		close(d.changed)
		d.changed = make(chan struct{})
		return true
	}
	return false
}

func (d *discovery) list(w http.ResponseWriter, r *http.Request) {
	rev, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		rev = -1
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	timeout := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	answer, some, changed := d.since(rev)
	if rev >= 0 && !some {
		select {
		case <-changed:
			answer, _, _ = d.since(rev)
		case <-timeout:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (d *discovery) toy(w http.ResponseWriter, r *http.Request) {
	uid, state := r.FormValue("uid"), r.FormValue("state")
	switch state {
	case "in_service", "terminating", "terminated":
		if d.set(uid, state) {
			log.Printf("%s is now %s", uid, state)
			return
		}
	}
	http.Error(w, "unknown uid or state", http.StatusBadRequest)
}

// backend answers after some work and reports its load, as app boxes do.
func backend(uid string, slots int) http.HandlerFunc {
	var out atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		n := out.Add(1)
		defer out.Add(-1)
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT queue=%d, util=%.2f", max(0, int(n)-slots),
			min(1, float64(n)/float64(slots))))
		fmt.Fprintf(w, "%s served %s for %s\n", uid, r.URL.Path, r.Header.Get("X-Trace-Id"))
	}
}

func serve(addr string, h http.Handler) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal((&http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}).Serve(ln)) }()
}

func main() {
	addr := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	first := flag.Int("port", 9001, "port of the first of three backends")
	flag.Parse()
	d := &discovery{changed: make(chan struct{})}
	for i, zone := range []string{"salt-lake", "howrah", "durgapur"} {
		t := target{UID: fmt.Sprintf("app-%d", i+1), Endpoint: fmt.Sprintf("127.0.0.1:%d", *first+i), Zone: zone,
			Model: "new-rack", State: "in_service", Capacity: 1}
		serve(t.Endpoint, backend(t.UID, 4))
		d.add(t)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.list)
	mux.HandleFunc("POST /toy", d.toy)
	serve(*addr, mux)
	log.Printf("discovery at %s, backends from 127.0.0.1:%d on", *addr, *first)
	select {}
}
