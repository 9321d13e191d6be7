// Package simprotocol decodes the simulator's frames into events and encodes commands of the decision module into frames.
// It decides nothing.
package simprotocol

import (
	"fmt"

	"tulipglade/internal/balancer"
)

// EventCode is the code of a record that the simulator sends.
type EventCode byte

// The codes of events; the comments give the records' names in the simulator's protocol.
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

	// recordInventory is an endpoint list that later records refer to by its number. It is not an event.
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

// String returns the record's name in the simulator's protocol.
func (c EventCode) String() string {
	if name, ok := recordNames[c]; ok {
		return name
	}
	return fmt.Sprintf("code %d", byte(c))
}

// Event is one decoded record. Code and Instance are always set; the other fields belong to the events named with them.
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

// Batch is one round of events.
type Batch struct {
	Now    balancer.Time
	Events []Event
}
