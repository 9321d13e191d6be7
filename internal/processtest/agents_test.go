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

// No token may be granted twice after all agents are killed at once and started again in another order. The test then
// repeats this with disks that do not store what they report as stored: tokens are granted twice there, and the checks
// must report it.
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
			t.Errorf("disks without sync: %v; violations: %v", withoutSync, findings.Violations)
		}
	}
}

// An agent whose disk fails must report the error and exit, since it can no longer keep its promises to the group. The
// remaining agents elect a leader, and holders act again.
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

// A membership change must complete even if the leader is killed during it. The test replaces a member while holders
// act, and then kills two of the old members: the group keeps granting leases only if the new member votes.
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
	harness.awaitEvent(t, 0, func(event Event) bool { // the spare agent has learned who leads the group
		return event.Kind == EventLeaderKnown && event.Process == harness.processes[spareAgent].Name
	})
	harness.kill(leader)
	if err := harness.start(leader); err != nil {
		t.Fatal(err)
	}
	<-changed // the result does not matter: the next leader completes the change
	awaitReplaced(ctx, t, client, memberID(removed), memberID(spareAgent))
	harness.kill(removed)
	harness.kill((removed + 1) % agents)
	_, position := harness.awaitEvent(t, harness.LogEnd(), actionStartedAfter(0))
	harness.awaitEvent(t, position, actionStartedAfter(0))
	if findings := Check(harness.Log()); len(findings.Violations) > 0 {
		t.Error(findings.Violations)
	}
}

// memberID returns the member ID of the agent with the given index.
func memberID(index int) uint64 { return uint64(index + 1) }

// awaitReplaced waits until the group has three members, among them the added one but not the removed one.
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
