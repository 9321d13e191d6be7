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

// maxCallDuration is the longest time that a call to a node may take, from the check of the lease to the effect of the
// call on the node.
const maxCallDuration = 1500 * time.Millisecond

const (
	rolloutRetryInterval = 300 * time.Millisecond // time between two requests for the lease
	pollInterval         = 50 * time.Millisecond  // time between two polls of a node's state
	maxStatePolls        = 100
	maxPutAttempts       = 5
	putRetryInterval     = 200 * time.Millisecond
)

// rolloutRunner performs the tasks of a rollout while this process holds the lease.
type rolloutRunner struct {
	cmd        *cli.Command
	lease      *agent.Lease
	args       []string
	httpClient *http.Client
	mu         sync.Mutex // guards rollout, and serializes updates of the lease's note
	rollout    *rollout.Rollout
}

func runRollout(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) == 0 {
		return errors.New("rollout: the arguments must be -- COMMAND")
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
		return fmt.Errorf("--lease: %q contains characters that are not allowed in the query of a URL", cmd.String("lease"))
	}
	if _, err := rollout.New(fleet.Node, cmd.Int("max-unavailable"), cmd.String("change"), ""); err != nil {
		return fmt.Errorf("%s: %w", cmd.String("nodes"), err)
	}
	client := agent.NewClient(cmd.StringSlice("agents"), nil)
	held, err := acquireLease(ctx, cmd, client, cmd.String("lease"), rolloutRetryInterval)
	if err != nil {
		return negativeAnswer("rollout: lease %s: %v", cmd.String("lease"), err)
	}
	defer releaseWithin(ctx, cmd, held, cmd.Duration("within"))
	note, err := readNote(ctx, client, held, cmd.Duration("within"))
	if err != nil {
		return negativeAnswer("rollout: %v", err)
	}
	r := &rolloutRunner{
		cmd:        cmd,
		lease:      held,
		args:       args,
		httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second},
	}
	if r.rollout, err = rollout.New(fleet.Node, cmd.Int("max-unavailable"), cmd.String("change"), note); err != nil {
		return negativeAnswer("rollout: %v; finish that first, or end it: tulipctl lease note %s \"\"", err, cmd.String("lease"))
	}
	// Nodes that are done are called with the new token, so that they reject the former holder if it is still running.
	for _, n := range fleet.Node {
		for _, name := range r.rollout.DoneNodes() {
			if n.Name == name && note != "" {
				if err := r.setServiceState(ctx, n, "active"); err != nil {
					return negativeAnswer("rollout: %v", err)
				}
			}
		}
	}
	return r.runAll(ctx, len(fleet.Node))
}

// readNote returns the note of the lease, which the former holder has written.
func readNote(ctx context.Context, c *agent.Client, l *agent.Lease, within time.Duration) (string, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	status, err := c.ReadStatus(ctx)
	if err != nil {
		return "", err
	}
	grant, _ := l.Grant()
	for _, known := range status.Leases {
		if known.Name == grant.Name {
			return known.Note, nil
		}
	}
	return "", agent.ErrUncertain
}

// runAll performs the tasks of the rollout until all are done. After a failure it starts no new tasks, and returns once
// the running ones have ended.
func (r *rolloutRunner) runAll(ctx context.Context, nodeCount int) error {
	type result struct {
		rollout.Task
		err error
	}
	results := make(chan result)
	var failures error
	for {
		r.mu.Lock()
		tasks := r.rollout.Next()
		r.mu.Unlock()
		if err := r.updateNote(ctx, func() {}); err != nil {
			failures = errors.Join(failures, err)
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
		if r.runningTaskCount() == 0 {
			break
		}
		finished := <-results
		r.mu.Lock()
		if finished.err != nil {
			failures = errors.Join(failures, fmt.Errorf("%s: %w", finished.Name, finished.err))
			r.rollout.RecordFailure(finished.Name)
		} else {
			r.rollout.RecordDone(finished.Name)
			writef(r.cmd.Root().Writer, "%s: done, %d of %d\n", finished.Name, len(r.rollout.DoneNodes()), nodeCount)
		}
		r.mu.Unlock()
	}
	if failures != nil {
		return negativeAnswer("rollout: %v; the progress is stored in the note of the lease: run the same command again to continue", failures)
	}
	writef(r.cmd.Root().Writer, "%s: all %d nodes are done\n", r.cmd.String("change"), nodeCount)
	return nil
}

func (r *rolloutRunner) runningTaskCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rollout.RunningTasks()
}

// updateNote applies a change to the rollout's state, and stores the new state in the note of the lease before it
// returns.
func (r *rolloutRunner) updateNote(ctx context.Context, change func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	if reason := r.lease.EndReason(); reason != nil {
		return reason
	}
	ctx, stop := context.WithTimeout(ctx, r.cmd.Duration("within"))
	defer stop()
	return r.lease.SetNote(ctx, r.rollout.Note())
}

// runNode performs the remaining steps of one node's change.
func (r *rolloutRunner) runNode(ctx context.Context, t rollout.Task) error {
	out := r.cmd.Root().Writer
	writef(out, "%s: %s%s\n", t.Name, t.Step, map[bool]string{true: ", taken over"}[t.Retry])
	step := t.Step
	if t.Retry && step == rollout.Change {
		step = r.currentStep(ctx, t.Node)
		if step == rollout.Resume {
			writef(out, "%s: the command has already run\n", t.Name)
		}
	}
	if step == rollout.Standby {
		if err := r.standBy(ctx, t); err != nil {
			return err
		}
		step = rollout.Change
	}
	if step == rollout.Change {
		if err := r.runNodeCommand(ctx, t); err != nil {
			return err
		}
	}
	if err := r.awaitServing(ctx, t); err != nil {
		return err
	}
	return r.setServiceState(ctx, t.Node, "active")
}

// standBy puts a node on standby, and waits for --drain-delay so that its clients can move to other nodes.
func (r *rolloutRunner) standBy(ctx context.Context, t rollout.Task) error {
	err := r.setServiceState(ctx, t.Node, "standby")
	if err != nil && !t.Retry { // on a retry the node's process may have ended; the command starts a new one
		return err
	}
	if err := sleepContext(ctx, r.cmd.Duration("drain-delay")); err != nil {
		return err
	}
	return r.updateNote(ctx, func() { r.rollout.RecordStep(t.Name, rollout.Change) })
}

// runNodeCommand runs the command for a node under the lease, and records that the node is to resume service.
func (r *rolloutRunner) runNodeCommand(ctx context.Context, t rollout.Task) error {
	if _, err := r.lease.BeginAction(0); err != nil {
		return err
	}
	env := []string{
		"TULIP_NODE=" + t.Name,
		"TULIP_SITE=" + t.Site,
		"TULIP_OPERATOR=" + t.AdminAddress,
		"TULIP_LISTEN=" + t.ClientAddress,
	}
	if err := runCommandUnderLease(ctx, r.cmd, r.lease, env, r.args); err != nil {
		return fmt.Errorf("command: %w", err)
	}
	return r.updateNote(ctx, func() { r.rollout.RecordStep(t.Name, rollout.Resume) })
}

// awaitServing waits until a node answers at its admin address, and fails after --ready-timeout.
func (r *rolloutRunner) awaitServing(ctx context.Context, t rollout.Task) error {
	timeout := r.cmd.Duration("ready-timeout")
	deadline := time.Now().Add(timeout)
	for !r.succeeds(ctx, "GET", "http://"+t.AdminAddress+"/status") {
		if time.Now().After(deadline) {
			return fmt.Errorf("no answer at its admin address within %v after the command", timeout)
		}
		if err := sleepContext(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// currentStep determines whether the command of a former holder has already run on a node. A node that is ready is no
// longer on standby, so its process was replaced by the command: the standby state ends with the process.
func (r *rolloutRunner) currentStep(ctx context.Context, n rollout.Node) rollout.Step {
	for range maxStatePolls { // a new process is ready only once it has an endpoint list
		switch {
		case !r.succeeds(ctx, "GET", "http://"+n.AdminAddress+"/status"):
		case r.succeeds(ctx, "GET", "http://"+n.ClientAddress+"/ready"):
			return rollout.Resume
		default:
			return rollout.Change
		}
		if sleepContext(ctx, pollInterval) != nil {
			break
		}
	}
	return rollout.Change
}

func sleepContext(ctx context.Context, d time.Duration) error {
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
	resp, err := r.httpClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // a failure to read the body is returned below
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, string(raw), err
}

// setServiceState sets a node to active or standby by a call to its admin address under the lease. If the call fails,
// it retries up to maxPutAttempts times in all, unless the node answers with status 409.
func (r *rolloutRunner) setServiceState(ctx context.Context, n rollout.Node, state string) error {
	var lastErr error
	for range maxPutAttempts {
		grant, err := r.lease.BeginAction(maxCallDuration)
		if err != nil {
			return err
		}
		status, text, err := r.call(ctx, "PUT", withLeaseToken(grant, "http://"+n.AdminAddress+"/"+state))
		switch {
		case err == nil && status == 200:
			return nil
		case err == nil && status == 409:
			return fmt.Errorf("PUT /%s: %s", state, text)
		case err == nil:
			err = fmt.Errorf("status %d: %s", status, text)
		}
		lastErr = fmt.Errorf("PUT /%s: %w", state, err)
		if err := sleepContext(ctx, putRetryInterval); err != nil {
			return err
		}
	}
	return lastErr
}

func withLeaseToken(g lease.Grant, url string) string {
	return fmt.Sprintf("%s?lease=%s&seat=%d&token=%d", url, g.Name, g.Slot, g.Token)
}
