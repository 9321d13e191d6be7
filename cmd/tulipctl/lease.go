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

// agentFlags returns the flags that every sub-command which calls the agents has, followed by the sub-command's own
// flags.
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

// agentClient returns a client of the agents given by --agents, and a context that ends after the time of --within.
func agentClient(ctx context.Context, cmd *cli.Command) (*agent.Client, context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, cmd.Duration("within"))
	return agent.NewClient(cmd.StringSlice("agents"), nil), ctx, stop
}

func listLeases(ctx context.Context, cmd *cli.Command) error {
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	status, err := c.ReadStatus(ctx)
	if err != nil {
		return negativeAnswer("leases: %v", err)
	}
	name := cmd.StringArg("name")
	if cmd.Name == "show" {
		if name == "" {
			return errors.New("lease show: the argument NAME is missing")
		}
		status.Leases = slices.DeleteFunc(status.Leases, func(groupLease lease.Lease) bool { return groupLease.Name != name })
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, status.Leases)
	}
	rows := newTable(cmd)
	writeln(rows, "name\tslot\tholder\ttoken\texpires within\tslots")
	for _, groupLease := range status.Leases {
		for _, grant := range groupLease.Grants {
			// This is an upper bound, since this client does not know how much of the current tick has passed.
			expiresWithin := time.Duration(grant.ExpiresAt-status.Tick) * status.Terms.Interval
			writef(rows, "%s\t%d\t%s\t%d\t%v\t%d\n", groupLease.Name, grant.Slot, grant.Holder, grant.Token, expiresWithin, groupLease.MaxHolders)
		}
		if len(groupLease.Grants) == 0 {
			writef(rows, "%s\t-\t-\t-\t-\t%d\n", groupLease.Name, groupLease.MaxHolders)
		}
	}
	if err := rows.Flush(); err != nil {
		return err
	}
	for _, groupLease := range status.Leases {
		if cmd.Name == "show" && groupLease.Note != "" {
			writef(cmd.Root().Writer, "note: %s\n", groupLease.Note)
		}
	}
	if cmd.Name == "show" && len(status.Leases) == 0 {
		return negativeAnswer("there is no lease %q", name)
	}
	return nil
}

// leaseMargin is the time before the earliest possible expiry of a lease at which all actions under it must have ended.
const leaseMargin = 200 * time.Millisecond

// leaseRetryInterval is the time between two requests for a lease that others hold.
const leaseRetryInterval = 200 * time.Millisecond

func runUnderLease(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) > 1 && args[1] == "--" {
		args = slices.Delete(args, 1, 2)
	}
	if len(args) < 2 {
		return errors.New("lease run: the arguments must be NAME -- COMMAND")
	}
	if shortest := 2*deadlineexec.GracePeriod + leaseMargin; cmd.Duration("for") < shortest {
		return fmt.Errorf("--for: %v is below %v", cmd.Duration("for"), shortest)
	}
	c := agent.NewClient(cmd.StringSlice("agents"), nil)
	held, err := acquireLease(ctx, cmd, c, args[0], leaseRetryInterval)
	if err != nil {
		return negativeAnswer("lease %s: %v", args[0], err)
	}
	err = runCommandUnderLease(ctx, cmd, held, nil, args[1:])
	releaseWithin(ctx, cmd, held, max(cmd.Duration("within"), cmd.Duration("wait")))
	if errors.Is(err, deadlineexec.ErrKilled) {
		reason := held.EndReason()
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

// acquireLease acquires a lease as the flags --within, --wait and --for specify. With --wait, it retries while others
// hold all slots.
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

// releaseWithin releases a lease within a time limit, unless the lease has already ended. A failure is only reported.
func releaseWithin(ctx context.Context, cmd *cli.Command, l *agent.Lease, within time.Duration) {
	if l.EndReason() != nil {
		return
	}
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), within)
	defer stop()
	if err := l.Release(release); err != nil {
		writeln(cmd.Root().ErrWriter, "tulipctl: the lease was not released and will expire by itself:", err)
	}
}

// runCommandUnderLease runs a command, and extends its deadline while the lease is renewed. The command is killed
// before the lease may expire, even if this process is stopped.
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
				process.Terminate()
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
		return errors.New("lease release: the arguments must be NAME TOKEN; lease list shows the tokens")
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
		return errors.New("lease note: the arguments must be NAME TEXT")
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	held, err := agent.Acquire(ctx, c, agent.LeaseOptions{Name: cmd.Args().Get(0), Duration: 2 * time.Second})
	if err != nil {
		return negativeAnswer("lease note: %v", err)
	}
	if err := errors.Join(held.SetNote(ctx, cmd.Args().Get(1)), held.Release(ctx)); err != nil {
		return negativeAnswer("lease note: %v", err)
	}
	return nil
}

func setLeaseSlots(ctx context.Context, cmd *cli.Command) error {
	maxHolders, err := strconv.Atoi(cmd.Args().Get(1))
	if err != nil {
		return errors.New("lease slots: the arguments must be NAME NUMBER")
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	if err := c.SetMaxHolders(ctx, cmd.Args().Get(0), maxHolders); err != nil {
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
	for _, address := range cmd.StringSlice("agents") {
		status, err := c.Status(ctx, address)
		row := agentRow{Address: address, Status: status}
		if err != nil {
			row.Error = err.Error()
		} else {
			memberCount = max(memberCount, len(status.Members))
			if status.Leader != 0 {
				agentsWithLeader++
			}
		}
		all = append(all, row)
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, all); err != nil {
			return err
		}
	} else {
		rows := newTable(cmd)
		writeln(rows, "agent\tid\tleader\tterm\tapplied\tmembers\tproblem")
		for _, row := range all {
			var members []string
			for _, id := range slices.Sorted(maps.Keys(row.Members)) {
				members = append(members, fmt.Sprintf("%d=%s", id, row.Members[id]))
			}
			writef(rows, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", row.Address, row.ID, row.Leader, row.Term, row.Applied, strings.Join(members, " "), row.Error)
		}
		if err := rows.Flush(); err != nil {
			return err
		}
	}
	if 2*agentsWithLeader <= memberCount || memberCount == 0 {
		return negativeAnswer("%d agents answer and know a leader, in a group of %d members: no majority can be reached from here", agentsWithLeader, memberCount)
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
			return fmt.Errorf("--remove: %q is not a numeric member ID", m)
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
