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
	return &cli.StringSliceFlag{Name: "agents", Usage: "`ADDRESS` of each agent that may be asked", Sources: cli.EnvVars("TULIP_AGENTS"), Required: true}
}

func withinFlag() cli.Flag {
	return &cli.DurationFlag{Name: "within", Value: 5 * time.Second, Usage: "`TIME` for the group to answer in"}
}

func leaseCommand() *cli.Command {
	name := []cli.Argument{&cli.StringArg{Name: "name", UsageText: "NAME"}}
	return &cli.Command{Name: "lease", Usage: "leases for tasks of which one, or some, may do one at a time", Commands: []*cli.Command{
		{Name: "list", Usage: "who holds what", Action: listLeases, Flags: []cli.Flag{agentsFlag(), withinFlag(), jsonFlag}},
		{Name: "show", Usage: "all that is known of one", ArgsUsage: "NAME", Arguments: name, Action: listLeases,
			Flags: []cli.Flag{agentsFlag(), withinFlag(), jsonFlag}},
		{Name: "run", Usage: "hold a lease while a command runs; it is killed when the lease is in doubt", ArgsUsage: "NAME -- COMMAND…", Action: runUnderLease,
			Flags: []cli.Flag{agentsFlag(), withinFlag(),
				&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "`TIME` that the lease lasts without being renewed"},
				&cli.DurationFlag{Name: "wait", Usage: "`TIME` to wait for it while others hold it"}}},
		{Name: "release", Usage: "end one by its token; its holder may still be acting", ArgsUsage: "NAME TOKEN", Action: releaseLease,
			Flags: []cli.Flag{agentsFlag(), withinFlag()}},
		{Name: "note", Usage: "put another note in the place of the last holder's; empty: none", ArgsUsage: "NAME TEXT", Action: setLeaseNote,
			Flags: []cli.Flag{agentsFlag(), withinFlag()}},
		{Name: "slots", Usage: "set how many may hold it at a time", ArgsUsage: "NAME NUMBER", Action: setLeaseSlots,
			Flags: []cli.Flag{agentsFlag(), withinFlag()}},
	}}
}

func agentsCommand() *cli.Command {
	return &cli.Command{Name: "agents", Usage: "the group that decides on leases", Commands: []*cli.Command{
		{Name: "status", Usage: "what each agent knows", Action: printAgentStatus, Flags: []cli.Flag{agentsFlag(), withinFlag(), jsonFlag}},
		{Name: "change", Usage: "add and remove members in one step", Action: changeAgents, Flags: []cli.Flag{agentsFlag(),
			&cli.DurationFlag{Name: "within", Value: time.Minute, Usage: "`TIME` for who is added to catch up"},
			&cli.StringSliceFlag{Name: "add", Usage: "`ID=ADDRESS` of a member that joins"},
			&cli.StringSliceFlag{Name: "remove", Usage: "`ID` of a member that leaves"}}},
	}}
}

// agentClient returns a client, and a time for what is asked.
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
	fmt.Fprintln(t, "name\tseat\tholder\ttoken\tends within\tseats")
	for _, l := range v.Leases {
		for _, g := range l.Grants {
			// From one tick at once to all of them by a slow clock.
			fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%v\t%d\n", l.Name, g.Slot, g.Holder, g.Token, time.Duration(g.ExpiresAt-v.Tick)*v.Terms.Interval, l.MaxHolders)
		}
		if len(l.Grants) == 0 {
			fmt.Fprintf(t, "%s\t-\t-\t-\t-\t%d\n", l.Name, l.MaxHolders)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, l := range v.Leases {
		if cmd.Name == "show" && l.Note != "" {
			fmt.Fprintf(cmd.Root().Writer, "note: %s\n", l.Note)
		}
	}
	if cmd.Name == "show" && len(v.Leases) == 0 {
		return negativeAnswer("nobody holds %q", name)
	}
	return nil
}

// margin is how long before a lease may end nothing is begun, and nothing of what was begun is left.
const margin = 200 * time.Millisecond

func runUnderLease(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) > 1 && args[1] == "--" {
		args = slices.Delete(args, 1, 2)
	}
	if len(args) < 2 {
		return errors.New("lease run: NAME -- COMMAND, please")
	}
	if least := 2*deadlineexec.TerminationNotice + margin; cmd.Duration("for") < least {
		return fmt.Errorf("--for: %v is below %v", cmd.Duration("for"), least)
	}
	within, again := cmd.Duration("within"), time.Duration(0)
	if wait := cmd.Duration("wait"); wait > 0 {
		within, again = max(within, wait), 200*time.Millisecond
	}
	c := agent.NewClient(cmd.StringSlice("agents"), nil)
	asked, stop := context.WithTimeout(ctx, within)
	l, err := agent.Acquire(asked, c, agent.LeaseOptions{Name: args[0], Duration: cmd.Duration("for"), Margin: margin, RetryInterval: again})
	stop()
	if err != nil {
		return negativeAnswer("lease %s: %v", args[0], err)
	}
	err = underLease(ctx, cmd, l, nil, args[1:])
	releaseWithin(ctx, cmd, l, within)
	if errors.Is(err, deadlineexec.ErrKilled) {
		why := l.Reason()
		if ctx.Err() != nil {
			why = errors.New("interrupted")
		}
		return negativeAnswer("lease %s: %v: the command was ended", args[0], why)
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return negativeAnswer("lease %s: the command ended with %v", args[0], exit)
	}
	return err
}

// releaseWithin lets a lease go, unless it ends by itself.
func releaseWithin(ctx context.Context, cmd *cli.Command, l *agent.Lease, within time.Duration) {
	if l.Reason() != nil {
		return
	}
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), within)
	defer stop()
	if err := l.Release(release); err != nil {
		fmt.Fprintln(cmd.Root().ErrWriter, "tulipctl: the lease was not released, and ends by itself:", err)
	}
}

// underLease runs a command that is over before the lease may end, whatever becomes of this process.
func underLease(ctx context.Context, cmd *cli.Command, l *agent.Lease, env, args []string) error {
	g, _ := l.Grant()
	till := func() time.Duration { return agent.Clock() + l.Remaining() - margin }
	p, err := deadlineexec.Start(till(), append(append(os.Environ(), "TULIP_LEASE="+g.Name, fmt.Sprint("TULIP_LEASE_SEAT=", g.Slot),
		fmt.Sprint("TULIP_LEASE_TOKEN=", g.Token)), env...), cmd.Root().Writer, cmd.Root().ErrWriter, args...)
	if err != nil {
		return err
	}
	over := make(chan struct{})
	go func() {
		for {
			select {
			case <-over:
				return
			case <-ctx.Done():
				p.End()
				return
			case <-time.After(100 * time.Millisecond):
				p.Until(till())
			}
		}
	}()
	defer close(over)
	return p.Wait()
}

func releaseLease(ctx context.Context, cmd *cli.Command) error {
	token, err := strconv.ParseUint(cmd.Args().Get(1), 10, 64)
	if err != nil {
		return errors.New("lease release: NAME TOKEN, please; lease list shows tokens")
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	if _, err := c.Do(ctx, "release", lease.Command{Name: cmd.Args().Get(0), Token: lease.Token(token)}); err != nil {
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
	if err := errors.Join(l.Note(ctx, cmd.Args().Get(1)), l.Release(ctx)); err != nil {
		return negativeAnswer("lease note: %v", err)
	}
	return nil
}

func setLeaseSlots(ctx context.Context, cmd *cli.Command) error {
	most, err := strconv.Atoi(cmd.Args().Get(1))
	if err != nil {
		return errors.New("lease seats: NAME NUMBER, please")
	}
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	if _, err := c.Do(ctx, "most", lease.Command{Name: cmd.Args().Get(0), MaxHolders: most}); err != nil {
		return negativeAnswer("lease seats: %v", err)
	}
	return nil
}

func printAgentStatus(ctx context.Context, cmd *cli.Command) error {
	c, ctx, stop := agentClient(ctx, cmd)
	defer stop()
	type line struct {
		Address string `json:"address"`
		Error   string `json:"error,omitempty"`
		consensus.Status
	}
	var all []line
	led, of := 0, 0
	for _, a := range cmd.StringSlice("agents") {
		v, err := c.Status(ctx, a)
		l := line{Address: a, Status: v}
		if err != nil {
			l.Error = err.Error()
		} else if of = max(of, len(v.Members)); v.Leader != 0 {
			led++
		}
		all = append(all, l)
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, all); err != nil {
			return err
		}
	} else {
		t := table(cmd)
		fmt.Fprintln(t, "agent\tid\tleader\tterm\tapplied\tmembers\tproblem")
		for _, l := range all {
			var members []string
			for _, id := range slices.Sorted(maps.Keys(l.Members)) {
				members = append(members, fmt.Sprintf("%d=%s", id, l.Members[id]))
			}
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", l.Address, l.ID, l.Leader, l.Term, l.Applied, strings.Join(members, " "), l.Error)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if 2*led <= of || of == 0 {
		return negativeAnswer("%d agents that answer know a leader, of %d members: no majority is seen from here", led, of)
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
