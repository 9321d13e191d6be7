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
	// headerTimeout bounds how long a request's header may take at the HTTP servers of this package.
	headerTimeout = 5 * time.Second
	// maxFaultBytes bounds the body that describes a fault.
	maxFaultBytes = 64 << 10
)

// injectedFault answers the injection of a fault.
type injectedFault struct {
	Fault faultinject.Fault `json:"fault"`
	ID    int               `json:"id"`
}

// executionCount answers how often a request was executed.
type executionCount struct {
	Executions int `json:"runs"`
}

// ServeControl serves a small HTTP port by which faults are injected and figures read, until the cluster is closed. It returns
// the address.
//
//	POST /faults          injects a fault, as JSON in the form of scenarios; answers {"id": N, "fault": {...}}, complete
//	DELETE /faults/{id}   ends it
//	GET /report           the figures so far
//	GET /runs/{id}        how often the request of that ID has begun to run
func (cl *Cluster) ServeControl(addr string) (string, error) {
	listener, err := Listen(addr)
	if err != nil {
		return "", fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", cl.handleInject)
	mux.HandleFunc("DELETE /faults/{id}", cl.handleLift)
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

func (cl *Cluster) handleLift(response http.ResponseWriter, request *http.Request) {
	id, err := strconv.Atoi(request.PathValue("id"))
	if err != nil || !cl.EndFault(id) {
		http.Error(response, "there is no such fault, or it has ended", http.StatusNotFound)
		return
	}
	response.WriteHeader(http.StatusNoContent)
}

func writeJSON(response http.ResponseWriter, value any) {
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(value) // an error means that the caller has closed the connection
}
