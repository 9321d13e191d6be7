package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// said is what a process has written so far.
type said struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *said) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *said) all() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func (s *said) has(what string) bool { return strings.Contains(s.all(), what) }

// A SIGHUP that reaches a process before it has read its configuration ends nothing, and is not lost: the file is read once more. The file is
// a pipe here, so that the process stands where the test wants it.
func TestHangupBeforeTheConfigurationIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	out, ended := &said{}, make(chan struct{})
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "TULIPGLADE_TEST_RUN="+path)
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	defer func() {
		_ = cmd.Process.Kill()
		<-ended
	}()
	// until waits for what a process that lives comes to.
	late := time.After(30 * time.Second)
	until := func(what string, so func() bool) {
		t.Helper()
		for !so() {
			select {
			case <-ended:
				t.Fatalf("the process has ended before %s: %v, %s", what, cmd.ProcessState, out.all())
			case <-late:
				t.Fatalf("not %s: %s", what, out.all())
			default:
			}
		}
	}
	// write gives the process the file as it asks for it, and calls between once it does.
	write := func(attempts int, between func()) {
		t.Helper()
		var file *os.File
		until("the file is asked for", func() (asked bool) {
			var err error
			file, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0) // succeeds from the moment in which somebody reads
			return err == nil
		})
		between()
		_, _ = fmt.Fprintf(file, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"discovery":"ask","peers_total":1,"zones":["z"],"tick_us":5000,
			"profiles":[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}],
			"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":%d,"max_open":20000},
			"rules":{"ask_every_us":9000000,"grace_to_answer_us":20000,"drain_grace_us":500000}}}`, attempts)
		_ = file.Close()
	}
	write(3, func() {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	})
	until("it serves", func() bool { return out.has("msg=serving") }) // by then it has read all of the first
	write(2, func() {})
	until("the newer file is taken up", func() bool { return out.has("settings taken up") && out.has("attempts=2") })
}
