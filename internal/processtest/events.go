package processtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"tulipglade/internal/lease"
)

// EventKind says what an event reports.
type EventKind string

// The kinds of events. Agents report their log records, too; the kind of such an event is the record's message.
const (
	EventProcessReady   EventKind = "up"
	EventProcessFailed  EventKind = "ended"              // Text has the error
	EventLeadership     EventKind = "leadership changed" // an agent's log record: it has become leader, or is leader no longer
	EventLeaderKnown    EventKind = "leader known"       // an agent's log record: it follows another leader
	EventFailoverLeader EventKind = "failover leadership changed"
	EventAcquire        EventKind = "acquire" // a request to the group and its answer; so are the next two
	EventRenew          EventKind = "renew"
	EventRelease        EventKind = "release"
	EventLeaseAcquired  EventKind = "holds"
	EventLeaseDone      EventKind = "done"
	EventHolderHalted   EventKind = "halts" // it stops itself between its check and its action
	EventActionWithheld EventKind = "withheld"
	EventActionStarted  EventKind = "begins" // the target has admitted an action; Text names the holder
	EventActionEnded    EventKind = "ends"
	EventActionRejected EventKind = "refused"
	EventFault          EventKind = "fault"
	EventFaultEnded     EventKind = "fault ends"
	EventHealed         EventKind = "healed"
)

// harnessName is the process name of events that the harness itself reports.
const harnessName = "harness"

// Event is a line of the log that all processes share. They stamp events with the machine's monotonic clock, which no fault changes.
type Event struct {
	At          time.Duration `json:"at"`
	RequestedAt time.Duration `json:"from,omitempty"` // when the request was made, of events that report a request
	Process     string        `json:"who"`
	Kind        EventKind     `json:"what"`
	Slot        int           `json:"seat,omitempty"`
	Token       lease.Token   `json:"token,omitempty"`
	RequestID   uint64        `json:"ask,omitempty"`
	Text        string        `json:"text,omitempty"`
}

// becomesLeader reports whether an agent says that it leads the group from now on.
func (e Event) becomesLeader() bool {
	return e.Kind == EventLeadership && strings.Contains(e.Text, "is_leader=true")
}

// eventLog collects the events of all processes in the order in which they arrive.
type eventLog struct {
	mu     sync.Mutex
	events []Event
	grown  chan struct{} // closed when events has grown, and replaced
}

func newEventLog() *eventLog { return &eventLog{grown: make(chan struct{})} }

func (l *eventLog) add(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
	close(l.grown)
	l.grown = make(chan struct{})
}

// eventsFrom returns the events eventsFrom a position on, and a channel that is closed when there are more.
func (l *eventLog) eventsFrom(position int) (events []Event, grown <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[min(position, len(l.events)):], l.grown
}

// Log returns the events of all processes so far, sorted by time.
func (h *Harness) Log() []Event {
	events, _ := h.log.eventsFrom(0)
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}

// Await waits until the log has a wanted event at or after a position, and returns that event and the position after it.
func (h *Harness) Await(ctx context.Context, position int, wanted func(Event) bool) (Event, int, error) {
	for {
		events, grown := h.log.eventsFrom(position)
		for _, event := range events {
			position++
			if wanted(event) {
				return event, position, nil
			}
		}
		select {
		case <-ctx.Done():
			return Event{}, position, ctx.Err()
		case <-grown:
		}
	}
}

// LogEnd returns the position after the last event of the log.
func (h *Harness) LogEnd() int {
	events, _ := h.log.eventsFrom(0)
	return len(events)
}

// Leader returns the index of the agent that was the last to report that it leads; -1 if none has.
func (h *Harness) Leader() int {
	events, _ := h.log.eventsFrom(0)
	for _, event := range slices.Backward(events) {
		if event.becomesLeader() {
			return h.Index(event.Process)
		}
	}
	return -1
}
