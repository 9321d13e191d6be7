package processtest

import (
	"context"
	"strings"
	"testing"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
	"tulipglade/internal/faultinject"
)

// All agents are killed at once and started in another order: no token is granted twice. With disks that do not store what they report
// as stored, tokens are granted twice, and the checks report it.
func TestTokensStayUniqueAfterAllAgentsAreKilled(t *testing.T) {
	for _, withoutSync := range []bool{false, true} {
		harness := startHarness(t, Options{Agents: 3, Holders: 2, Disabled: DisabledParts{Sync: withoutSync}})
		_, position := harness.awaitEvent(t, 0, actionStartedAfter(1))
		for _, i := range []int{0, 1, 2} {
			harness.kill(i)
		}
		for _, i := range []int{2, 0, 1} {
			if err := harness.start(i); err != nil {
				t.Fatal(err)
			}
		}
		_, position = harness.awaitEvent(t, position, Event.becomesLeader)
		harness.awaitEvent(t, position, func(event Event) bool { return event.Kind == EventAcquire && event.Text == "" })
		if findings := Check(harness.Log()); withoutSync != (len(findings.Violations) > 0) {
			t.Errorf("disks without sync %v: broken %v", withoutSync, findings.Violations)
		}
	}
}

// An agent whose disk fails reports the error and exits; the others elect a leader, and holders act again.
func TestAgentExitsOnDiskFailure(t *testing.T) {
	harness := startHarness(t, Options{Agents: 3, Holders: 2})
	_, position := harness.awaitEvent(t, 0, actionStartedAfter(0))
	leader := harness.Leader()
	name := harness.processes[leader].Name
	endFault := harness.StartFault(faultinject.Fault{Kind: faultinject.DiskSync, Processes: []int{leader}})
	exit, position := harness.awaitEvent(t, position, func(event Event) bool {
		return event.Kind == EventProcessFailed && event.Process == name
	})
	if !strings.Contains(exit.Text, errInjected.Error()) {
		t.Error(exit)
	}
	harness.awaitEvent(t, position, Event.becomesLeader)
	_, position = harness.awaitEvent(t, harness.LogEnd(), actionStartedAfter(0))
	endFault()
	harness.awaitEvent(t, position, func(event Event) bool { return event.Kind == EventLeaderKnown && event.Process == name })
	if findings := Check(harness.Log()); len(findings.Violations) > 0 {
		t.Error(findings.Violations)
	}
}

// A member is replaced while holders act, and the leader is killed during the change. The new member votes in the end, so the group
// goes on without two of the old ones.
func TestMemberReplacementSurvivesLeaderKill(t *testing.T) {
	const agents, spareAgent = 3, 3
	harness := startHarness(t, Options{Agents: agents, SpareAgents: 1, Holders: 2})
	harness.awaitEvent(t, 0, actionStartedAfter(0))
	client := agent.NewClient(harness.agentAddresses(), nil)
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	leader := harness.Leader()
	removed := (leader + 1) % agents
	change := agent.MembershipChange{
		Add:    map[uint64]string{memberID(spareAgent): harness.processes[spareAgent].Listen},
		Remove: []uint64{memberID(removed)},
	}
	changed := make(chan error, 1)
	go func() { changed <- client.ChangeMembers(ctx, change) }()
	harness.awaitEvent(t, 0, func(event Event) bool { // the spare agent has heard of the group
		return event.Kind == EventLeaderKnown && event.Process == harness.processes[spareAgent].Name
	})
	harness.kill(leader)
	if err := harness.start(leader); err != nil {
		t.Fatal(err)
	}
	<-changed // with any outcome: the next leader completes the change
	awaitReplaced(ctx, t, client, memberID(removed), memberID(spareAgent))
	harness.kill(removed)
	harness.kill((removed + 1) % agents)
	_, position := harness.awaitEvent(t, harness.LogEnd(), actionStartedAfter(0))
	harness.awaitEvent(t, position, actionStartedAfter(0))
	if findings := Check(harness.Log()); len(findings.Violations) > 0 {
		t.Error(findings.Violations)
	}
}

// memberID returns the ID of the agent with an index.
func memberID(index int) uint64 { return uint64(index + 1) }

// awaitReplaced waits until the group has three members, with one of two and without the other.
func awaitReplaced(ctx context.Context, t *testing.T, client *agent.Client, removed, added uint64) {
	t.Helper()
	replaced := func(status consensus.Status) bool {
		return len(status.Members) == 3 && status.Members[added] != "" && status.Members[removed] == ""
	}
	for {
		status, err := client.ReadStatus(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if replaced(status) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
