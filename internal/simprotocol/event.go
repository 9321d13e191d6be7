// Package simprotocol decodes the simulator's frames into events for the decision module, and encodes the decision
// module's commands into reply frames. It makes no decisions itself.
package simprotocol

import (
	"fmt"

	"tulipglade/internal/balancer"
)

// EventCode is the code at the start of each record that the simulator sends. It identifies the record's kind.
type EventCode byte

// The event codes. The comment on each gives the record's name in the simulator's protocol.
const (
	EventStart         EventCode = 16 // PowerOn
	EventEndpoints     EventCode = 17 // Members
	EventRequest       EventCode = 18 // Request
	EventResponseStart EventCode = 19 // Streaming
	EventAttemptResult EventCode = 20 // Settled
	EventCancellation  EventCode = 21 // Gone
	EventTimer         EventCode = 22 // Elapsed
	EventHealthCheck   EventCode = 23 // CheckResult
	EventPeerMessage   EventCode = 24 // PeerData
	EventStop          EventCode = 25 // Detach

	// recordInventory is the code of a record that defines an endpoint list, which later records refer to by its
	// number. It is not an event.
	recordInventory EventCode = 26 // Inventory
)

var recordNames = map[EventCode]string{
	EventStart:         "PowerOn",
	EventEndpoints:     "Members",
	EventRequest:       "Request",
	EventResponseStart: "Streaming",
	EventAttemptResult: "Settled",
	EventCancellation:  "Gone",
	EventTimer:         "Elapsed",
	EventHealthCheck:   "CheckResult",
	EventPeerMessage:   "PeerData",
	EventStop:          "Detach",
	recordInventory:    "Inventory",
}

// String returns the name in the simulator's protocol of the record with this code.
func (c EventCode) String() string {
	if name, ok := recordNames[c]; ok {
		return name
	}
	return fmt.Sprintf("code %d", byte(c))
}

// Event is one decoded record. Code and Instance are always set; each other field is set for the events in its comment.
type Event struct {
	Code      EventCode
	Instance  uint32
	Seed      uint64                 // EventStart
	Config    balancer.Config        // EventStart
	ListKind  balancer.ListKind      // EventEndpoints
	Endpoints []balancer.Endpoint    // EventEndpoints
	Request   balancer.Request       // EventRequest
	Result    balancer.AttemptResult // EventResponseStart, EventAttemptResult, EventCancellation, EventHealthCheck
	Timer     balancer.TimerID       // EventTimer
	Peer      int                    // EventPeerMessage
	Data      []byte                 // EventPeerMessage
}

// Batch holds the events of one frame. They all occur at the time Now.
type Batch struct {
	Now    balancer.Time
	Events []Event
}
