package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/loopback"
)

// Control serves a small HTTP port by which faults are ordered and figures read while a world runs, until the world is
// closed. It returns the address.
//
//	POST /faults          a fault as JSON, in the lab's words; answers {"id": N, "fault": {...}} with nothing left open
//	DELETE /faults/{id}   ends it
//	GET /report           what has been seen so far
//	GET /runs/{id}        how often the request of that id has begun to run
func (cl *Cluster) Control(addr string) (string, error) {
	if err := loopback.Check(addr); err != nil {
		return "", fmt.Errorf("control: %w", err)
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", cl.postFault)
	mux.HandleFunc("DELETE /faults/{id}", func(response http.ResponseWriter, request *http.Request) {
		id, err := strconv.Atoi(request.PathValue("id"))
		if err != nil || !cl.Lift(id) {
			http.Error(response, "there is no such fault, or it has ended", http.StatusNotFound)
			return
		}
		response.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /report", func(response http.ResponseWriter, _ *http.Request) { writeJSON(response, cl.Report()) })
	mux.HandleFunc("GET /runs/{id}", func(response http.ResponseWriter, request *http.Request) {
		writeJSON(response, map[string]int{"runs": cl.Executions(request.PathValue("id"))})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	cl.wg.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			cl.log.write(logEvent{Time: cl.now(), Kind: "control: " + err.Error()})
		}
	})
	cl.wg.Go(func() {
		<-cl.ctx.Done()
		server.Close()
	})
	return listener.Addr().String(), nil
}

const maxFaultBytes = 64 << 10 // bytes of a fault

func (cl *Cluster) postFault(response http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(response, request.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	var fault faultinject.Fault
	if err := decoder.Decode(&fault); err != nil {
		http.Error(response, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	id, complete, err := cl.Inject(fault)
	if err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(response, map[string]any{"id": id, "fault": complete})
}

func writeJSON(response http.ResponseWriter, value any) {
	response.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(response).Encode(value); err != nil {
		return // whoever asked has gone
	}
}
