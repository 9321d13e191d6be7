package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// target is an entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// list is an answer of discovery.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// startDiscovery starts a stand-in for discovery, with a list that does not change, and returns its address.
func startDiscovery(known list) (address string, err error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", known.answer)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // until the process ends
	return listener.Addr().String(), nil
}

// answer answers a call: the whole list at once, and a watch when its wait is over, as the list never changes.
func (l list) answer(w http.ResponseWriter, r *http.Request) {
	answer := l
	if query := r.URL.Query(); query.Get("since") == strconv.FormatInt(l.Rev, 10) {
		answer = list{Rev: l.Rev, Targets: []target{}}
		waitMs, _ := strconv.Atoi(query.Get("timeout_ms")) // 0 if it is missing
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails if the node has gone
}
