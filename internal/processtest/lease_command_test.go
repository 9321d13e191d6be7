package processtest

import (
	"strings"
	"syscall"
	"testing"
)

// startLeaseCommand starts "tulipctl lease run" with a shell command that runs while the lease is held.
func (f *rolloutFleet) startLeaseCommand(t *testing.T, command string) *runningCommand {
	t.Helper()
	return startCommand(t, f.program("tulipctl", "lease", "run",
		"--agents", strings.Join(f.agentAddresses, ","),
		"--for", "3s",
		"--wait", "1m",
		"x", "--", "sh", "-c", command))
}

// signalAgents sends a signal to all agents.
func (f *rolloutFleet) signalAgents(signal syscall.Signal) {
	for _, agent := range f.agents {
		_ = agent.Process.Signal(signal) // it may have exited
	}
}

// Guards against two commands that run under the same lease at the same time. A command must have ended before the next
// one starts, whether the process that started it is killed, stopped, or has lost contact with the group.
func TestLeaseRunCommandsNeverOverlap(t *testing.T) {
	fleet := newAgentGroup(t)
	for _, test := range []struct {
		name         string
		disturb      func(*runningCommand)
		agentsPaused bool
	}{
		{name: "killed", disturb: func(first *runningCommand) { _ = first.command.Process.Kill() }},
		{name: "stopped", disturb: func(first *runningCommand) { _ = first.command.Process.Signal(syscall.SIGSTOP) }},
		{name: "no group", disturb: func(*runningCommand) { fleet.signalAgents(syscall.SIGSTOP) }, agentsPaused: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := fleet.startLeaseCommand(t, `trap '' TERM; echo begins $$; while :; do sleep 0.01; done`)
			first.awaitOutput(t, "begins", 1)
			pid := strings.Fields(first.text())[1]
			stillThere := "[ -d /proc/" + pid + " ] && ! grep -q ' Z ' /proc/" + pid + "/stat"
			second := fleet.startLeaseCommand(t, "if "+stillThere+"; then echo STILL THERE; fi; echo next")
			test.disturb(first)
			if test.agentsPaused {
				if err := <-first.exited; err == nil || !strings.Contains(first.text(), "was ended") {
					t.Errorf("%v: %s", err, first.text())
				}
				fleet.signalAgents(syscall.SIGCONT)
			}
			err := <-second.exited
			output := second.text()
			if err != nil || !strings.HasSuffix(output, "next\n") || strings.Contains(output, "STILL") {
				t.Errorf("%v: %s", err, output)
			}
			_ = first.command.Process.Kill() // it may have exited
		})
	}
}
