// Command standins plays the clients, the backends and the platform of the second review's cases. Each case is a
// sub-command; it starts the project's own node with the command of the deploy file.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// maxDuration bounds a run.
const maxDuration = 110 * time.Second

// cases are the sub-commands, each registered in the file of its case. Each plays a case with or without its disruption and reports whether the rule held.
var cases = map[string]func(c *run) bool{}

// run is one run of a case.
type run struct {
	trouble   bool   // play the disruption
	directory string // a temporary folder
	started   time.Time

	mutex  sync.Mutex
	record *os.File
}

// logf writes a line to the record, with the seconds since the start.
func (c *run) logf(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, arguments...))
}

var (
	exitMutex     sync.Mutex // held for good by exit
	exitFunctions []func()
)

// atExit registers a function that exit calls, the last one first.
func atExit(f func()) {
	exitMutex.Lock()
	defer exitMutex.Unlock()
	exitFunctions = append(exitFunctions, f)
}

// exit ends all that the case has started, and then the case itself.
func exit(status int) {
	exitMutex.Lock()
	for i := len(exitFunctions) - 1; i >= 0; i-- {
		exitFunctions[i]()
	}
	os.Exit(status)
}

// must ends the case with couldNotRun if there is an error.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		exit(couldNotRun)
	}
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == actCommand {
		act(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		exit(couldNotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	must(err)
	directory, err := os.MkdirTemp("", "review")
	must(err)
	atExit(func() { _ = os.RemoveAll(directory) })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			must(errors.New("interrupted"))
		case <-time.After(maxDuration):
			must(fmt.Errorf("it was not over after %v", maxDuration))
		}
	}()
	c := &run{trouble: os.Getenv("TROUBLE") != "0", directory: directory, started: time.Now(), record: record}
	if cases[os.Args[1]](c) {
		c.logf("the rule held")
		exit(ruleHeld)
	}
	c.logf("the rule was broken")
	exit(ruleBroken)
}
