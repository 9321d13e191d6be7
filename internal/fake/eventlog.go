package fake

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"tulipglade/internal/faultinject"
)

// eventKind is the kind of an event in the log. An event that reports an error has the error's text as its kind.
type eventKind string

const (
	eventArrived     eventKind = "arrived"
	eventAnswered    eventKind = "answered"
	eventRanTwice    eventKind = "ran-twice"
	eventAfterDrain  eventKind = "after-drain"
	eventListed      eventKind = "listed"
	eventNotified    eventKind = "told"
	eventFaultBegan  eventKind = "fault-began"
	eventFaultEnded  eventKind = "fault-ended"
	eventNodeStarted eventKind = "node-started"
	eventNodeKilled  eventKind = "node-killed"
	eventNodeIn      eventKind = "node-in"
	eventNodeOut     eventKind = "node-out"
)

// errorEvent returns the kind of an event that reports a failed operation.
func errorEvent(operation string, err error) eventKind {
	return eventKind(operation + ": " + err.Error())
}

// logEvent is one line of the log. Times are µs since the start.
type logEvent struct {
	Time         int64              `json:"us"`
	Kind         eventKind          `json:"what"`
	ID           string             `json:"id,omitempty"`
	Node         int                `json:"node"`
	Backend      int                `json:"box,omitempty"` // number of the backend process, from 1
	AddressIndex int                `json:"place"`         // index of the backend's address, from 0
	Class        string             `json:"class,omitempty"`
	Tenant       string             `json:"tenant,omitempty"`
	Key          uint64             `json:"key,omitempty"`
	Outcome      string             `json:"outcome,omitempty"`
	Ran          bool               `json:"ran,omitempty"`
	Phase        string             `json:"phase,omitempty"`
	Revision     int                `json:"rev,omitempty"`
	Fault        *faultinject.Fault `json:"fault,omitempty"`
}

// eventLog writes events as JSON lines. It keeps the first error, which flush returns.
type eventLog struct {
	mu      sync.Mutex
	buffer  *bufio.Writer // nil: events are discarded
	encoder *json.Encoder
	err     error
}

const eventLogBuffer = 64 << 10 // bytes

func newEventLog(w io.Writer) *eventLog {
	if w == nil {
		return &eventLog{}
	}
	buffer := bufio.NewWriterSize(w, eventLogBuffer)
	return &eventLog{buffer: buffer, encoder: json.NewEncoder(buffer)}
}

func (l *eventLog) write(event logEvent) {
	if l.buffer == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.encoder.Encode(event); err != nil && l.err == nil {
		l.err = err
	}
}

func (l *eventLog) flush() error {
	if l.buffer == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.buffer.Flush(); err != nil && l.err == nil {
		l.err = err
	}
	return l.err
}
