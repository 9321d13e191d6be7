package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The times of the case holder-killed.
const (
	agentCount   = 3
	actInterval  = 100 * time.Millisecond
	firstActs    = 12 * time.Second // how long the first holder's task takes
	secondActs   = 2 * time.Second
	killAfter    = 2 * time.Second // after the first act
	overlapSlack = 500 * time.Millisecond
)

// actCommand is the sub-command that plays a task under a lease.
const actCommand = "act"

// act plays a task: it appends a line to a file for each of its acts, until it has acted for long enough.
func act(file, name, duration string) {
	length, err := time.ParseDuration(duration)
	must(err)
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(actInterval) {
		_, err := fmt.Fprintln(out, time.Now().UnixMilli(), name, os.Getpid(), os.Getenv("TULIP_LEASE_TOKEN"))
		must(err)
	}
}

// performed is one act of a task.
type performed struct {
	at    int64 // Unix time in milliseconds
	name  string
	pid   int
	token string
}

// readActs reads the acts so far.
func readActs(file string) (acts []performed) {
	raw, err := os.Open(file)
	if err != nil {
		return nil // no act yet
	}
	defer func() { _ = raw.Close() }()
	for lines := bufio.NewScanner(raw); lines.Scan(); {
		var a performed
		if n, _ := fmt.Sscan(lines.Text(), &a.at, &a.name, &a.pid, &a.token); n == 4 {
			acts = append(acts, a)
		}
	}
	return acts
}

func init() { cases["holder-killed"] = playHolderKilled }

// playHolderKilled runs a task under a lease and kills the tulipctl that holds it, with SIGKILL to each process of that
// name, while a second holder waits for the lease. Without the disruption the first task ends by itself. The rule holds
// if the first task does not act any more once the second has begun.
func playHolderKilled(c *run) bool {
	addresses := startAgents(c)
	file := filepath.Join(c.directory, "acts")
	first := startUnderLease(c, addresses, file, "first", firstActs)
	awaitActs(file, "first")
	second := startUnderLease(c, addresses, file, "second", secondActs)
	time.Sleep(killAfter)
	if c.trouble {
		supervisor := childOf(first.Process.Pid)
		must(first.Process.Signal(syscall.SIGKILL))
		must(syscall.Kill(supervisor, syscall.SIGKILL))
		c.logf("SIGKILL to tulipctl, processes %d and %d", first.Process.Pid, supervisor)
	}
	must(second.Wait())
	acts := readActs(file)
	for _, a := range acts {
		_ = syscall.Kill(a.pid, syscall.SIGKILL) // a task that is left
	}
	var secondAt int64
	overlap := 0
	for _, a := range acts {
		c.logf("%d: %s acts, process %d, token %s", a.at, a.name, a.pid, a.token)
		if a.name == "second" && secondAt == 0 {
			secondAt = a.at
		}
		if a.name == "first" && secondAt > 0 && a.at > secondAt+overlapSlack.Milliseconds() {
			overlap++
		}
	}
	c.logf("acts of the first holder after the second had begun: %d", overlap)
	return overlap == 0
}

// startAgents starts a group of agents and returns their addresses, separated by commas.
func startAgents(c *run) string {
	var addresses []string
	for range agentCount {
		addresses = append(addresses, freeAddress())
	}
	for i := range addresses {
		directory := filepath.Join(c.directory, strconv.Itoa(i+1))
		arguments := []string{"init", "--dir", directory, "--id", strconv.Itoa(i + 1)}
		for j, address := range addresses {
			arguments = append(arguments, "--member", fmt.Sprintf("%d=%s", j+1, address))
		}
		must(exec.Command("bin/tulipagent", arguments...).Run())
		agent := exec.Command("bin/tulipagent", "serve", "--dir", directory)
		must(agent.Start())
		atExit(func() { _ = agent.Process.Kill() })
	}
	all := strings.Join(addresses, ",")
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status := exec.Command("bin/tulipctl", "agents", "status")
		status.Env = append(os.Environ(), "TULIP_AGENTS="+all)
		if status.Run() == nil {
			return all
		}
	}
	must(errors.New("the agents know no leader"))
	return ""
}

// startUnderLease starts a task under the lease. The command is a shell script of two steps, as those of operators are.
func startUnderLease(c *run, agents, file, name string, duration time.Duration) *exec.Cmd {
	self, err := os.Executable()
	must(err)
	script := fmt.Sprintf("%s %s %s %s %v\necho %s is over", self, actCommand, file, name, duration, name)
	command := exec.Command("bin/tulipctl", "lease", "run", "--wait", "40s", "job", "--", "/bin/sh", "-c", script)
	command.Env = append(os.Environ(), "TULIP_AGENTS="+agents)
	command.Stdout, command.Stderr = c.record, c.record
	must(command.Start())
	atExit(func() { _ = command.Process.Kill() })
	return command
}

// awaitActs waits until a task has begun to act.
func awaitActs(file, name string) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(actInterval / 2) {
		for _, a := range readActs(file) {
			if a.name == name {
				return
			}
		}
	}
	must(fmt.Errorf("%s did not act", name))
}

// childOf returns the id of a process's only child.
func childOf(pid int) (child int) {
	listed, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	must(err)
	for _, name := range listed {
		raw, err := os.ReadFile(name)
		must(err)
		if n, _ := fmt.Sscan(string(raw), &child); n == 1 {
			return child
		}
	}
	must(fmt.Errorf("process %d has no child", pid))
	return 0
}
