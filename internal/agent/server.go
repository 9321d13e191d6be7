package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

// handler returns the agent's HTTP interface. Requests that are still waiting when ctx ends get no result.
func (a *Agent) handler(ctx context.Context) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /raft", a.handleRaftMessage)
	handle := func(pattern string, handler func(context.Context, http.ResponseWriter, *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { handler(ctx, w, r) })
	}
	handle("POST "+pathLease+"{verb}", a.handleLeaseCommand)
	handle("GET "+pathLeases, a.handleLeases)
	handle("GET "+pathStatus, a.handleStatus)
	handle("POST "+pathMembers, a.handleMembershipChange)
	return mux
}

// handleLeaseCommand proposes a command on a lease to the group, and answers with the resulting grant.
func (a *Agent) handleLeaseCommand(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	kind, ok := commandKinds[r.PathValue("verb")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	var command lease.Command
	if !readRequest(w, r, &command) {
		return
	}
	command.Kind = kind
	a.handleOnMemberGoroutine(ctx, w, r, func(reply func(Response, error)) {
		a.member.Propose(command, func(grant lease.Grant, err error) {
			terms := a.member.Terms()
			reply(Response{Grant: &grant, Terms: &terms}, err)
		})
	})
}

// handleLeases answers with the status of the group, which includes everything agreed on before the request.
func (a *Agent) handleLeases(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	a.handleOnMemberGoroutine(ctx, w, r, func(reply func(Response, error)) {
		a.member.ReadIndex(func(err error) {
			status := a.member.Status()
			reply(Response{Status: &status}, err)
		})
	})
}

// handleStatus answers with the status of the group as this member knows it, which may be stale.
func (a *Agent) handleStatus(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	a.handleOnMemberGoroutine(ctx, w, r, func(reply func(Response, error)) {
		status := a.member.Status()
		reply(Response{Status: &status}, nil)
	})
}

// handleMembershipChange changes the members of the group, and answers once the change has been made.
func (a *Agent) handleMembershipChange(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	var change MembershipChange
	if !readRequest(w, r, &change) {
		return
	}
	for _, address := range change.Add {
		if err := CheckAddress(address); err != nil {
			writeResponse(w, http.StatusBadRequest, Response{Code: codeInvalid, Error: err.Error()})
			return
		}
	}
	a.handleOnMemberGoroutine(ctx, w, r, func(reply func(Response, error)) {
		a.member.ChangeMembers(change.Add, change.Remove, func(err error) { reply(Response{}, err) })
	})
}

// readRequest decodes the JSON body of a request. If that fails, it answers with status 400 and returns false.
func readRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(into); err != nil {
		writeResponse(w, http.StatusBadRequest, Response{Code: codeInvalid, Error: err.Error()})
		return false
	}
	return true
}

func writeResponse(w http.ResponseWriter, status int, response Response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response) // fails if the client has disconnected
}

// handleOnMemberGoroutine runs handle on the member's goroutine, and answers the request once handle calls reply.
func (a *Agent) handleOnMemberGoroutine(ctx context.Context, w http.ResponseWriter, r *http.Request, handle func(reply func(Response, error))) {
	type result struct {
		response Response
		err      error
	}
	results := make(chan result, 1)
	reply := func(response Response, err error) { results <- result{response, err} }
	if !a.enqueueTask(func() { handle(reply) }) {
		writeResponse(w, http.StatusServiceUnavailable, Response{Code: codeBusy, Error: consensus.ErrBusy.Error()})
		return
	}
	select {
	case got := <-results:
		if got.err != nil {
			writeError(w, got.err)
		} else {
			writeResponse(w, http.StatusOK, got.response)
		}
	case <-r.Context().Done():
	case <-ctx.Done():
	case <-a.stopped:
	}
}

// writeError answers with an error, and with the code and the HTTP status that belong to it.
func writeError(w http.ResponseWriter, err error) {
	response := Response{Error: err.Error()}
	status := http.StatusInternalServerError
	for code, known := range errorCodes {
		if errors.Is(err, known.err) {
			response.Code = code
			status = known.status
		}
	}
	var notLeader consensus.NotLeaderError
	if errors.As(err, &notLeader) {
		response.Code = codeNotLeader
		response.Leader = notLeader.Address
		status = http.StatusMisdirectedRequest
	}
	writeResponse(w, status, response)
}
