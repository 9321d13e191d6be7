package processtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tulipglade/internal/fencing"
	"tulipglade/internal/lease"
)

// An action takes the target a random time between shortestWork and shortestWork+workSpread.
const (
	shortestWork = 10 * time.Millisecond
	workSpread   = maxActionTime / 3
)

// target is the HTTP handler that holders send their actions to. Its events show which actions were admitted or
// rejected.
type target struct {
	process *process

	mu    sync.Mutex
	fence fencing.Fence
}

// runTarget runs the HTTP server of the target until ctx ends.
func (p *process) runTarget(ctx context.Context) error {
	listener, err := net.Listen("tcp4", p.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: &target{process: p}}
	go func() {
		<-ctx.Done()
		_ = server.Close() // the process is about to exit
	}()
	p.report(Event{Kind: EventProcessReady})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP carries out an action if the fence admits it, or if the fence is disabled.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	slot, _ := strconv.Atoi(query.Get("seat"))                // holders send numbers
	token, _ := strconv.ParseUint(query.Get("token"), 10, 64) // holders send numbers
	grant := lease.Grant{Name: leaseName, Slot: slot, Token: lease.Token(token)}
	event := Event{Slot: slot, Token: grant.Token, Text: query.Get("who")}
	admitted, fenced := t.begin(grant, event)
	if !admitted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.Sleep(shortestWork + time.Duration(rand.Int64N(int64(workSpread)))) // even if the client disconnects
	t.end(grant, event, fenced)
}

// begin reports an action as started or rejected. The result fenced is false for an action that the fence has rejected,
// even if it is admitted because the fence is disabled.
func (t *target) begin(grant lease.Grant, event Event) (admitted, fenced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fenced = t.fence.Begin(grant) == nil
	admitted = fenced || t.process.Disabled.Fence
	event.Kind = EventActionRejected
	if admitted {
		event.Kind = EventActionStarted
	}
	t.process.report(event)
	return admitted, fenced
}

func (t *target) end(grant lease.Grant, event Event, fenced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	event.Kind = EventActionEnded
	t.process.report(event)
	if fenced {
		t.fence.End(grant)
	}
}
