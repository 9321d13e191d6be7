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

// FailoverOptions has an agent take part in failover: it takes in what its machine's nodes tell, and is the director when it has the seat.
type FailoverOptions struct {
	Topology        failover.Topology
	PriorityWeights []float64 // by class, of a core-second
	Rules           failover.Rules
}

const (
	// directorLease is the director's seat. Its note is the plan: so plans go through the group's log, and only the holder's do.
	directorLease = "director"
	directorFor   = 2 * time.Second
	// each is how often nodes tell, agents pass on, and the director plans.
	each = 500 * time.Millisecond
	// listens is for how long a new director only listens: so that all that tell have been heard.
	listens = 3 * each
	// digestsMost is how many bytes those of one agent may have: 4 KB for each node that a Collector keeps.
	digestsMost = failover.MaxNodes << 12
)

// director is an agent's part in failover.
type director struct {
	a      *Agent
	p      FailoverOptions
	client *Client

	mu   sync.Mutex
	sums *failover.Collector        // as director
	told map[string]failover.Digest // by the nodes of this agent, since they were passed on last
}

func newDirector(a *Agent, p FailoverOptions) (*director, error) {
	if _, err := failover.NewPlanner(p.Topology, p.PriorityWeights, p.Rules); err != nil {
		return nil, err
	}
	if size := failover.PlanSize(len(p.Topology.Zones), len(p.PriorityWeights)); size > lease.MaxNoteBytes {
		return nil, fmt.Errorf("topology: a plan of %d zones and %d classes may have %d bytes, and a note %d", len(p.Topology.Zones), len(p.PriorityWeights), size,
			lease.MaxNoteBytes)
	}
	var members []string
	for _, address := range a.member.Status().Members {
		members = append(members, address)
	}
	if len(members) == 0 { // one that joins knows nobody but itself yet, and is sent on
		members = []string{a.who.Address}
	}
	return &director{a: a, p: p, client: NewClient(members, a.client.Transport), told: map[string]failover.Digest{},
		sums: failover.NewCollector(len(p.Topology.Zones), len(p.PriorityWeights))}, nil
}

// routes are what nodes, and other agents, ask.
func (d *director) routes(ctx context.Context, mux *http.ServeMux) {
	mux.HandleFunc("POST /digest", func(w http.ResponseWriter, r *http.Request) { // of a node
		var in failover.Digest
		if !read(w, r, &in) {
			return
		}
		d.mu.Lock()
		if _, known := d.told[in.Node]; known || len(d.told) < failover.MaxNodes {
			d.told[in.Node] = in // what is wrong with it the director finds
		}
		d.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /digests", func(w http.ResponseWriter, r *http.Request) { // of another agent's nodes
		var in []failover.Digest
		if r.Header.Get(headGroup) != d.a.who.Group {
			http.Error(w, "not of this group", http.StatusForbidden)
			return
		}
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, digestsMost)).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.take(in)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /plan", func(w http.ResponseWriter, r *http.Request) { // as far as this agent knows
		plan, _, err := d.known(ctx)
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case plan == "":
			http.Error(w, "there is no plan", http.StatusNotFound)
		default:
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, plan) // whoever asked may have gone
		}
	})
}

func (d *director) take(in []failover.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, one := range in {
		d.sums.Add(one, d.a.o.Clock())
	}
}

// known is the plan and the director's address, as far as this agent knows.
func (d *director) known(ctx context.Context) (plan, who string, err error) {
	type is struct{ plan, who string }
	got := make(chan is, 1)
	if !d.a.ask(func() {
		var i is
		for _, l := range d.a.member.Status().Leases {
			if l.Name == directorLease {
				if i.plan = l.Note; len(l.Grants) > 0 {
					i.who = l.Grants[0].Holder
				}
			}
		}
		got <- i
	}) {
		return "", "", errors.New("this agent is too busy")
	}
	select {
	case i := <-got:
		return i.plan, i.who, nil
	case <-d.a.down:
	case <-ctx.Done():
	}
	return "", "", errors.New("this agent ends")
}

// pass brings what this agent's nodes have told to the director.
func (d *director) pass(ctx context.Context) {
	tick := time.NewTicker(each)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		_, who, err := d.known(ctx)
		if err != nil || who == "" {
			continue // what is told meanwhile takes the place of what was
		}
		d.mu.Lock()
		var list []failover.Digest
		for _, one := range d.told {
			list = append(list, one)
		}
		clear(d.told)
		d.mu.Unlock()
		if who == d.a.who.Address {
			d.take(list)
		} else if len(list) > 0 {
			d.post(ctx, who, list)
		}
	}
}

func (d *director) post(ctx context.Context, who string, list []failover.Digest) {
	raw, err := json.Marshal(list)
	if err != nil {
		return // numbers that JSON does not have were never read
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+who+"/digests", bytes.NewReader(raw))
	if err != nil {
		return
	}
	req.Header.Set(headGroup, d.a.who.Group)
	if resp, err := d.a.client.Do(req); err == nil { // what is lost is told anew
		_ = resp.Body.Close()
	}
}

// direct plans whenever this agent has the seat.
func (d *director) direct(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := Acquire(ctx, d.client, LeaseOptions{Name: directorLease, Duration: directorFor, Margin: each / 2, Holder: d.a.who.Address, Clock: d.a.o.Clock, RetryInterval: each})
		if err == nil {
			d.a.log.Info("director", "directs", true)
			err = d.plan(ctx, l)
			d.a.log.Info("director", "directs", false, "err", err)
			if l.Reason() == nil {
				release, stop := context.WithTimeout(context.WithoutCancel(ctx), each)
				_ = l.Release(release) // it ends by itself
				stop()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(each):
		}
	}
}

// plan publishes plans until the seat is in doubt.
func (d *director) plan(ctx context.Context, l *Lease) error {
	planner, err := failover.NewPlanner(d.p.Topology, d.p.PriorityWeights, d.p.Rules)
	if err != nil {
		return err
	}
	last, err := d.last(ctx)
	if err != nil {
		return err
	}
	now := d.a.o.Clock()
	if last != nil && last.Check(len(d.p.Topology.Zones), len(d.p.PriorityWeights)) == nil {
		planner.Adopt(last, now)
	}
	tick := time.NewTicker(each)
	defer tick.Stop()
	for begun := now; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.Uncertain():
			return l.Reason()
		case <-tick.C:
		}
		if now = d.a.o.Clock(); now-begun < listens {
			continue
		}
		d.mu.Lock()
		sums := d.sums.Totals(now)
		d.mu.Unlock()
		err := d.publish(ctx, l, planner, now, sums)
		if err != nil && !errors.Is(err, failover.ErrNoCapacity) { // what there is grows old by itself
			return err
		}
	}
}

func (d *director) publish(ctx context.Context, l *Lease, planner *failover.Planner, now time.Duration, sums failover.Totals) error {
	g, err := l.BeginAction(each)
	if err != nil {
		return err
	}
	plan, err := planner.Step(now, g.Token, sums)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, directorFor)
	defer stop()
	if err := l.Note(ctx, string(raw)); err != nil {
		return fmt.Errorf("plan %d/%d: %w", plan.Token, plan.Revision, err)
	}
	return nil
}

// last is the plan that was agreed on last.
func (d *director) last(ctx context.Context) (*failover.Plan, error) {
	v, err := d.client.ReadStatus(ctx)
	if err != nil {
		return nil, err
	}
	for _, l := range v.Leases {
		if l.Name == directorLease && l.Note != "" {
			var plan failover.Plan
			if err := json.Unmarshal([]byte(l.Note), &plan); err != nil {
				return nil, nil // of another version: it is not gone on from
			}
			return &plan, nil
		}
	}
	return nil, nil
}
