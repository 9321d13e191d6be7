package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/agent"
	"tulipglade/internal/lease"
	"tulipglade/internal/rollout"
	"tulipglade/internal/tomlfile"
)

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollout",
		Usage:     "run a command for all nodes, site by site and a few at a time; a new lease holder resumes",
		ArgsUsage: "-- COMMAND…",
		Action:    runRollout,
		Flags: []cli.Flag{
			agentsFlag(),
			&cli.StringFlag{Name: "nodes", Usage: "`FILE` of the fleet: [[node]] name, site, operator, listen", Required: true},
			&cli.StringFlag{Name: "change", Usage: "`NAME` of this change: the same for all who may resume it", Required: true},
			&cli.IntFlag{Name: "max-unavailable", Value: 1, Usage: "at most `N` nodes of one site out of service at a time"},
			&cli.StringFlag{Name: "lease", Value: "roll", Usage: "`NAME` of the lease"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "`TIME` that the lease lasts without renewal"},
			&cli.DurationFlag{Name: "wait", Usage: "`TIME` to wait for the lease while another process holds it, to resume its rollout"},
			&cli.DurationFlag{Name: "drain-delay", Value: 5 * time.Second, Usage: "`TIME` from a node's standby to the command, for clients to move"},
			&cli.DurationFlag{Name: "ready-timeout", Value: time.Minute, Usage: "`TIME` within which a node must serve after the command"},
			withinFlag(),
		},
	}
}

// callWithin is the longest time that a call to a node may take, from the check of the lease to its effect on the node.
const callWithin = 1500 * time.Millisecond

const (
	rolloutRetryInterval = 300 * time.Millisecond // between two requests for the lease
	pollInterval         = 50 * time.Millisecond  // between two polls of a node's state
	maxReadyPolls        = 100
	maxPutAttempts       = 5
	putRetryInterval     = 200 * time.Millisecond
)

// rolloutRunner performs the tasks of a rollout under a lease.
type rolloutRunner struct {
	cmd     *cli.Command
	lease   *agent.Lease
	args    []string
	http    *http.Client
	mu      sync.Mutex // guards rollout, and keeps the notes of the lease in order
	rollout *rollout.Rollout
}

func runRollout(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) == 0 {
		return errors.New("rollout: -- COMMAND, please")
	}
	if cmd.Int("max-unavailable") < 1 {
		return fmt.Errorf("--max-unavailable: %d is below 1", cmd.Int("max-unavailable"))
	}
	var fleet struct {
		Node []rollout.Node `toml:"node"`
	}
	if err := tomlfile.Load(cmd.String("nodes"), &fleet); err != nil {
		return fmt.Errorf("--nodes: %w", err)
	}
	if url.QueryEscape(cmd.String("lease")) != cmd.String("lease") {
		return fmt.Errorf("--lease: %q does not go into a node's call as it is", cmd.String("lease"))
	}
	if _, err := rollout.New(fleet.Node, cmd.Int("max-unavailable"), cmd.String("change"), ""); err != nil {
		return fmt.Errorf("%s: %w", cmd.String("nodes"), err)
	}
	c := agent.NewClient(cmd.StringSlice("agents"), nil)
	l, err := acquireLease(ctx, cmd, c, cmd.String("lease"), rolloutRetryInterval)
	if err != nil {
		return negativeAnswer("rollout: lease %s: %v", cmd.String("lease"), err)
	}
	defer releaseWithin(ctx, cmd, l, cmd.Duration("within"))
	note, err := readNote(ctx, c, l, cmd.Duration("within"))
	if err != nil {
		return negativeAnswer("rollout: %v", err)
	}
	r := &rolloutRunner{
		cmd:   cmd,
		lease: l,
		args:  args,
		http:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second},
	}
	if r.rollout, err = rollout.New(fleet.Node, cmd.Int("max-unavailable"), cmd.String("change"), note); err != nil {
		return negativeAnswer("rollout: %v; finish that first, or end it: tulipctl lease note %s \"\"", err, cmd.String("lease"))
	}
	// Finished nodes learn the new token, so that they reject the former holder if it is still running.
	for _, n := range fleet.Node {
		for _, name := range r.rollout.DoneNodes() {
			if n.Name == name && note != "" {
				if err := r.put(ctx, n, "active"); err != nil {
					return negativeAnswer("rollout: %v", err)
				}
			}
		}
	}
	return r.runAll(ctx, len(fleet.Node))
}

// readNote returns the note of the former holder.
func readNote(ctx context.Context, c *agent.Client, l *agent.Lease, within time.Duration) (string, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	v, err := c.ReadStatus(ctx)
	if err != nil {
		return "", err
	}
	g, _ := l.Grant()
	for _, known := range v.Leases {
		if known.Name == g.Name {
			return known.Note, nil
		}
	}
	return "", agent.ErrUncertain
}

// runAll performs tasks until none is left or one has failed.
func (r *rolloutRunner) runAll(ctx context.Context, nodeCount int) error {
	type result struct {
		rollout.Task
		err error
	}
	results := make(chan result)
	var failed error
	for {
		r.mu.Lock()
		tasks := r.rollout.Next()
		r.mu.Unlock()
		if err := r.note(ctx, func() {}); err != nil {
			failed = errors.Join(failed, err)
			r.mu.Lock()
			for _, t := range tasks {
				r.rollout.RecordFailure(t.Name)
			}
			r.mu.Unlock()
			tasks = nil
		}
		for _, t := range tasks {
			go func() { results <- result{t, r.runNode(ctx, t)} }()
		}
		if r.running() == 0 {
			break
		}
		finished := <-results
		r.mu.Lock()
		if finished.err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", finished.Name, finished.err))
			r.rollout.RecordFailure(finished.Name)
		} else {
			r.rollout.RecordDone(finished.Name)
			writef(r.cmd.Root().Writer, "%s: done, %d of %d\n", finished.Name, len(r.rollout.DoneNodes()), nodeCount)
		}
		r.mu.Unlock()
	}
	if failed != nil {
		return negativeAnswer("rollout: %v; what was begun is written down: the same command goes on", failed)
	}
	writef(r.cmd.Root().Writer, "%s: all %d nodes are done\n", r.cmd.String("change"), nodeCount)
	return nil
}

func (r *rolloutRunner) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rollout.RunningTasks()
}

// note changes the rollout's state, and stores it in the lease's note before it returns.
func (r *rolloutRunner) note(ctx context.Context, change func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	if reason := r.lease.Reason(); reason != nil {
		return reason
	}
	ctx, stop := context.WithTimeout(ctx, r.cmd.Duration("within"))
	defer stop()
	return r.lease.SetNote(ctx, r.rollout.Note())
}

// runNode performs what is left of one node's steps.
func (r *rolloutRunner) runNode(ctx context.Context, t rollout.Task) error {
	out := r.cmd.Root().Writer
	writef(out, "%s: %s%s\n", t.Name, t.Step, map[bool]string{true: ", taken over"}[t.Retry])
	step := t.Step
	if t.Retry && step == rollout.Change {
		step = r.currentStep(ctx, t.Node)
		if step == rollout.Resume {
			writef(out, "%s: it has had the command\n", t.Name)
		}
	}
	if step == rollout.Standby {
		if err := r.standBy(ctx, t); err != nil {
			return err
		}
		step = rollout.Change
	}
	if step == rollout.Change {
		if err := r.change(ctx, t); err != nil {
			return err
		}
	}
	if err := r.awaitServing(ctx, t); err != nil {
		return err
	}
	return r.put(ctx, t.Node, "active")
}

// standBy takes a node out of service, and waits for its clients to move.
func (r *rolloutRunner) standBy(ctx context.Context, t rollout.Task) error {
	err := r.put(ctx, t.Node, "standby")
	if err != nil && !t.Retry { // on a retry the process may have ended; the command replaces it
		return err
	}
	if err := pause(ctx, r.cmd.Duration("drain-delay")); err != nil {
		return err
	}
	return r.note(ctx, func() { r.rollout.RecordStep(t.Name, rollout.Change) })
}

// change runs the command for a node.
func (r *rolloutRunner) change(ctx context.Context, t rollout.Task) error {
	if _, err := r.lease.BeginAction(0); err != nil {
		return err
	}
	env := []string{
		"TULIP_NODE=" + t.Name,
		"TULIP_SITE=" + t.Site,
		"TULIP_OPERATOR=" + t.AdminAddress,
		"TULIP_LISTEN=" + t.ClientAddress,
	}
	if err := underLease(ctx, r.cmd, r.lease, env, r.args); err != nil {
		return fmt.Errorf("command: %w", err)
	}
	return r.note(ctx, func() { r.rollout.RecordStep(t.Name, rollout.Resume) })
}

// awaitServing waits until a node answers at its admin address.
func (r *rolloutRunner) awaitServing(ctx context.Context, t rollout.Task) error {
	timeout := r.cmd.Duration("ready-timeout")
	deadline := time.Now().Add(timeout)
	for !r.succeeds(ctx, "GET", "http://"+t.AdminAddress+"/status") {
		if time.Now().After(deadline) {
			return fmt.Errorf("it does not serve within %v after the command", timeout)
		}
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// currentStep finds out whether the command of a former holder has run on a node: standby ends with the node's process.
func (r *rolloutRunner) currentStep(ctx context.Context, n rollout.Node) rollout.Step {
	for range maxReadyPolls { // a new process needs its endpoint list before it is ready
		switch {
		case !r.succeeds(ctx, "GET", "http://"+n.AdminAddress+"/status"):
		case r.succeeds(ctx, "GET", "http://"+n.ClientAddress+"/ready"):
			return rollout.Resume
		default:
			return rollout.Change
		}
		if pause(ctx, pollInterval) != nil {
			break
		}
	}
	return rollout.Change
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (r *rolloutRunner) succeeds(ctx context.Context, method, url string) bool {
	status, _, err := r.call(ctx, method, url)
	return err == nil && status == 200
}

func (r *rolloutRunner) call(ctx context.Context, method, url string) (status int, text string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or the read's error is returned
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, string(raw), err
}

// put calls a node's admin address under the lease, and retries for a while if the node does not answer.
func (r *rolloutRunner) put(ctx context.Context, n rollout.Node, what string) error {
	var last error
	for range maxPutAttempts {
		g, err := r.lease.BeginAction(callWithin)
		if err != nil {
			return err
		}
		status, text, err := r.call(ctx, "PUT", withLeaseToken(g, "http://"+n.AdminAddress+"/"+what))
		switch {
		case err == nil && status == 200:
			return nil
		case err == nil && status == 409:
			return fmt.Errorf("PUT /%s: %s", what, text)
		case err == nil:
			err = fmt.Errorf("status %d: %s", status, text)
		}
		last = fmt.Errorf("PUT /%s: %w", what, err)
		if err := pause(ctx, putRetryInterval); err != nil {
			return err
		}
	}
	return last
}

func withLeaseToken(g lease.Grant, url string) string {
	return fmt.Sprintf("%s?lease=%s&seat=%d&token=%d", url, g.Name, g.Slot, g.Token)
}
