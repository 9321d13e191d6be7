package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// The holders of a lease in the cases: tulipctl with a script that runs a program, which acts on a shared resource.
const (
	firstWork  = 20 * time.Second // how long the program of the first holder takes
	secondWork = 6 * time.Second
	actEvery   = 100 * time.Millisecond
)

// work is the program that holders run: it acts on the shared resource, a file, until its time is over.
func work(name, actsFile string) {
	duration := firstWork
	if name != "first" {
		duration = secondWork
	}
	file, err := os.OpenFile(actsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, "work:", err)
		os.Exit(exitCannotRun)
	}
	defer func() { _ = file.Close() }()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(actEvery) {
		_, _ = fmt.Fprintf(file, "%s %d %d\n", name, os.Getpid(), time.Now().UnixMilli())
	}
}

// act is one act on the shared resource.
type act struct {
	name string
	pid  int
	at   int64 // Unix time in milliseconds
}

// readActs returns the acts so far, in their order.
func readActs(path string) (acts []act) {
	text, _ := os.ReadFile(path) // there is no file before the first act
	for line := range strings.Lines(string(text)) {
		var a act
		if _, err := fmt.Sscan(line, &a.name, &a.pid, &a.at); err == nil {
			acts = append(acts, a)
		}
	}
	return acts
}

// checkActs records the acts, and reports whether the first holder has acted after the second one had begun.
func (r *rig) checkActs(acts []act) bool {
	var secondBegan, firstEnded int64
	together := 0
	for _, a := range acts {
		r.record.add("%s (process %d) acted at %d", a.name, a.pid, a.at)
		switch {
		case a.name == "first":
			firstEnded = a.at
			if secondBegan > 0 && a.at > secondBegan {
				together++
			}
		case secondBegan == 0:
			secondBegan = a.at
		}
	}
	r.record.say("the second holder began %d ms after the last act of the first; acts of the first after that: %d", secondBegan-firstEnded, together)
	return together > 0
}

// startAgents starts a group of agents and waits until one leads. It returns their addresses.
func (r *rig) startAgents(count int) (addresses []string, err error) {
	var members []string
	for i := range count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
		members = append(members, "--member", fmt.Sprintf("%d=%s", i+1, address))
	}
	for i := range count {
		dir := filepath.Join(r.dir, fmt.Sprintf("agent-%d", i+1))
		args := append([]string{"init", "--dir", dir, "--id", strconv.Itoa(i + 1)}, members...)
		if out, err := exec.Command(filepath.Join(r.root, "bin/tulipagent"), args...).CombinedOutput(); err != nil {
			return nil, fmt.Errorf("tulipagent init: %w: %s", err, out)
		}
		serve := exec.Command(filepath.Join(r.root, "bin/tulipagent"), "serve", "--dir", dir)
		if err := r.start(serve, fmt.Sprintf("agent-%d.log", i+1)); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if leader, err := r.leader(addresses); err == nil && leader != "" {
			r.record.add("the agents %v have a leader, %s", addresses, leader)
			return addresses, nil
		}
	}
	return nil, errNoLeader
}

var errNoLeader = errors.New("the agents have no leader")

// leader returns the address of the agent that leads.
func (r *rig) leader(agents []string) (string, error) {
	out, err := r.tulipctl(agents, "agents", "status", "--json")
	if err != nil {
		return "", err
	}
	var states []struct {
		Leader  uint64            `json:"leader"`
		Members map[uint64]string `json:"members"`
	}
	if err := json.Unmarshal(out, &states); err != nil {
		return "", err
	}
	return states[0].Members[states[0].Leader], nil
}

// tulipctl runs tulipctl until it ends, and returns what it prints.
func (r *rig) tulipctl(agents []string, args ...string) ([]byte, error) {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	command := exec.CommandContext(ctx, filepath.Join(r.root, "bin/tulipctl"), args...)
	command.Env = append(os.Environ(), "TULIP_AGENTS="+strings.Join(agents, ","))
	return command.Output()
}

// startHolder starts tulipctl with a script that runs the program of a holder.
func (r *rig) startHolder(agents []string, name, actsFile string, args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	script := filepath.Join(r.dir, name+".sh")
	text := fmt.Sprintf("#!/bin/sh\n'%s' work %s '%s'\necho the program has ended\n", self, name, actsFile)
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		return err
	}
	holder := exec.Command(filepath.Join(r.root, "bin/tulipctl"), append(args, "--", script)...)
	holder.Env = append(os.Environ(), "TULIP_AGENTS="+strings.Join(agents, ","))
	if err := r.start(holder, name+".log"); err != nil {
		return err
	}
	r.record.add("started tulipctl %s -- %s.sh as process %d", strings.Join(args, " "), name, holder.Process.Pid)
	return nil
}

// awaitAct waits for the first act of a holder.
func awaitAct(actsFile, name string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, a := range readActs(actsFile) {
			if a.name == name {
				return nil
			}
		}
	}
	return fmt.Errorf("the %s holder did not act within %v", name, within)
}

// endWorkers kills the programs of the holders that still run.
func endWorkers(acts []act) {
	ended := map[int]bool{}
	for _, a := range acts {
		if process, err := os.FindProcess(a.pid); err == nil && !ended[a.pid] {
			ended[a.pid] = true
			_ = process.Kill() // fails if it has ended
		}
	}
}
