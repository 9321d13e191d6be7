package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// target is one backend in discovery's form.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// list is an answer of discovery.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// discovery is a stand-in for discovery with a list that never changes: all backends are in service.
type discovery struct {
	address string
	whole   list
}

// newDiscovery starts discovery with the given backends.
func newDiscovery(targets []target) *discovery {
	d := &discovery{whole: list{Rev: 1, All: true, Targets: targets}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, d) }() // ends with the process
	return d
}

// ServeHTTP implements http.Handler: it answers a call for the whole list at once, and a watch of the current list with
// no changes after its wait.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := d.whole
	if since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64); err == nil && since >= d.whole.Rev {
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")) // without one: 0
		time.Sleep(time.Duration(wait) * time.Millisecond)
		answer = list{Rev: d.whole.Rev, Targets: []target{}}
	}
	raw, err := json.Marshal(answer)
	must(err)
	_, _ = w.Write(raw) // the node may have given the call up
}

// backendCount is the number of backends in each case.
const backendCount = 6

// startBackends starts the backends with the given handler of requests and returns their entries in discovery's list.
func startBackends(handler func(uid string) http.Handler) (targets []target) {
	for i := range backendCount {
		uid := fmt.Sprintf("s-%d", i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		server := &http.Server{Handler: handler(uid)}
		go func() { _ = server.Serve(listener) }() // ends with the process
		targets = append(targets, target{
			UID: uid, Endpoint: listener.Addr().String(), Zone: "salt-lake", Model: "new-rack",
			Cell: i % 2, State: "in_service", Weight: 1,
		})
	}
	return targets
}

// rideBackend returns a backend's handler. Each request is work for the given time, and its answer names the request.
func rideBackend(c *run, work time.Duration) func(uid string) http.Handler {
	return func(uid string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return // the request has not come whole
			}
			trace := r.Header.Get("X-Trace-Id")
			c.logf("%s runs at %s", trace, uid)
			time.Sleep(work)
			w.Header().Set("Endpoint-Load-Metrics", "TEXT queue=0, util=0.3")
			_, _ = io.WriteString(w, answerTo(trace))
		})
	}
}

// answerTo returns the body of the answer to a request.
func answerTo(trace string) string { return "done: " + trace }
