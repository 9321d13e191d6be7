package soak

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
)

// discoveryTexts are texts that identify log records about the endpoint list, its age, and calls to discovery.
var discoveryTexts = [][]byte{
	[]byte("endpoint list"),
	[]byte("discovery failed"),
	[]byte("msg=serving"),
	[]byte("configuration reloaded"),
	[]byte("settings applied"),
	[]byte("msg=draining"),
}

// forbiddenTexts are texts in log records and other output that show that a process has detected an internal error.
var forbiddenTexts = [][]byte{
	[]byte("invariant violated"),
	[]byte("panic:"),
	[]byte("request overdue"),
	[]byte("DATA RACE"),
	[]byte("attempt without"),
	[]byte("requests unanswered"),
	[]byte("within a request"),
	[]byte("invalid state transition"),
}

// logWatch is an io.Writer that receives a node's log and keeps the forbidden lines and those about discovery.
type logWatch struct {
	run     *run
	allowed [][]byte // lines with one of these texts are not forbidden for this node

	mu         sync.Mutex
	incomplete []byte   // the start of a line whose end has not been written yet
	forbidden  []string // lines with a forbidden text
	discovery  []string // lines about discovery, each with the time when it was written
}

// Write examines each complete line.
func (l *logWatch) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete = append(l.incomplete, p...)
	for {
		line, rest, complete := bytes.Cut(l.incomplete, []byte("\n"))
		if !complete {
			return len(p), nil
		}
		if containsAny(line, forbiddenTexts) && !containsAny(line, l.allowed) {
			l.forbidden = append(l.forbidden, string(line))
		}
		if containsAny(line, discoveryTexts) {
			l.discovery = append(l.discovery, fmt.Sprintf("%.3f %s", l.run.now().Seconds(), line))
		}
		l.incomplete = rest
	}
}

// recordEvent adds an event of this process to the lines about discovery.
func (l *logWatch) recordEvent(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discovery = append(l.discovery, fmt.Sprintf("%.3f soak: %s", l.run.now().Seconds(), text))
}

// containsAny reports whether a line contains any of the texts.
func containsAny(line []byte, texts [][]byte) bool {
	return slices.ContainsFunc(texts, func(text []byte) bool { return bytes.Contains(line, text) })
}
