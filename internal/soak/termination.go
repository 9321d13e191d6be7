package soak

import (
	"os"
	"syscall"
	"time"
)

// termination is the series of signals by which a planned stop is played.
type termination uint8

const (
	terminateOnce    termination = iota
	terminateTwice               // SIGTERM again 0.1 s later
	reloadBefore                 // SIGHUP right before SIGTERM
	reloadAfter                  // SIGHUP right after it, and 0.3 s later
	reloadMany                   // SIGHUP ten times in 100 ms, with good and bad files, SIGTERM among them
	stopAndContinue              // SIGSTOP for 0.1 s in the midst
	terminationCount = stopAndContinue + 1
)

// Times within the series.
const (
	signalPause   = 100 * time.Millisecond
	reloadCount   = 10
	reloadPause   = 10 * time.Millisecond
	laterReload   = 300 * time.Millisecond
	invalidConfig = `{"listen": 1}`
)

// signalTermination sends SIGTERM, with the other signals of a series round it, and returns when SIGTERM was sent.
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

// reload sends SIGHUP with a configuration that is valid or not.
func (n *node) reload(invalid bool) {
	n.mu.Lock()
	if invalid {
		_ = os.WriteFile(n.configPath, []byte(invalidConfig), 0o600) // the process then reads the last one
	} else {
		_ = n.writeConfig() // as above
	}
	n.mu.Unlock()
	n.signal(syscall.SIGHUP)
}
