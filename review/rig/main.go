// Command rig plays one case of the review: it starts the project's programs as the platform or an operator does, with
// stand-ins for clients, backends and discovery, and exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// longestRun is the time after which a run is given up.
const longestRun = 115 * time.Second

// rig is the run of one case.
type rig struct {
	root    string // of the project
	dir     string // temporary folder
	record  *record
	trouble bool // the disruption takes place

	mutex     sync.Mutex
	processes []*exec.Cmd
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (bool, error){
	"second-answer": playSecondAnswer,
	"late-slots":    playLateSlots,
	"restart":       playRestart,
	"burst":         playBurst,
	"queue":         playQueue,
	"hang":          playHang,
	"slow-answer":   playSlowAnswer,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "work" {
		work(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "rig: the arguments must be CASE ROOT RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit status.
func play(run func(*rig) (bool, error), root, recordPath string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitCannotRun
	}
	defer record.close()
	absolute, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitCannotRun
	}
	r := &rig{root: absolute, dir: dir, record: record, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(r)
		results <- result{broken, err}
	}()
	select {
	case <-signals:
		record.say("interrupted")
	case <-time.After(longestRun):
		record.say("the case took too long")
	case got := <-results:
		if got.err != nil {
			record.say("the case could not run: %v", got.err)
			break
		}
		if got.broken {
			record.say("the rule was broken")
			return exitBroken
		}
		record.say("the rule held")
		return exitHeld
	}
	return exitCannotRun
}

// start starts a process of the project. Its output goes to a file of the temporary folder. If the rig itself is killed,
// so is the process.
func (r *rig) start(process *exec.Cmd, logName string) error {
	log, err := os.OpenFile(filepath.Join(r.dir, logName), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.processes = append(r.processes, process)
	return nil
}

// stop kills the processes that this run has started and that have not ended, and waits for them.
func (r *rig) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, process := range r.processes {
		_ = process.Process.Kill() // fails if it has ended
		_ = process.Wait()         // fails if somebody has waited already
	}
}
