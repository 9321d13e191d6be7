package soak

import (
	"os"
	"syscall"
	"time"
)

// termination is the sequence of signals that a planned stop sends to a node.
type termination uint8

const (
	terminateOnce    termination = iota
	terminateTwice               // a second SIGTERM 0.1 s after the first
	reloadBefore                 // SIGHUP immediately before SIGTERM
	reloadAfter                  // SIGHUP immediately after SIGTERM and again 0.3 s later
	reloadMany                   // SIGHUP ten times in 100 ms, with valid and invalid files, SIGTERM among them, and once more
	stopAndContinue              // SIGSTOP for 0.1 s during the shutdown
	terminationCount = stopAndContinue + 1
)

// Parameters of the sequences.
const (
	signalPause   = 100 * time.Millisecond
	reloadCount   = 10
	reloadPause   = 10 * time.Millisecond
	laterReload   = 300 * time.Millisecond
	invalidConfig = `{"listen": 1}`
)

// signalTermination sends the signals of a sequence and returns the time at which SIGTERM was sent. Some signals may
// follow after its return.
func (n *node) signalTermination(series termination) (sentAt time.Duration) {
	sendTerm := func() {
		sentAt = n.run.now()
		n.signal(syscall.SIGTERM)
	}
	if !n.mayBeReloaded() && (series == reloadBefore || series == reloadMany) {
		series = terminateOnce
	}
	switch series {
	case terminateTwice:
		sendTerm()
		time.AfterFunc(signalPause, func() { n.signal(syscall.SIGTERM) })
	case reloadBefore:
		n.signal(syscall.SIGHUP)
		sendTerm()
	case reloadAfter:
		sendTerm()
		n.signal(syscall.SIGHUP)
		time.AfterFunc(laterReload, func() { n.signal(syscall.SIGHUP) })
	case reloadMany:
		for i := range reloadCount {
			if i == reloadCount/2 {
				sendTerm()
			}
			n.reload(i%2 == 0)
			time.Sleep(reloadPause)
		}
		n.reload(false)
	case stopAndContinue:
		sendTerm()
		time.Sleep(signalPause)
		n.signal(syscall.SIGSTOP)
		time.Sleep(signalPause)
		n.signal(syscall.SIGCONT)
	default:
		sendTerm()
	}
	return sentAt
}

// reload writes a valid or an invalid configuration and sends SIGHUP.
func (n *node) reload(invalid bool) {
	n.mu.Lock()
	if invalid {
		// After an error, here and below, the process reads the previous file.
		_ = os.WriteFile(n.configPath, []byte(invalidConfig), 0o600)
	} else {
		_ = n.writeConfig()
	}
	n.mu.Unlock()
	n.signal(syscall.SIGHUP)
}
