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
	return &cli.Command{Name: "rollout", Usage: "change nodes site by site, a few at a time; whoever holds the lease goes on where the one before died",
		ArgsUsage: "-- COMMAND…", Action: runRollout, Flags: []cli.Flag{agentsFlag(),
			&cli.StringFlag{Name: "nodes", Usage: "`FILE` of the fleet: [[node]] name, site, operator, listen", Required: true},
			&cli.StringFlag{Name: "change", Usage: "`NAME` of this change: the same for whoever may take over", Required: true},
			&cli.IntFlag{Name: "at-once", Value: 1, Usage: "`N` nodes of one site away at a time"},
			&cli.StringFlag{Name: "lease", Value: "roll", Usage: "`NAME` of the lease"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "`TIME` that the lease lasts without being renewed"},
			&cli.DurationFlag{Name: "wait", Usage: "`TIME` to wait for the lease while another holds it, to take over"},
			&cli.DurationFlag{Name: "settle", Value: 5 * time.Second, Usage: "`TIME` from a node's standby to the command: for clients to go"},
			&cli.DurationFlag{Name: "up", Value: time.Minute, Usage: "`TIME` for a node to serve after the command"},
			withinFlag()}}
}

// callWithin is the longest that a call to a node may take, from its check to its end there.
const callWithin = 1500 * time.Millisecond

// roller carries out what a Roll says.
type roller struct {
	cmd  *cli.Command
	l    *agent.Lease
	args []string
	http *http.Client
	mu   sync.Mutex // of the notes, which are to arrive in order
	roll *rollout.Rollout
}

func runRollout(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) == 0 {
		return errors.New("roll: -- COMMAND, please")
	}
	if cmd.Int("at-once") < 1 {
		return fmt.Errorf("--at-once: %d is below 1", cmd.Int("at-once"))
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
	if _, err := rollout.New(fleet.Node, cmd.Int("at-once"), cmd.String("change"), ""); err != nil {
		return fmt.Errorf("%s: %w", cmd.String("nodes"), err)
	}
	c := agent.NewClient(cmd.StringSlice("agents"), nil)
	within, again := cmd.Duration("within"), time.Duration(0)
	if wait := cmd.Duration("wait"); wait > 0 {
		within, again = max(within, wait), 300*time.Millisecond
	}
	asked, stop := context.WithTimeout(ctx, within)
	l, err := agent.Acquire(asked, c, agent.LeaseOptions{Name: cmd.String("lease"), Duration: cmd.Duration("for"), Margin: margin, RetryInterval: again})
	stop()
	if err != nil {
		return negativeAnswer("roll: lease %s: %v", cmd.String("lease"), err)
	}
	defer releaseWithin(ctx, cmd, l, cmd.Duration("within"))
	note, err := readNote(ctx, c, l, cmd.Duration("within"))
	if err != nil {
		return negativeAnswer("roll: %v", err)
	}
	r := &roller{cmd: cmd, l: l, args: args, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}}
	if r.roll, err = rollout.New(fleet.Node, cmd.Int("at-once"), cmd.String("change"), note); err != nil {
		return negativeAnswer("roll: %v; finish that first, or end it: tulipctl lease note %s \"\"", err, cmd.String("lease"))
	}
	// Nodes that are done learn of this holder, so that they refuse the one before, should it go on.
	for _, n := range fleet.Node {
		for _, name := range r.roll.Finished() {
			if n.Name == name && note != "" {
				if err := r.put(ctx, n, "active"); err != nil {
					return negativeAnswer("roll: %v", err)
				}
			}
		}
	}
	return r.runAll(ctx, len(fleet.Node))
}

// readNote is what the holder before has left.
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

// runAll goes on until there is nothing left to do, or something has failed.
func (r *roller) runAll(ctx context.Context, of int) error {
	type end struct {
		rollout.Task
		err error
	}
	ends := make(chan end)
	var failed error
	for {
		r.mu.Lock()
		tasks := r.roll.Next()
		r.mu.Unlock()
		if err := r.note(ctx, func() {}); err != nil {
			failed = errors.Join(failed, err)
			r.mu.Lock()
			for _, t := range tasks {
				r.roll.Failed(t.Name)
			}
			r.mu.Unlock()
			tasks = nil
		}
		for _, t := range tasks {
			go func() { ends <- end{t, r.runNode(ctx, t)} }()
		}
		if r.running() == 0 {
			break
		}
		e := <-ends
		r.mu.Lock()
		if e.err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", e.Name, e.err))
			r.roll.Failed(e.Name)
		} else {
			r.roll.Done(e.Name)
			fmt.Fprintf(r.cmd.Root().Writer, "%s: done, %d of %d\n", e.Name, len(r.roll.Finished()), of)
		}
		r.mu.Unlock()
	}
	if failed != nil {
		return negativeAnswer("roll: %v; what was begun is written down: the same command goes on", failed)
	}
	fmt.Fprintf(r.cmd.Root().Writer, "%s: all %d nodes are done\n", r.cmd.String("change"), of)
	return nil
}

func (r *roller) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roll.Running()
}

// note changes the roll, and writes it down before it returns.
func (r *roller) note(ctx context.Context, change func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	if why := r.l.Reason(); why != nil {
		return why
	}
	ctx, stop := context.WithTimeout(ctx, r.cmd.Duration("within"))
	defer stop()
	return r.l.Note(ctx, r.roll.Note())
}

// runNode takes one node through what is left of its steps.
func (r *roller) runNode(ctx context.Context, t rollout.Task) error {
	fmt.Fprintf(r.cmd.Root().Writer, "%s: %s%s\n", t.Name, t.Step, map[bool]string{true: ", taken over"}[t.Retry])
	step := t.Step
	if t.Retry && step == rollout.Change {
		if step = r.currentStep(ctx, t.Node); step == rollout.Resume {
			fmt.Fprintf(r.cmd.Root().Writer, "%s: it has had the command\n", t.Name)
		}
	}
	if step == rollout.Standby {
		if err := r.put(ctx, t.Node, "standby"); err != nil && !t.Retry { // of one that died meanwhile the command makes a new one
			return err
		}
		if err := pause(ctx, r.cmd.Duration("settle")); err != nil {
			return err
		}
		if err := r.note(ctx, func() { r.roll.Reached(t.Name, rollout.Change) }); err != nil {
			return err
		}
		step = rollout.Change
	}
	if step == rollout.Change {
		if _, err := r.l.BeginAction(0); err != nil {
			return err
		}
		if err := underLease(ctx, r.cmd, r.l, []string{"TULIP_NODE=" + t.Name, "TULIP_SITE=" + t.Site, "TULIP_OPERATOR=" + t.Admin,
			"TULIP_LISTEN=" + t.Listen}, r.args); err != nil {
			return fmt.Errorf("command: %w", err)
		}
		if err := r.note(ctx, func() { r.roll.Reached(t.Name, rollout.Resume) }); err != nil {
			return err
		}
	}
	for till := time.Now().Add(r.cmd.Duration("up")); !r.succeeds(ctx, "GET", "http://"+t.Admin+"/status"); {
		if time.Now().After(till) {
			return fmt.Errorf("it does not serve within %v after the command", r.cmd.Duration("up"))
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return r.put(ctx, t.Node, "active")
}

// currentStep finds out whether a node has had the command whose caller died: a standby does not outlive the process.
func (r *roller) currentStep(ctx context.Context, n rollout.Node) rollout.Step {
	for range 100 { // what has just been started needs its list of backends first
		switch {
		case !r.succeeds(ctx, "GET", "http://"+n.Admin+"/status"):
		case r.succeeds(ctx, "GET", "http://"+n.Listen+"/ready"):
			return rollout.Resume
		default:
			return rollout.Change
		}
		if pause(ctx, 50*time.Millisecond) != nil {
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

func (r *roller) succeeds(ctx context.Context, method, url string) bool {
	status, _, err := r.call(ctx, method, url)
	return err == nil && status == 200
}

func (r *roller) call(ctx context.Context, method, url string) (status int, text string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, string(raw), err
}

// put makes an operator's call under the lease; it is repeated for a while where the node does not answer.
func (r *roller) put(ctx context.Context, n rollout.Node, what string) error {
	var last error
	for range 5 {
		g, err := r.l.BeginAction(callWithin)
		if err != nil {
			return err
		}
		status, text, err := r.call(ctx, "PUT", withLeaseToken(g, "http://"+n.Admin+"/"+what))
		switch {
		case err == nil && status == 200:
			return nil
		case err == nil && status == 409:
			return fmt.Errorf("PUT /%s: %s", what, text)
		case err == nil:
			err = fmt.Errorf("status %d: %s", status, text)
		}
		last = fmt.Errorf("PUT /%s: %w", what, err)
		if err := pause(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return last
}

func withLeaseToken(g lease.Grant, url string) string {
	return fmt.Sprintf("%s?lease=%s&seat=%d&token=%d", url, g.Name, g.Slot, g.Token)
}
