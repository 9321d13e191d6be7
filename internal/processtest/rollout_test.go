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

// rolloutNodesAtOnce is how many nodes of a site a rollout may change at once.
const rolloutNodesAtOnce = 2

// startRollout starts a rollout of a change to all nodes.
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

// Rolling restarts of real nodes under load. In the first, the command that rolls out is killed, and an agent, too; in the second it is
// stopped, and continued when another has taken over. Each change restarts each node once.
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
	if err := <-third.exited; err == nil || !strings.Contains(third.text(), "written down") {
		t.Errorf("the command that was stopped: %v\n%s", err, third.text())
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

// A number of rolling restarts, each with a fault of the leading agent. One takes 20 s, so the usual run has none.
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
