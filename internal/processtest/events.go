package processtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"tulipglade/internal/lease"
)

// EventKind is the kind of occurrence that an event reports.
type EventKind string

// The kinds of events. Agents also report their log records as events, whose kind is the message of the record.
const (
	EventProcessReady   EventKind = "up"
	EventProcessFailed  EventKind = "ended"              // Text is the error
	EventLeadership     EventKind = "leadership changed" // log record of an agent that became or ceased to be leader
	EventLeaderKnown    EventKind = "leader known"       // log record of an agent that follows another leader
	EventFailoverLeader EventKind = "failover leadership changed"
	EventAcquire        EventKind = "acquire" // a request to the group and its response, like the next two kinds
	EventRenew          EventKind = "renew"
	EventRelease        EventKind = "release"
	EventLeaseAcquired  EventKind = "holds"
	EventLeaseDone      EventKind = "done"
	EventHolderHalted   EventKind = "halts" // the holder stops itself between checking its lease and its action
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

// Event is an entry of the log of all processes. Its times are read from the monotonic clock of the machine, which no
// fault changes.
type Event struct {
	At          time.Duration `json:"at"`
	RequestedAt time.Duration `json:"from,omitempty"` // when the reported request was sent; 0 for other events
	Process     string        `json:"who"`
	Kind        EventKind     `json:"what"`
	Slot        int           `json:"seat,omitempty"`
	Token       lease.Token   `json:"token,omitempty"`
	RequestID   uint64        `json:"ask,omitempty"`
	Text        string        `json:"text,omitempty"`
}

// becomesLeader reports whether the event is the report of an agent that it has become the leader of the group.
func (e Event) becomesLeader() bool {
	return e.Kind == EventLeadership && strings.Contains(e.Text, "is_leader=true")
}

// eventLog collects the events of all processes in the order in which they arrive.
type eventLog struct {
	mu     sync.Mutex
	events []Event
	grown  chan struct{} // closed and replaced when an event is added
}

func newEventLog() *eventLog { return &eventLog{grown: make(chan struct{})} }

func (l *eventLog) add(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
	close(l.grown)
	l.grown = make(chan struct{})
}

// eventsFrom returns the events from a position on, and a channel that is closed when the next event is added.
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

// Await waits until the log contains a wanted event at or after a position. It returns that event and the position
// after it.
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

// Leader returns the index of the agent that was the last to report that it became leader, or -1 if none has.
func (h *Harness) Leader() int {
	events, _ := h.log.eventsFrom(0)
	for _, event := range slices.Backward(events) {
		if event.becomesLeader() {
			return h.Index(event.Process)
		}
	}
	return -1
}
