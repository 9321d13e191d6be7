package processtest

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"tulipglade/internal/faultinject"
)

// rolloutNodesAtOnce is the number of nodes of a site that a rollout may change at the same time.
const rolloutNodesAtOnce = 2

// startRollout starts the command that rolls out a change, with the given name, to all nodes.
func (f *rolloutFleet) startRollout(t *testing.T, change string) *runningCommand {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return startCommand(t, f.program("tulipctl", "rollout",
		"--agents", strings.Join(f.agentAddresses, ","),
		"--nodes", f.nodeList(),
		"--change", change,
		"--at-once", fmt.Sprint(rolloutNodesAtOnce),
		"--settle", "1600ms",
		"--for", "4s",
		"--wait", "2m",
		"--", self, changeNodeFlag, f.directory))
}

// If the command of a rollout is killed or stopped, the next command must take over and change each remaining node
// exactly once. The test restarts real nodes under load. During the first rollout, the command and an agent are killed.
// During the second, the command is stopped, and continued after another command has taken over.
func TestRolloutIsTakenOverByNextCommand(t *testing.T) {
	fleet := newRolloutFleet(t)
	load := fleet.startClients(t.Context())
	first := fleet.startRollout(t, "one")
	first.awaitOutput(t, ": done", 3)
	second := fleet.startRollout(t, "one")
	if err := first.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = fleet.agents[0].Process.Kill() // it may have exited
	_ = fleet.agents[0].Wait()
	if err := <-second.exited; err != nil {
		t.Fatalf("%v\n%s\n%s", err, first.text(), second.text())
	}
	fleet.startAgent(t, 0)
	for name, count := range fleet.changeCounts(t) {
		if count != 1 {
			t.Errorf("%s was changed %d times\n%s\n%s", name, count, first.text(), second.text())
		}
	}
	third := fleet.startRollout(t, "two")
	third.awaitOutput(t, ": standby", 3)
	if err := third.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	fourth := fleet.startRollout(t, "two")
	fourth.awaitOutput(t, "done", 1)
	if err := third.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := <-third.exited; err == nil || !strings.Contains(third.text(), "is stored in the note of the lease") {
		t.Errorf("the stopped command must fail after the takeover: %v\n%s", err, third.text())
	}
	if err := <-fourth.exited; err != nil {
		t.Fatalf("%v\n%s\n%s", err, third.text(), fourth.text())
	}
	load.stop()
	counts := fleet.changeCounts(t)
	for _, name := range fleet.nodeNames {
		if counts[name] != 2 {
			t.Errorf("%s was changed %d times by two changes\n%s\n%s", name, counts[name], third.text(), fourth.text())
		}
	}
	fleet.checkNodesInStandby(t, rolloutNodesAtOnce)
	load.checkAllServed(t, 1000)
	t.Logf("%v; %s", load, second.text())
}

var rolloutCount = flag.Int("rolls", 0, "rollouts to nodes under load, each with a fault of the leading agent")

// Rollouts under load must change each node once, whatever fault hits the leader of the agents. Each rollout takes 20
// s, so the test is skipped unless the flag -rolls sets their number.
func TestRepeatedRolloutsUnderFaults(t *testing.T) {
	if *rolloutCount == 0 {
		t.Skip("-rolls is 0")
	}
	fleet := newAgentGroup(t)
	harness := startHarness(t, Options{Agents: fleetAgents})
	fleet.agentAddresses = harness.agentAddresses()
	fleet.startNodes(t)
	load := fleet.startClients(t.Context())
	kinds := []faultinject.Kind{faultinject.ProcessKill, faultinject.LinkCut, faultinject.ProcessStop, faultinject.LinkSilent}
	for i := range *rolloutCount {
		command := fleet.startRollout(t, fmt.Sprint("change ", i))
		command.awaitOutput(t, "done", 1+i%6)
		endFault := harness.StartFault(faultinject.Fault{Kind: kinds[i%len(kinds)], Processes: []int{-1}})
		if err := <-command.exited; err != nil {
			t.Errorf("rollout %d: %v\n%s", i, err, command.text())
		}
		endFault()
		if err := harness.Heal(); err != nil {
			t.Fatal(err)
		}
		for name, count := range fleet.changeCounts(t) {
			if count != i+1 {
				t.Errorf("%s was changed %d times by %d changes", name, count, i+1)
			}
		}
	}
	load.stop()
	fleet.checkNodesInStandby(t, rolloutNodesAtOnce)
	t.Logf("%d rollouts, %v", *rolloutCount, load)
	load.checkAllServed(t, 0)
}
