package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"tulipglade/internal/faultinject"
)

const (
	// headerTimeout bounds the time in which the HTTP servers of this package must receive a request's header.
	headerTimeout = 5 * time.Second
	// maxFaultBytes bounds the size of a request body that describes a fault.
	maxFaultBytes = 64 << 10
)

// injectedFault is the response to the injection of a fault.
type injectedFault struct {
	Fault faultinject.Fault `json:"fault"`
	ID    int               `json:"id"`
}

// executionCount is the response that states how often a request was executed.
type executionCount struct {
	Executions int `json:"runs"`
}

// ServeControl serves a small HTTP interface that injects faults and reports figures, until the cluster is closed. It
// returns the address that it listens on.
//
//	POST /faults          injects a fault, given as JSON with the fields that scenarios use; the response is
//	                      {"id": N, "fault": {...}}, with the defaults of the fault filled in
//	DELETE /faults/{id}   ends the fault with this ID
//	GET /report           returns the figures counted so far
//	GET /runs/{id}        returns how often the request with this ID has begun to run
func (cl *Cluster) ServeControl(addr string) (string, error) {
	listener, err := Listen(addr)
	if err != nil {
		return "", fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", cl.handleInject)
	mux.HandleFunc("DELETE /faults/{id}", cl.handleEndFault)
	mux.HandleFunc("GET /report", func(response http.ResponseWriter, _ *http.Request) {
		writeJSON(response, cl.Report())
	})
	mux.HandleFunc("GET /runs/{id}", func(response http.ResponseWriter, request *http.Request) {
		writeJSON(response, executionCount{cl.Executions(request.PathValue("id"))})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	cl.wg.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			cl.log.write(logEvent{Time: cl.now(), Kind: errorEvent("control", err)})
		}
	})
	cl.wg.Go(func() {
		<-cl.ctx.Done()
		closeQuietly(server)
	})
	return listener.Addr().String(), nil
}

func (cl *Cluster) handleInject(response http.ResponseWriter, request *http.Request) {
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
	writeJSON(response, injectedFault{Fault: complete, ID: id})
}

func (cl *Cluster) handleEndFault(response http.ResponseWriter, request *http.Request) {
	id, err := strconv.Atoi(request.PathValue("id"))
	if err != nil || !cl.EndFault(id) {
		http.Error(response, "there is no such fault, or it has ended", http.StatusNotFound)
		return
	}
	response.WriteHeader(http.StatusNoContent)
}

func writeJSON(response http.ResponseWriter, value any) {
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(value) // an error means that the client has closed the connection
}
