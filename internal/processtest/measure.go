package processtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"tulipglade/internal/agent"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

// Measured is what a group of agents costs and does, with relays between its members.
type Measured struct {
	Agents    int                     `json:"agents"`
	Elections *hdrhistogram.Histogram `json:"-"` // ms from the leader's kill until another led
	Idle      Cost                    `json:"idle"`
	Holding   Cost                    `json:"holding"` // while so many hold a lease each
	Holders   int                     `json:"holders"`
	GrantsPS  float64                 `json:"grants_per_s"` // acquisitions and as many releases, each synced by a majority
	Latency   *hdrhistogram.Histogram `json:"-"`            // of these, us
	Rush      time.Duration           `json:"rush"`         // until each of Holders that asked at once has had its turn at one lease
}

// Cost is that of one agent, the mean of all.
type Cost struct {
	CPU    float64 `json:"cpu_share"` // of one core
	Memory float64 `json:"memory_mb"`
	Pieces float64 `json:"pieces_per_s"` // that it sends to other agents: messages, and answers to none of them
}

// Measure starts so many agents and measures them.
func Measure(ctx context.Context, agents, elections, holders int, length time.Duration) (m Measured, err error) {
	m = Measured{Agents: agents, Holders: holders, Elections: hdrhistogram.New(1, 60_000, 3), Latency: hdrhistogram.New(1, 60_000_000, 3)}
	r, err := Start(Options{Agents: agents, Terms: lease.Terms{Interval: 200 * time.Millisecond, Drift: 0.01}, LeaseDuration: 5 * time.Second})
	if err != nil {
		return m, err
	}
	defer r.Stop()
	leads := func(e Event) bool { return e.Kind == "lead" && strings.Contains(e.Text, "leads=true") }
	_, at, err := r.Await(ctx, 0, leads)
	if err != nil {
		return m, err
	}
	if m.Idle, err = r.cost(ctx, length); err != nil {
		return m, err
	}
	var addrs []string
	for _, p := range r.parts[:agents] {
		addrs = append(addrs, p.Listen)
	}
	if err := m.grants(ctx, addrs, length); err != nil {
		return m, err
	}
	if err := m.hold(ctx, r, addrs, length); err != nil {
		return m, err
	}
	for range elections {
		was := r.parts[max(r.Leader(), 0)].Name
		end := r.Fault(faultinject.Fault{Kind: faultinject.ProcessKill, Processes: []int{-1}})
		killed := agent.Clock()
		e, next, err := r.Await(ctx, at, func(e Event) bool { return leads(e) && e.At > killed })
		if err != nil {
			return m, err
		}
		at = next
		if err := m.Elections.RecordValue(max((e.At - killed).Milliseconds(), 1)); err != nil {
			return m, err
		}
		end()
		if _, _, err := r.Await(ctx, at, func(e Event) bool { return e.Process == was && e.Kind == "leader" && e.Text != "" }); err != nil { // it is there again
			return m, err
		}
	}
	return m, nil
}

// grants has 64 clients take and release a lease each as fast as they can.
func (m *Measured) grants(ctx context.Context, addrs []string, length time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	c := agent.NewClient(addrs, nil)
	var done atomic.Int64
	took := make(chan time.Duration, 1<<20)
	var g errgroup.Group
	began := time.Now()
	for i := range 64 {
		g.Go(func() error {
			name := fmt.Sprint("grants", i)
			for ask := uint64(1); ctx.Err() == nil; ask++ {
				from := time.Now()
				grant, err := c.Do(ctx, "acquire", lease.Command{Name: name, Holder: name, RequestID: ask, Ticks: 1000})
				if err == nil {
					took <- time.Since(from)
					done.Add(1)
					_, err = c.Do(ctx, "release", lease.Command{Name: name, Token: grant.Token})
				}
				if err != nil && !errors.Is(err, agent.ErrNoMembers) {
					return err
				}
			}
			return nil
		})
	}
	err := g.Wait()
	m.GrantsPS = float64(done.Load()) / time.Since(began).Seconds()
	close(took)
	for d := range took {
		err = errors.Join(err, m.Latency.RecordValue(d.Microseconds()))
	}
	return err
}

// hold has so many clients hold a lease each, and then all want the same one.
func (m *Measured) hold(ctx context.Context, r *Harness, addrs []string, length time.Duration) error {
	clients, held := make([]*agent.Client, m.Holders), make([]*agent.Lease, m.Holders)
	var g errgroup.Group
	for i := range clients {
		clients[i] = agent.NewClient(addrs, nil)
		g.Go(func() (err error) {
			held[i], err = agent.Acquire(ctx, clients[i], agent.LeaseOptions{Name: fmt.Sprint("node", i), Duration: 5 * time.Second})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var err error
	if m.Holding, err = r.cost(ctx, length); err != nil {
		return err
	}
	var rush errgroup.Group
	began := time.Now()
	for i, l := range held {
		rush.Go(func() error {
			if why := l.Reason(); why != nil {
				return fmt.Errorf("a lease was lost with nothing wrong: %w", why)
			}
			if err := l.Release(ctx); err != nil {
				return err
			}
			one, err := agent.Acquire(ctx, clients[i], agent.LeaseOptions{Name: "rush", Duration: 5 * time.Second, RetryInterval: 100 * time.Millisecond})
			if err != nil {
				return err
			}
			return one.Release(ctx)
		})
	}
	err = rush.Wait()
	m.Rush = time.Since(began)
	return err
}

// cost is what an agent costs over a time, the mean of all.
func (r *Harness) cost(ctx context.Context, length time.Duration) (c Cost, err error) {
	look := func() (ticks, kb, pieces float64, err error) {
		for i := range r.o.Agents {
			r.mu.Lock()
			pid := r.parts[i].cmd.Process.Pid
			r.mu.Unlock()
			raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			if err != nil {
				return 0, 0, 0, err
			}
			_, rest, _ := strings.Cut(string(raw), ") ")
			fields := strings.Fields(rest) // from the third of proc_pid_stat(5) on
			for _, f := range fields[11:13] {
				n, err := strconv.ParseFloat(f, 64)
				if err != nil {
					return 0, 0, 0, err
				}
				ticks += n
			}
			pages, err := strconv.ParseFloat(fields[21], 64)
			if err != nil {
				return 0, 0, 0, err
			}
			kb += pages * float64(os.Getpagesize()) / 1024
		}
		for _, way := range r.relays {
			pieces += float64(way.pieces.Load())
		}
		return ticks, kb, pieces, nil
	}
	ticks, _, pieces, err := look()
	if err != nil {
		return c, err
	}
	began := time.Now()
	if err := sleep(ctx, length, length); err != nil {
		return c, err
	}
	after, kb, sent, err := look()
	n, s := float64(r.o.Agents), time.Since(began).Seconds()
	const ticksPerS = 100 // of Linux, for all that is told to processes
	return Cost{CPU: (after - ticks) / ticksPerS / s / n, Memory: kb / 1024 / n, Pieces: (sent - pieces) / s / n}, err
}
