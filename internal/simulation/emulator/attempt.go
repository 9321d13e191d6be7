package emulator

import (
	"tulipglade/internal/balancer"
	"tulipglade/internal/simulation/eventqueue"
)

// attemptState is how far an attempt has come at its backend.
type attemptState uint8

const (
	attemptInTransit attemptState = iota
	attemptJoined                 // waits for an earlier attempt with the same idempotency key
	attemptQueued
	attemptRunning
	attemptFinished
)

// attempt is one sending of a request to a backend.
type attempt struct {
	request           *request
	number            int
	backend           *Backend
	incarnation       *backendIncarnation // the backend's process that accepted the connection
	sentAt            eventqueue.Time
	work              float64 // µs on one core of speed 1
	completionService float64 // the backend's attainedService at which the attempt is done
	state             attemptState
	awaited           bool // the node still expects an outcome
	newConnection     bool // sent on a connection opened for it
	holdsConnection   bool // occupies one of the backend's connections
	started           bool
	report            balancer.LoadReport
	liveContext       any // the caller's value of LiveBackends
}

// attemptHeap is a min-heap of running attempts by completionService. It implements heap.Interface.
type attemptHeap []*attempt

// Len returns the number of running attempts.
func (h attemptHeap) Len() int { return len(h) }

// Less orders attempts by the service at which they are done.
func (h attemptHeap) Less(i, j int) bool { return h[i].completionService < h[j].completionService }

// Swap exchanges two attempts.
func (h attemptHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an attempt; it is called by heap.Push alone.
func (h *attemptHeap) Push(x any) { *h = append(*h, x.(*attempt)) }

// Pop removes the last attempt; it is called by heap.Pop alone.
func (h *attemptHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// reply sends the outcome, an answer or a connection reset, back to the node.
func (a *attempt) reply(out balancer.Outcome) {
	a.state = attemptFinished
	n, b := a.request.node, a.backend
	if b.simulation.partitioned(n.site, b.site) {
		a.loseMessage(b.simulation)
		return
	}
	a.report = unknownReport
	if b.simulation.scenario.Fleet.Report.SentBy == "answers" {
		a.report = b.visibleReport
	}
	delay := b.simulation.delay(&b.random, b.site, n.site)
	b.schedule(delay, eventqueue.Event{Target: a.request.replyTo, Kind: nodeReply, Payload: a, Argument: int64(out)})
}

// loseMessage records that a network partition dropped the request or its answer: the node learns nothing until the link
// is back and the connection is reset.
func (a *attempt) loseMessage(simulation *Simulation) {
	if a.awaited {
		simulation.lostAttempts = append(simulation.lostAttempts, a)
	}
}

// drawSeed numbers the attempt for random draws of its own.
func (a *attempt) drawSeed() uint64 { return uint64(a.request.id)<<8 | uint64(a.number) }
