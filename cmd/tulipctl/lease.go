package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
	"tulipglade/internal/deadlineexec"
	"tulipglade/internal/lease"
)

func agentsFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:     "agents",
		Usage:    "`ADDRESS` of an agent, repeatable",
		Sources:  cli.EnvVars("TULIP_AGENTS"),
		Required: true,
	}
}

func withinFlag() cli.Flag {
	return &cli.DurationFlag{Name: "within", Value: 5 * time.Second, Usage: "timeout `TIME` of calls to the agents"}
}

// agentFlags returns the flags of a sub-command that calls the agents, and those of its own.
func agentFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{agentsFlag(), withinFlag()}, own...)
}

func leaseCommand() *cli.Command {
	name := []cli.Argument{&cli.StringArg{Name: "name", UsageText: "NAME"}}
	return &cli.Command{Name: "lease", Usage: "leases for tasks that a limited number of processes may do at a time", Commands: []*cli.Command{
		{
			Name:   "list",
			Usage:  "list leases and their holders",
			Action: listLeases,
			Flags:  agentFlags(jsonFlag),
		},
		{
			Name:      "show",
			Usage:     "show one lease with its note",
			ArgsUsage: "NAME",
			Arguments: name,
			Action:    listLeases,
			Flags:     agentFlags(jsonFlag),
		},
		{
			Name:      "run",
			Usage:     "hold a lease while a command runs; the command is killed when the lease becomes uncertain",
			ArgsUsage: "NAME -- COMMAND…",
			Action:    runUnderLease,
			Flags: agentFlags(
				&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "`TIME` that the lease lasts without renewal"},
				&cli.DurationFlag{Name: "wait", Usage: "`TIME` to wait for the lease while others hold it"},
			),
		},
		{
			Name:      "release",
			Usage:     "end a lease by its token; its holder may still be acting",
			ArgsUsage: "NAME TOKEN",
			Action:    releaseLease,
			Flags:     agentFlags(),
		},
		{
			Name:      "note",
			Usage:     "replace the note of the last holder; an empty text removes it",
			ArgsUsage: "NAME TEXT",
			Action:    setLeaseNote,
			Flags:     agentFlags(),
		},
		{
			Name:      "slots",
			Usage:     "set how many holders a lease may have at a time",
			ArgsUsage: "NAME NUMBER",
			Action:    setLeaseSlots,
			Flags:     agentFlags(),
		},
	}}
}

func agentsCommand() *cli.Command {
	return &cli.Command{Name: "agents", Usage: "the group of agents that grants leases", Commands: []*cli.Command{
		{
			Name:   "status",
			Usage:  "show the state of each agent",
			Action: printAgentStatus,
			Flags:  agentFlags(jsonFlag),
		},
		{
			Name:   "change",
			Usage:  "add and remove members in one step",
			Action: changeAgents,
			Flags: []cli.Flag{
				agentsFlag(),
				&cli.DurationFlag{Name: "within", Value: time.Minute, Usage: "`TIME` for new members to catch up"},
				&cli.StringSliceFlag{Name: "add", Usage: "`ID=ADDRESS` of a new member, repeatable"},
				&cli.StringSliceFlag{Name: "remove", Usage: "`ID` of a member to remove, repeatable"},
			},
		},
	}}
}

// agentClient returns a client of the agents, and a context that ends after --within.
func agentClient(ctx context.Context, cmd *cli.Command) (*agent.Client, context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, cmd.Duration("within"))
	return agent.NewClient(cmd.StringSlice("agents"), nil), ctx, stop
}

func listLeases(ctx context.Context, cmd *cli.Command) error {
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	v, err := c.ReadStatus(ctx)
	if err != nil {
		return negativeAnswer("leases: %v", err)
	}
	name := cmd.StringArg("name")
	if cmd.Name == "show" {
		if name == "" {
			return errors.New("lease show: which NAME?")
		}
		v.Leases = slices.DeleteFunc(v.Leases, func(l lease.Lease) bool { return l.Name != name })
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, v.Leases)
	}
	t := table(cmd)
	writeln(t, "name\tslot\tholder\ttoken\texpires within\tslots")
	for _, l := range v.Leases {
		for _, g := range l.Grants {
			// An upper bound: this client does not know how much of the current tick has passed.
			expiresWithin := time.Duration(g.ExpiresAt-v.Tick) * v.Terms.Interval
			writef(t, "%s\t%d\t%s\t%d\t%v\t%d\n", l.Name, g.Slot, g.Holder, g.Token, expiresWithin, l.MaxHolders)
		}
		if len(l.Grants) == 0 {
			writef(t, "%s\t-\t-\t-\t-\t%d\n", l.Name, l.MaxHolders)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, l := range v.Leases {
		if cmd.Name == "show" && l.Note != "" {
			writef(cmd.Root().Writer, "note: %s\n", l.Note)
		}
	}
	if cmd.Name == "show" && len(v.Leases) == 0 {
		return negativeAnswer("nobody holds %q", name)
	}
	return nil
}

// leaseMargin is how long before the earliest end of a lease all actions under it must have ended.
const leaseMargin = 200 * time.Millisecond

// leaseRetryInterval is the time between two requests for a lease that others hold.
const leaseRetryInterval = 200 * time.Millisecond

func runUnderLease(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) > 1 && args[1] == "--" {
		args = slices.Delete(args, 1, 2)
	}
	if len(args) < 2 {
		return errors.New("lease run: NAME -- COMMAND, please")
	}
	if shortest := 2*deadlineexec.TerminationNotice + leaseMargin; cmd.Duration("for") < shortest {
		return fmt.Errorf("--for: %v is below %v", cmd.Duration("for"), shortest)
	}
	c := agent.NewClient(cmd.StringSlice("agents"), nil)
	l, err := acquireLease(ctx, cmd, c, args[0], leaseRetryInterval)
	if err != nil {
		return negativeAnswer("lease %s: %v", args[0], err)
	}
	err = runCommandUnderLease(ctx, cmd, l, nil, args[1:])
	releaseWithin(ctx, cmd, l, max(cmd.Duration("within"), cmd.Duration("wait")))
	if errors.Is(err, deadlineexec.ErrKilled) {
		reason := l.EndReason()
		if ctx.Err() != nil {
			reason = errors.New("interrupted")
		}
		return negativeAnswer("lease %s: %v: the command was ended", args[0], reason)
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return negativeAnswer("lease %s: the command ended with %v", args[0], exit)
	}
	return err
}

// acquireLease acquires a lease by the flags --within, --wait and --for. With --wait it retries while others hold it.
func acquireLease(ctx context.Context, cmd *cli.Command, c *agent.Client, name string, retryInterval time.Duration) (*agent.Lease, error) {
	within, wait := cmd.Duration("within"), cmd.Duration("wait")
	options := agent.LeaseOptions{Name: name, Duration: cmd.Duration("for"), Margin: leaseMargin}
	if wait > 0 {
		within = max(within, wait)
		options.RetryInterval = retryInterval
	}
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	return agent.Acquire(ctx, c, options)
}

// releaseWithin releases a lease, unless it has ended.
func releaseWithin(ctx context.Context, cmd *cli.Command, l *agent.Lease, within time.Duration) {
	if l.EndReason() != nil {
		return
	}
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), within)
	defer stop()
	if err := l.Release(release); err != nil {
		writeln(cmd.Root().ErrWriter, "tulipctl: the lease was not released, and ends by itself:", err)
	}
}

// runCommandUnderLease runs a command that ends before the lease may end, even if this process is stopped.
func runCommandUnderLease(ctx context.Context, cmd *cli.Command, l *agent.Lease, env, args []string) error {
	grant, _ := l.Grant()
	deadline := func() time.Duration { return agent.Clock() + l.Remaining() - leaseMargin }
	leaseEnv := []string{
		"TULIP_LEASE=" + grant.Name,
		fmt.Sprint("TULIP_LEASE_SEAT=", grant.Slot),
		fmt.Sprint("TULIP_LEASE_TOKEN=", grant.Token),
	}
	allEnv := slices.Concat(os.Environ(), leaseEnv, env)
	process, err := deadlineexec.Start(deadline(), allEnv, cmd.Root().Writer, cmd.Root().ErrWriter, args...)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-ctx.Done():
				process.End()
				return
			case <-time.After(100 * time.Millisecond):
				process.ExtendDeadline(deadline())
			}
		}
	}()
	defer close(ended)
	return process.Wait()
}

func releaseLease(ctx context.Context, cmd *cli.Command) error {
	token, err := strconv.ParseUint(cmd.Args().Get(1), 10, 64)
	if err != nil {
		return errors.New("lease release: NAME TOKEN, please; lease list shows tokens")
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	if _, err := c.SendCommand(ctx, "release", lease.Command{Name: cmd.Args().Get(0), Token: lease.Token(token)}); err != nil {
		return negativeAnswer("lease release: %v", err)
	}
	return nil
}

func setLeaseNote(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return errors.New("lease note: NAME TEXT, please")
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	l, err := agent.Acquire(ctx, c, agent.LeaseOptions{Name: cmd.Args().Get(0), Duration: 2 * time.Second})
	if err != nil {
		return negativeAnswer("lease note: %v", err)
	}
	if err := errors.Join(l.SetNote(ctx, cmd.Args().Get(1)), l.Release(ctx)); err != nil {
		return negativeAnswer("lease note: %v", err)
	}
	return nil
}

func setLeaseSlots(ctx context.Context, cmd *cli.Command) error {
	maxHolders, err := strconv.Atoi(cmd.Args().Get(1))
	if err != nil {
		return errors.New("lease slots: NAME NUMBER, please")
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	if _, err := c.SendCommand(ctx, "most", lease.Command{Name: cmd.Args().Get(0), MaxHolders: maxHolders}); err != nil {
		return negativeAnswer("lease slots: %v", err)
	}
	return nil
}

func printAgentStatus(ctx context.Context, cmd *cli.Command) error {
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	type agentRow struct {
		Address string `json:"address"`
		Error   string `json:"error,omitempty"`
		consensus.Status
	}
	var all []agentRow
	agentsWithLeader, memberCount := 0, 0
	for _, a := range cmd.StringSlice("agents") {
		v, err := c.Status(ctx, a)
		l := agentRow{Address: a, Status: v}
		if err != nil {
			l.Error = err.Error()
		} else {
			memberCount = max(memberCount, len(v.Members))
			if v.Leader != 0 {
				agentsWithLeader++
			}
		}
		all = append(all, l)
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, all); err != nil {
			return err
		}
	} else {
		t := table(cmd)
		writeln(t, "agent\tid\tleader\tterm\tapplied\tmembers\tproblem")
		for _, l := range all {
			var members []string
			for _, id := range slices.Sorted(maps.Keys(l.Members)) {
				members = append(members, fmt.Sprintf("%d=%s", id, l.Members[id]))
			}
			writef(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", l.Address, l.ID, l.Leader, l.Term, l.Applied, strings.Join(members, " "), l.Error)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if 2*agentsWithLeader <= memberCount || memberCount == 0 {
		return negativeAnswer("%d agents that answer know a leader, of %d members: no majority is seen from here", agentsWithLeader, memberCount)
	}
	return nil
}

func changeAgents(ctx context.Context, cmd *cli.Command) error {
	change := agent.MembershipChange{Add: map[uint64]string{}}
	for _, m := range cmd.StringSlice("add") {
		number, address, ok := strings.Cut(m, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil {
			return fmt.Errorf("--add: %q is not ID=ADDRESS", m)
		}
		if err := agent.CheckAddress(address); err != nil {
			return fmt.Errorf("--add: %w", err)
		}
		change.Add[id] = address
	}
	for _, m := range cmd.StringSlice("remove") {
		id, err := strconv.ParseUint(m, 10, 64)
		if err != nil {
			return fmt.Errorf("--remove: %q is no id", m)
		}
		change.Remove = append(change.Remove, id)
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	if err := c.ChangeMembers(ctx, change); err != nil {
		return negativeAnswer("agents change: %v", err)
	}
	return nil
}
