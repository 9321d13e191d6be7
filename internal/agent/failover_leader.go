package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"tulipglade/internal/failover"
	"tulipglade/internal/lease"
)

// FailoverOptions configure an agent that participates in failover. Such an agent accepts the digests of its machine's
// nodes, and makes plans while it holds the failover leader's lease.
type FailoverOptions struct {
	Topology        failover.Topology
	PriorityWeights []float64 // weight of a core-second of each class
	Rules           failover.Rules
}

const (
	// failoverLeaseName is the name of the failover leader's lease. The plan is stored in the note of the lease, so
	// that only the holder can replace it.
	failoverLeaseName     = "director"
	failoverLeaseDuration = 2 * time.Second
	// failoverInterval is the interval at which nodes send digests, agents forward them, and the failover leader makes
	// a plan.
	failoverInterval = 500 * time.Millisecond
	// digestCollectionTime is the time for which a new failover leader only collects digests, so that it has one of
	// each node before it makes a plan.
	digestCollectionTime = 3 * failoverInterval
	// maxDigestsBytes limits the size of the digests that one agent forwards: 4 KB for each node that a Collector
	// remembers.
	maxDigestsBytes = failover.MaxNodes << 12
)

var (
	errAgentBusy    = errors.New("this agent is too busy")
	errAgentStopped = errors.New("this agent ends")
)

// failoverParticipant is the state of an agent that participates in failover, whether or not it is the failover leader.
type failoverParticipant struct {
	agent   *Agent
	options FailoverOptions
	client  *Client

	mu        sync.Mutex
	collector *failover.Collector        // holds the digests of all agents' nodes while this agent is the leader
	digests   map[string]failover.Digest // latest digests of this agent's nodes by node name, not yet forwarded
}

// startFailover registers the HTTP handlers of failover, and starts the goroutines that forward digests and make plans.
func (a *Agent) startFailover(ctx context.Context, mux *http.ServeMux) error {
	participant, err := newFailoverParticipant(a, *a.options.Failover)
	if err != nil {
		return err
	}
	participant.registerRoutes(ctx, mux)
	a.background.Go(func() { participant.forwardDigests(ctx) })
	a.background.Go(func() { participant.campaign(ctx) })
	return nil
}

func newFailoverParticipant(agent *Agent, options FailoverOptions) (*failoverParticipant, error) {
	if _, err := failover.NewPlanner(options.Topology, options.PriorityWeights, options.Rules); err != nil {
		return nil, err
	}
	zones, classes := len(options.Topology.Zones), len(options.PriorityWeights)
	if size := failover.MaxPlanSize(zones, classes); size > lease.MaxNoteBytes {
		return nil, fmt.Errorf("topology: a plan of %d zones and %d classes may have %d bytes, but a note at most %d",
			zones, classes, size, lease.MaxNoteBytes)
	}
	var members []string
	for _, address := range agent.member.Status().Members {
		members = append(members, address)
	}
	if len(members) == 0 { // a joining member has no list of members yet: its own agent redirects to the leader
		members = []string{agent.identity.Address}
	}
	return &failoverParticipant{
		agent:     agent,
		options:   options,
		client:    NewClient(members, agent.httpClient.Transport),
		collector: failover.NewCollector(zones, classes),
		digests:   map[string]failover.Digest{},
	}, nil
}

// registerRoutes registers the handlers for the requests of nodes and of other agents.
func (f *failoverParticipant) registerRoutes(ctx context.Context, mux *http.ServeMux) {
	mux.HandleFunc("POST /digest", f.handleDigest)
	mux.HandleFunc("POST "+pathDigests, f.handleDigests)
	mux.HandleFunc("GET /plan", func(w http.ResponseWriter, _ *http.Request) { f.handlePlan(ctx, w) })
}

// handleDigest stores the digest of a node until it is forwarded. Its values are checked only by the failover leader.
func (f *failoverParticipant) handleDigest(w http.ResponseWriter, r *http.Request) {
	var digest failover.Digest
	if !readRequest(w, r, &digest) {
		return
	}
	f.mu.Lock()
	if _, known := f.digests[digest.Node]; known || len(f.digests) < failover.MaxNodes {
		f.digests[digest.Node] = digest
	}
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// handleDigests accepts the digests that another agent forwards for its nodes.
func (f *failoverParticipant) handleDigests(w http.ResponseWriter, r *http.Request) {
	var digests []failover.Digest
	if r.Header.Get(groupHeader) != f.agent.identity.Group {
		http.Error(w, "not of this group", http.StatusForbidden)
		return
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDigestsBytes)).Decode(&digests); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.addDigests(digests)
	w.WriteHeader(http.StatusNoContent)
}

// handlePlan answers with the current plan as this agent knows it, which may be stale.
func (f *failoverParticipant) handlePlan(ctx context.Context, w http.ResponseWriter) {
	current, err := f.currentLeadership(ctx)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case current.plan == "":
		http.Error(w, "there is no plan", http.StatusNotFound)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, current.plan) // fails if the client has disconnected
	}
}

func (f *failoverParticipant) addDigests(digests []failover.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, digest := range digests {
		f.collector.Add(digest, f.agent.options.Clock())
	}
}

// leadership holds the current plan and the address of the failover leader. Each is empty if there is none.
type leadership struct{ plan, leader string }

// currentLeadership returns the plan and the failover leader as this agent knows them, which may be stale.
func (f *failoverParticipant) currentLeadership(ctx context.Context) (leadership, error) {
	results := make(chan leadership, 1)
	task := func() {
		var current leadership
		for _, l := range f.agent.member.Status().Leases {
			if l.Name != failoverLeaseName {
				continue
			}
			current.plan = l.Note
			if len(l.Grants) > 0 {
				current.leader = l.Grants[0].Holder
			}
		}
		results <- current
	}
	if !f.agent.enqueueTask(task) {
		return leadership{}, errAgentBusy
	}
	select {
	case current := <-results:
		return current, nil
	case <-f.agent.stopped:
	case <-ctx.Done():
	}
	return leadership{}, errAgentStopped
}

// forwardDigests sends the digests of this agent's nodes to the failover leader, once per failoverInterval until ctx
// ends.
func (f *failoverParticipant) forwardDigests(ctx context.Context) {
	ticker := time.NewTicker(failoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current, err := f.currentLeadership(ctx)
		if err != nil || current.leader == "" {
			continue // the digests stay; newer ones of the same nodes replace them
		}
		digests := f.takeDigests()
		if current.leader == f.agent.identity.Address {
			f.addDigests(digests)
		} else if len(digests) > 0 {
			f.sendDigests(ctx, current.leader, digests)
		}
	}
}

// takeDigests removes and returns the digests that have not been forwarded.
func (f *failoverParticipant) takeDigests() []failover.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var digests []failover.Digest
	for _, digest := range f.digests {
		digests = append(digests, digest)
	}
	clear(f.digests)
	return digests
}

// sendDigests sends digests to another agent. A failure is not retried, since nodes soon send newer digests.
func (f *failoverParticipant) sendDigests(ctx context.Context, address string, digests []failover.Digest) {
	raw, err := json.Marshal(digests)
	if err != nil {
		return // impossible: values decoded from JSON can be encoded again
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathDigests, bytes.NewReader(raw))
	if err != nil {
		return
	}
	request.Header.Set(groupHeader, f.agent.identity.Group)
	if response, err := f.agent.httpClient.Do(request); err == nil {
		closeBody(response)
	}
}

// campaign repeatedly acquires the failover leader's lease and publishes plans while this agent holds it, until ctx
// ends.
func (f *failoverParticipant) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		leaderLease, err := Acquire(ctx, f.client, LeaseOptions{
			Name:          failoverLeaseName,
			Duration:      failoverLeaseDuration,
			Margin:        failoverInterval / 2,
			Holder:        f.agent.identity.Address,
			Clock:         f.agent.options.Clock,
			RetryInterval: failoverInterval,
		})
		if err == nil {
			f.agent.log.Info("failover leadership changed", "is_leader", true)
			err = f.publishPlans(ctx, leaderLease)
			f.agent.log.Info("failover leadership changed", "is_leader", false, "err", err)
			f.releaseLease(ctx, leaderLease)
		}
		_ = sleepContext(ctx, failoverInterval) // the loop ends with ctx
	}
}

// releaseLease releases the lease unless it has become uncertain, so that the next leader need not wait for its expiry.
func (f *failoverParticipant) releaseLease(ctx context.Context, leaderLease *Lease) {
	if leaderLease.EndReason() != nil {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), failoverInterval)
	defer stop()
	_ = leaderLease.Release(ctx) // on failure the lease expires by itself
}

// publishPlans publishes a plan per failoverInterval until ctx ends, the lease becomes uncertain, or a plan can't be
// published.
func (f *failoverParticipant) publishPlans(ctx context.Context, leaderLease *Lease) error {
	planner, err := failover.NewPlanner(f.options.Topology, f.options.PriorityWeights, f.options.Rules)
	if err != nil {
		return err
	}
	last, err := f.lastPlan(ctx)
	if err != nil {
		return err
	}
	start := f.agent.options.Clock()
	if last != nil && last.Check(len(f.options.Topology.Zones), len(f.options.PriorityWeights)) == nil {
		planner.Adopt(last, start)
	}
	ticker := time.NewTicker(failoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-leaderLease.Uncertain():
			return leaderLease.EndReason()
		case <-ticker.C:
		}
		now := f.agent.options.Clock()
		if now-start < digestCollectionTime {
			continue
		}
		err := f.publishPlan(ctx, leaderLease, planner, now, f.totals(now))
		// If no capacity is known, the last plan remains in the note until nodes consider it too old.
		if err != nil && !errors.Is(err, failover.ErrNoCapacity) {
			return err
		}
	}
}

func (f *failoverParticipant) totals(now time.Duration) failover.Totals {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.collector.Totals(now)
}

// publishPlan makes the next plan, and stores it in the note of the lease.
func (f *failoverParticipant) publishPlan(
	ctx context.Context, leaderLease *Lease, planner *failover.Planner, now time.Duration, totals failover.Totals,
) error {
	grant, err := leaderLease.BeginAction(failoverInterval)
	if err != nil {
		return err
	}
	plan, err := planner.Step(now, grant.Token, totals)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, failoverLeaseDuration)
	defer stop()
	if err := leaderLease.SetNote(ctx, string(raw)); err != nil {
		return fmt.Errorf("plan %d/%d: %w", plan.Token, plan.Revision, err)
	}
	return nil
}

// lastPlan returns the plan that was published last, or nil if there is none or this version can't decode it.
func (f *failoverParticipant) lastPlan(ctx context.Context) (*failover.Plan, error) {
	status, err := f.client.ReadStatus(ctx)
	if err != nil {
		return nil, err
	}
	for _, l := range status.Leases {
		if l.Name == failoverLeaseName && l.Note != "" {
			var plan failover.Plan
			if json.Unmarshal([]byte(l.Note), &plan) != nil {
				return nil, nil
			}
			return &plan, nil
		}
	}
	return nil, nil
}
