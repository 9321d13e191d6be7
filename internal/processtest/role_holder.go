package processtest

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/lease"
)

const (
	leaseName          = "task"
	maxActionTime      = 300 * time.Millisecond // including the time that its request takes
	mostRandomActions  = 40                     // maximum number of actions under one lease
	leaseCallTimeout   = 2 * time.Second
	leaseMargin        = 50 * time.Millisecond
	targetCallTimeout  = 10 * time.Second
	longestPause       = 200 * time.Millisecond // between releasing a lease and acquiring the next
	longestActionPause = 100 * time.Millisecond
)

// holder is a process that repeatedly acquires the lease, acts under it, and releases it after a number of actions.
type holder struct {
	*process
	target *http.Client
}

func (p *process) runHolder(ctx context.Context) error {
	h := &holder{process: p, target: &http.Client{Transport: p.transport(), Timeout: targetCallTimeout}}
	client := agent.NewClient(p.Agents, leaseRecorder{p, p.transport()})
	p.report(Event{Kind: EventProcessReady})
	for ctx.Err() == nil {
		from := agent.Clock()
		held, err := h.acquire(ctx, client)
		if err != nil {
			_ = sleep(ctx, 50*time.Millisecond, longestPause) // the loop ends with ctx
			continue
		}
		grant, _ := held.Grant()
		p.report(Event{Kind: EventLeaseAcquired, Slot: grant.Slot, Token: grant.Token, RequestedAt: from})
		h.runActions(ctx, held, grant)
		if held.EndReason() == nil {
			h.release(ctx, held)
		}
		p.report(Event{Kind: EventLeaseDone, Slot: grant.Slot, Token: grant.Token})
		_ = sleep(ctx, 0, longestPause) // the loop ends with ctx
	}
	return nil
}

func (h *holder) acquire(ctx context.Context, client *agent.Client) (*agent.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	return agent.Acquire(ctx, client, agent.LeaseOptions{
		Name:     leaseName,
		Duration: h.LeaseDuration,
		Holder:   h.Name + "/" + strconv.Itoa(os.Getpid()),
		Clock:    h.clock,
		Margin:   leaseMargin,
	})
}

func (h *holder) release(ctx context.Context, held *agent.Lease) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	_ = held.Release(ctx) // a lease that is not released expires
}

// runActions sends actions until the lease may have expired or the holder has sent its number of actions for one lease.
// Without the guard it continues until ctx ends.
func (h *holder) runActions(ctx context.Context, held *agent.Lease, grant lease.Grant) {
	for actions := cmp.Or(h.ActionsPerLease, 1+rand.IntN(mostRandomActions)); actions > 0 && ctx.Err() == nil; actions-- {
		if _, err := held.BeginAction(maxActionTime); err != nil && !h.Disabled.Guard {
			h.report(Event{Kind: EventActionWithheld, Slot: grant.Slot, Token: grant.Token, Text: err.Error()})
			return
		}
		if h.consumeHaltOrder() {
			h.stopItself(grant)
		}
		h.sendAction(grant)
		_ = sleep(ctx, 0, longestActionPause) // the loop ends with ctx
	}
	for h.Disabled.Guard && ctx.Err() == nil { // without the guard, the holder never stops acting
		h.sendAction(grant)
		_ = sleep(ctx, 50*time.Millisecond, longestActionPause) // the loop ends with ctx
	}
}

// consumeHaltOrder reports whether an order to halt is pending, and clears it.
func (p *process) consumeHaltOrder() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	halt := p.halt
	p.halt = false
	return halt
}

// stopItself reports that the holder halts, and stops the process until the harness continues it.
func (h *holder) stopItself(grant lease.Grant) {
	h.report(Event{Kind: EventHolderHalted, Slot: grant.Slot, Token: grant.Token})
	continued := make(chan os.Signal, 1)
	signal.Notify(continued, syscall.SIGCONT)
	_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP) // a process may always signal itself
	// Kill may return before the stop takes effect, and the action must not start before it.
	<-continued
}

// sendAction sends one action to the target. It ignores the result, since the target's events show the outcome.
func (h *holder) sendAction(grant lease.Grant) {
	url := fmt.Sprintf("http://%s/act?seat=%d&token=%d&who=%s", h.Target, grant.Slot, grant.Token, h.Name)
	response, err := h.target.Post(url, "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// leaseRecorder is an http.RoundTripper that reports lease requests and their final responses as events.
type leaseRecorder struct {
	process   *process
	transport http.RoundTripper
}

// RoundTrip sends a request. It reports a lease request that was granted, or rejected for the state of the lease.
func (r leaseRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	verb, ok := strings.CutPrefix(request.URL.Path, "/lease/")
	if !ok {
		return r.transport.RoundTrip(request)
	}
	command, err := leaseCommand(request)
	if err != nil {
		return nil, err
	}
	from := agent.Clock()
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // the body was read to its end, or reading failed
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	var answer agent.Response
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK || answer.Code == "taken" || answer.Code == "not-held" {
		event := Event{Kind: EventKind(verb), Token: command.Token, RequestedAt: from, RequestID: command.RequestID, Text: answer.Code}
		if event.Kind == EventAcquire && answer.Grant != nil {
			event.Token = answer.Grant.Token
		}
		r.process.report(event)
	}
	return response, nil
}

// leaseCommand decodes the command in the body of a request from a copy, so that the body can still be sent.
func leaseCommand(request *http.Request) (command lease.Command, err error) {
	body, err := request.GetBody()
	if err != nil {
		return command, err
	}
	err = json.NewDecoder(body).Decode(&command)
	return command, err
}
