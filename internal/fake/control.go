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
func (w *Cluster) Control(addr string) (string, error) {
	if err := loopback.Check(addr); err != nil {
		return "", fmt.Errorf("control: %w", err)
	}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("control: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", w.postFault)
	mux.HandleFunc("DELETE /faults/{id}", func(rw http.ResponseWriter, r *http.Request) {
		id, err := strconv.Atoi(r.PathValue("id"))
		if err != nil || !w.Lift(id) {
			http.Error(rw, "there is no such fault, or it has ended", http.StatusNotFound)
			return
		}
		rw.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /report", func(rw http.ResponseWriter, _ *http.Request) { reply(rw, w.Report()) })
	mux.HandleFunc("GET /runs/{id}", func(rw http.ResponseWriter, r *http.Request) {
		reply(rw, map[string]int{"runs": w.Executions(r.PathValue("id"))})
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	w.wg.Go(func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			w.log.write(event{At: w.now(), What: "control: " + err.Error()})
		}
	})
	w.wg.Go(func() {
		<-w.ctx.Done()
		srv.Close()
	})
	return ln.Addr().String(), nil
}

const maxOrder = 64 << 10 // bytes of a fault

func (w *Cluster) postFault(rw http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxOrder))
	dec.DisallowUnknownFields()
	var f faultinject.Fault
	if err := dec.Decode(&f); err != nil {
		http.Error(rw, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	id, settled, err := w.Inject(f)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	reply(rw, map[string]any{"id": id, "fault": settled})
}

func reply(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(rw).Encode(v); err != nil {
		return // whoever asked has gone
	}
}
