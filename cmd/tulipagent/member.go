package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

// maxDrift is the largest clock drift that the terms of a new group may allow for.
const maxDrift = 0.2

// initMember creates the folder of one of the first members of a new group.
func initMember(_ context.Context, cmd *cli.Command) error {
	members, err := parseMembers(cmd.StringSlice(flagMember))
	if err != nil {
		return err
	}
	id := cmd.Uint64(flagID)
	terms := lease.Terms{Interval: cmd.Duration(flagInterval), Drift: cmd.Float(flagDrift)}
	switch {
	case members[id] == "":
		return fmt.Errorf("--id: %d is not the ID of any --member", id)
	case terms.Interval < agent.TickInterval:
		return fmt.Errorf("--interval: %v is below %v", terms.Interval, agent.TickInterval)
	case terms.Drift < 0 || terms.Drift > maxDrift:
		return fmt.Errorf("--drift: %g is not between 0 and %g", terms.Drift, maxDrift)
	}
	durable, err := consensus.Bootstrap(members, terms)
	if err != nil {
		return err
	}
	identity := agent.Identity{Group: cmd.String(flagGroup), ID: id, Address: members[id]}
	return agent.CreateStorage(cmd.String(flagDir), identity, durable)
}

// parseMembers parses the values of --member, and returns the addresses of the members by ID.
func parseMembers(values []string) (map[uint64]string, error) {
	members := map[uint64]string{}
	for _, value := range values {
		number, address, ok := strings.Cut(value, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil || id == 0 || members[id] != "" {
			return nil, fmt.Errorf("--member: %q is not ID=ADDRESS with a unique ID above 0", value)
		}
		if err := agent.CheckAddress(address); err != nil {
			return nil, fmt.Errorf("--member: %w", err)
		}
		members[id] = address
	}
	return members, nil
}

// joinGroup creates the folder of a new member of an existing group.
func joinGroup(_ context.Context, cmd *cli.Command) error {
	address := cmd.String(flagAddress)
	if err := agent.CheckAddress(address); err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	if cmd.Uint64(flagID) == 0 {
		return errors.New("--id: it must be above 0")
	}
	identity := agent.Identity{Group: cmd.String(flagGroup), ID: cmd.Uint64(flagID), Address: address}
	return agent.CreateStorage(cmd.String(flagDir), identity, consensus.EmptyState())
}

// check prints the identity and a summary of the state in a stopped member's folder.
func check(_ context.Context, cmd *cli.Command) error {
	storage, durable, err := agent.OpenStorage(cmd.String(flagDir))
	if err != nil {
		return err
	}
	defer func() { _ = storage.Close() }() // nothing was written, so closing can't lose data
	identity := storage.Identity
	// A failure to print is ignored, as it is for all output of this program.
	_, _ = fmt.Fprintf(cmd.Root().Writer, "ok: member %d of %s at %s, term %d, snapshot to %d, %d entries after it\n",
		identity.ID, identity.Group, identity.Address,
		durable.HardState.GetTerm(), durable.Snapshot.GetMetadata().GetIndex(), len(durable.Entries))
	return nil
}
