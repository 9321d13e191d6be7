package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// reloadConfig is the format of the configurations in this test. They differ only in the maximum number of attempts.
const reloadConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	"settings":{"discovery":"ask","peers_total":1,"zones":["z"],"tick_us":5000,
	"profiles":[` + readClass + `],
	"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":%d,"max_open":20000},
	"rules":{"ask_every_us":9000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`

// waitUntil waits until the condition holds. It fails the test if the process ends or the timeout passes before that.
func (p *process) waitUntil(t *testing.T, description string, timeout <-chan time.Time, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-p.ended:
			t.Fatalf("the process ended before %s: %v, %s", description, p.cmd.ProcessState, p.output)
		case <-timeout:
			t.Fatalf("timeout before %s: %s", description, p.output)
		default:
		}
	}
}

// TestReloadSignalBeforeConfigurationIsRead guards against a SIGHUP that arrives while a process has not yet read its
// configuration: it must neither end the process nor be lost, but cause the file to be read once more. The test uses a
// named pipe as the configuration file in order to control when the process reads it.
func TestReloadSignalBeforeConfigurationIsRead(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{configPath: pipe}
	p.start(t)
	defer p.kill()
	timeout := time.After(startupTimeout)
	// writeConfig waits until the process opens the pipe, calls beforeWrite, and then writes a configuration.
	writeConfig := func(attempts int, beforeWrite func()) {
		t.Helper()
		var file *os.File
		p.waitUntil(t, "the file is opened", timeout, func() bool {
			var err error
			// This succeeds as soon as the process has opened the pipe.
			file, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err == nil
		})
		beforeWrite()
		_, _ = fmt.Fprintf(file, reloadConfig, attempts) // a failed write shows in the output of the process
		_ = file.Close()
	}
	writeConfig(3, func() {
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	})
	// The process serves only after it has read the first configuration to its end.
	p.waitUntil(t, "the process serves", timeout, func() bool { return p.output.contains("msg=serving") })
	writeConfig(2, func() {})
	p.waitUntil(t, "the newer file is applied", timeout, func() bool {
		return p.output.contains("settings applied") && p.output.contains("attempts=2")
	})
}
