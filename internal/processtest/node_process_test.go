package processtest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tulipglade/internal/agent"
)

// changeNodeFlag makes this test program change a node instead of running tests. Its argument is the fleet's directory.
const changeNodeFlag = "-change-node"

// changesFile is the file to which each run of changeNode appends a line with the node's name and the time.
const changesFile = "changes"

// changeNode is the command that a rollout runs for each node. It ends the node's process and starts a new one, which
// keeps running after the command has exited.
func changeNode(directory, name string) (err error) {
	changes, err := os.OpenFile(filepath.Join(directory, changesFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, changes.Close()) }()
	if _, err := fmt.Fprintln(changes, name, int64(agent.Clock())); err != nil {
		return err
	}
	if pid := nodePID(directory, name); pid > 0 {
		_ = syscall.Kill(pid, syscall.SIGTERM) // it may have exited
		for processRuns(pid) {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return startNode(directory, name)
}

// processRuns reports whether a process exists and is not a zombie.
func processRuns(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(raw), ") ")
	return state[0] != 'Z'
}

// nodePID returns the process ID of a node, or 0 if the node was never started.
func nodePID(directory, name string) int {
	raw, _ := os.ReadFile(filepath.Join(directory, name+".pid")) // the file does not exist before the node's first start
	pid, _ := strconv.Atoi(string(raw))
	return pid
}

// startNode starts the process of a node, which keeps running after this process has exited.
func startNode(directory, name string) error {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the node has a descriptor of its own
	program := filepath.Join(directory, "bin", "tulipglade")
	command := exec.Command(program, "serve", "--config", filepath.Join(directory, name+".json"))
	command.Env = append(os.Environ(), "GOMAXPROCS=1", "TMPDIR="+directory)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := command.Start(); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, name+".pid"), []byte(strconv.Itoa(command.Process.Pid)), 0o600)
}
