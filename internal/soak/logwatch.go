package soak

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
)

// discoveryTexts are in log records on the endpoint list, its age, and calls to discovery.
var discoveryTexts = [][]byte{
	[]byte("endpoint list"),
	[]byte("discovery failed"),
	[]byte("msg=serving"),
	[]byte("configuration reloaded"),
	[]byte("settings applied"),
	[]byte("msg=draining"),
}

// forbiddenTexts are in log records and other output of a process that has broken a rule of its own.
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

// logWatch is an io.Writer that keeps certain lines of a node's log.
type logWatch struct {
	run     *run
	allowed [][]byte // texts in records that are not forbidden for this node

	mu         sync.Mutex
	incomplete []byte   // the last line, so far
	forbidden  []string // lines with a forbidden text
	discovery  []string // lines on discovery, each with the time when it was written
}

// Write reads the lines that are complete.
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

// recordEvent keeps a line of this process beside those on discovery.
func (l *logWatch) recordEvent(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discovery = append(l.discovery, fmt.Sprintf("%.3f soak: %s", l.run.now().Seconds(), text))
}

func containsAny(line []byte, texts [][]byte) bool {
	return slices.ContainsFunc(texts, func(text []byte) bool { return bytes.Contains(line, text) })
}
