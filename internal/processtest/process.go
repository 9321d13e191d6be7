package processtest

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// managedProcess is one process of a Harness. A restarted process gets the same settings. The mutex of the harness
// guards command, stdin and exited.
type managedProcess struct {
	processSettings
	command *exec.Cmd // nil while the process is not running
	stdin   io.WriteCloser
	exited  chan struct{} // closed when the most recently started process has exited; nil before the first start
}

// start starts the process with an index, unless it is running already or the harness is being stopped.
func (h *Harness) start(index int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	process := h.processes[index]
	if process.command != nil || h.stopped {
		return nil
	}
	command, err := h.newCommand(process)
	if err != nil {
		return err
	}
	errorOutput, err := os.OpenFile(filepath.Join(h.directory, process.Name+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = errorOutput.Close() }() // the process has a descriptor of its own
	command.Stderr = errorOutput
	stdin, err := command.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	process.command, process.stdin, process.exited = command, stdin, make(chan struct{})
	exited := process.exited
	h.readers.Go(func() {
		defer close(exited)
		h.readEvents(stdout)
		_ = command.Wait() // the events of the process show why it exited
		h.mu.Lock()
		defer h.mu.Unlock()
		if process.command == command {
			process.command = nil
		}
	})
	return nil
}

func (h *Harness) newCommand(process *managedProcess) (*exec.Cmd, error) {
	settings, err := json.Marshal(process.processSettings)
	if err != nil {
		return nil, err
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(executable)
	command.Env = append(os.Environ(), roleVariable+"="+string(settings))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command, nil
}

// readEvents adds the events that a process writes to its standard output to the log, until the output ends.
func (h *Harness) readEvents(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var event Event
		if json.Unmarshal(lines.Bytes(), &event) == nil { // a killed process may leave an incomplete line
			h.log.add(event)
		}
	}
}

func (h *Harness) signalProcess(index int, signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if process := h.processes[index]; process.command != nil {
		_ = process.command.Process.Signal(signal) // it may have exited
	}
}

// sendOrder sends one line with an order to the standard input of a process; see process.readOrders.
func (h *Harness) sendOrder(index int, line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if process := h.processes[index]; process.command != nil {
		_, _ = io.WriteString(process.stdin, line+"\n") // it may have exited
	}
}

// kill sends SIGKILL to the process with an index and waits until it has exited.
func (h *Harness) kill(index int) {
	h.mu.Lock()
	exited := h.processes[index].exited
	h.mu.Unlock()
	h.signalProcess(index, syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

// processID returns the process ID of the process with an index, which must be running.
func (h *Harness) processID(index int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processes[index].command.Process.Pid
}
