package processtest

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"tulipglade/internal/agent"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

// Measurement holds the performance and cost of a group of agents whose connections pass through relays.
type Measurement struct {
	Agents          int                     `json:"agents"`
	Elections       *hdrhistogram.Histogram `json:"-"` // ms from the kill of the leader to the next election
	Idle            Cost                    `json:"idle"`
	Holding         Cost                    `json:"holding"` // while each of the holders holds a lease of its own
	Holders         int                     `json:"holders"`
	GrantsPerSecond float64                 `json:"grants_per_s"` // acquisitions; see measureGrants
	Latency         *hdrhistogram.Histogram `json:"-"`            // latency of the acquisitions, in µs
	// ContendedLeaseTime is the time until each of the holders, which start together, has held the same lease once.
	ContendedLeaseTime time.Duration `json:"rush"`
}

// Parameters of the measurements.
const (
	measuredInterval      = 200 * time.Millisecond
	measuredDrift         = 0.01
	measuredLeaseDuration = 5 * time.Second
	measuredGrantTicks    = 1000
	grantClients          = 64
	latencySamples        = 1 << 20
	rushRetryInterval     = 100 * time.Millisecond

	longestElectionMs = 60_000
	longestLatencyUs  = 60_000_000
	histogramDigits   = 3
)

// Measure starts a group of agents and measures, in this order, its cost when idle, the rate and latency of
// acquisitions, its cost and the contention for a lease with many holders, and the duration of elections.
func Measure(ctx context.Context, agents, elections, holders int, length time.Duration) (m Measurement, err error) {
	m = Measurement{
		Agents:    agents,
		Holders:   holders,
		Elections: hdrhistogram.New(1, longestElectionMs, histogramDigits),
		Latency:   hdrhistogram.New(1, longestLatencyUs, histogramDigits),
	}
	h, err := Start(Options{
		Agents:        agents,
		Terms:         lease.Terms{Interval: measuredInterval, Drift: measuredDrift},
		LeaseDuration: measuredLeaseDuration,
	})
	if err != nil {
		return m, err
	}
	defer h.Stop()
	_, position, err := h.Await(ctx, 0, Event.becomesLeader)
	if err != nil {
		return m, err
	}
	if m.Idle, err = h.cost(ctx, length); err != nil {
		return m, err
	}
	if err := m.measureGrants(ctx, h.agentAddresses(), length); err != nil {
		return m, err
	}
	if err := m.measureHolders(ctx, h, length); err != nil {
		return m, err
	}
	err = m.measureElections(ctx, h, position, elections)
	return m, err
}

// measureGrants measures acquisitions while each client acquires and releases a lease of its own as fast as it can.
// There are as many releases as acquisitions, and a majority of the agents syncs each of them to disk.
func (m *Measurement) measureGrants(ctx context.Context, addresses []string, length time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	client := agent.NewClient(addresses, nil)
	var grants atomic.Int64
	latencies := make(chan time.Duration, latencySamples)
	var group errgroup.Group
	start := time.Now()
	for i := range grantClients {
		group.Go(func() error {
			return acquireAndRelease(ctx, client, fmt.Sprint("grants", i), func(latency time.Duration) {
				latencies <- latency
				grants.Add(1)
			})
		})
	}
	err := group.Wait()
	m.GrantsPerSecond = float64(grants.Load()) / time.Since(start).Seconds()
	close(latencies)
	for latency := range latencies {
		err = errors.Join(err, m.Latency.RecordValue(latency.Microseconds()))
	}
	return err
}

// acquireAndRelease acquires and releases a lease until ctx ends. It calls granted after each acquisition.
func acquireAndRelease(ctx context.Context, client *agent.Client, name string, granted func(latency time.Duration)) error {
	for requestID := uint64(1); ctx.Err() == nil; requestID++ {
		start := time.Now()
		acquire := lease.Command{Name: name, Holder: name, RequestID: requestID, Ticks: measuredGrantTicks}
		grant, err := client.SendCommand(ctx, "acquire", acquire)
		if err == nil {
			granted(time.Since(start))
			_, err = client.SendCommand(ctx, "release", lease.Command{Name: name, Token: grant.Token})
		}
		if err != nil && !errors.Is(err, agent.ErrNoMembers) { // requests return ErrNoMembers when ctx ends
			return err
		}
	}
	return nil
}

// measureHolders measures the cost of the agents while each client holds a lease of its own. It then measures how long
// it takes until each client has held one lease that all of them request at once.
func (m *Measurement) measureHolders(ctx context.Context, h *Harness, length time.Duration) error {
	clients := make([]*agent.Client, m.Holders)
	leases := make([]*agent.Lease, m.Holders)
	var holding errgroup.Group
	for i := range clients {
		clients[i] = agent.NewClient(h.agentAddresses(), nil)
		holding.Go(func() (err error) {
			options := agent.LeaseOptions{Name: fmt.Sprint("node", i), Duration: measuredLeaseDuration}
			leases[i], err = agent.Acquire(ctx, clients[i], options)
			return err
		})
	}
	if err := holding.Wait(); err != nil {
		return err
	}
	var err error
	if m.Holding, err = h.cost(ctx, length); err != nil {
		return err
	}
	var rush errgroup.Group
	start := time.Now()
	for i, held := range leases {
		rush.Go(func() error { return acquireContendedLease(ctx, clients[i], held) })
	}
	err = rush.Wait()
	m.ContendedLeaseTime = time.Since(start)
	return err
}

// acquireContendedLease releases a client's own lease, and then acquires and releases the lease that all clients
// request.
func acquireContendedLease(ctx context.Context, client *agent.Client, held *agent.Lease) error {
	if reason := held.EndReason(); reason != nil {
		return fmt.Errorf("a lease was lost without a fault: %w", reason)
	}
	if err := held.Release(ctx); err != nil {
		return err
	}
	contended, err := agent.Acquire(ctx, client, agent.LeaseOptions{
		Name:          "rush",
		Duration:      measuredLeaseDuration,
		RetryInterval: rushRetryInterval,
	})
	if err != nil {
		return err
	}
	return contended.Release(ctx)
}

// measureElections kills the leader a number of times and records the time until the next leader is elected. It
// restarts each killed agent and waits until that agent follows a leader.
func (m *Measurement) measureElections(ctx context.Context, h *Harness, position, elections int) error {
	for range elections {
		leader := h.processes[max(h.Leader(), 0)].Name
		restart := h.StartFault(faultinject.Fault{Kind: faultinject.ProcessKill, Processes: []int{-1}})
		killed := agent.Clock()
		elected, next, err := h.Await(ctx, position, func(event Event) bool { return event.becomesLeader() && event.At > killed })
		if err != nil {
			return err
		}
		position = next
		if err := m.Elections.RecordValue(max((elected.At - killed).Milliseconds(), 1)); err != nil {
			return err
		}
		restart()
		follows := func(event Event) bool {
			return event.Process == leader && event.Kind == EventLeaderKnown && event.Text != ""
		}
		if _, _, err := h.Await(ctx, position, follows); err != nil {
			return err
		}
	}
	return nil
}
