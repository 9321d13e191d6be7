package node

import (
	"fmt"
	"slices"
)

// backendConnState is the state of a connection to a backend.
type backendConnState uint8

// States of a connection to a backend.
const (
	backendDialing        backendConnState = iota // the event loop has not processed the result of the dial
	backendIdle                                   // in the pool; carries no attempt
	backendWriting                                // carries an attempt whose request is not known to be written in full
	backendAwaitingAnswer                         // the request has been written; its answer is awaited or being forwarded
	backendClosed                                 // terminal
)

var backendConnStateNames = [...]string{"dialing", "idle", "writing", "awaiting answer", "closed"}

// String returns the state's name for log lines.
func (s backendConnState) String() string { return backendConnStateNames[s] }

var backendConnTransitions = transitions[backendConnState]{
	backendDialing: {backendIdle, backendClosed},
	backendIdle:    {backendWriting, backendClosed},
	// A connection goes from writing to idle if its attempt was withdrawn before the first byte, or was answered
	// before the writer returned.
	backendWriting:        {backendAwaitingAnswer, backendIdle, backendClosed},
	backendAwaitingAnswer: {backendIdle, backendClosed},
}

// setState changes the state of the connection, if that is allowed.
func (b *backendConn) setState(next backendConnState) {
	changeState(b.node, "backend connection", &b.state, next, backendConnTransitions)
}

// clientConnState is the state of a connection from a client.
type clientConnState uint8

// States of a connection from a client.
const (
	clientOpen      clientConnState = iota // accepts requests
	clientLingering                        // accepts no more requests: its input is discarded until the client closes it
	clientClosed                           // terminal
)

var clientConnStateNames = [...]string{"open", "lingering", "closed"}

// String returns the state's name for log lines.
func (s clientConnState) String() string { return clientConnStateNames[s] }

var clientConnTransitions = transitions[clientConnState]{
	clientOpen:      {clientLingering, clientClosed},
	clientLingering: {clientClosed},
}

// setState changes the state of the connection, if that is allowed.
func (c *clientConn) setState(next clientConnState) {
	changeState(c.node, "client connection", &c.state, next, clientConnTransitions)
}

// requestState is the state of a request that the node has admitted.
type requestState uint8

// States of a request.
const (
	requestAdmitted requestState = iota // not yet passed to the balancer
	requestOpen                         // passed to the balancer, and its client waits for the answer
	requestDone                         // answered, or its client has disconnected; attempts may still be in flight
	requestReleased                     // no attempt is in flight, its buffer is released; terminal
)

var requestStateNames = [...]string{"admitted", "open", "done", "released"}

// String returns the state's name for log lines.
func (s requestState) String() string { return requestStateNames[s] }

var requestTransitions = transitions[requestState]{
	requestAdmitted: {requestOpen},
	requestOpen:     {requestDone},
	requestDone:     {requestReleased},
}

// setRequestState changes the state of a request, if that is allowed.
func (n *Node) setRequestState(req *request, next requestState) {
	changeState(n, "request", &req.state, next, requestTransitions)
}

// isDone reports whether the request needs no answer any more, because it has one or its client has disconnected.
func (r *request) isDone() bool { return r.state >= requestDone }

// attemptState is the state of one attempt of a request, or of a health check.
type attemptState uint8

// States of an attempt.
const (
	attemptWaiting   attemptState = iota // waits for a connection: nothing of it has been sent
	attemptAssigned                      // has a connection, on which its request is written and the answer received
	attemptCompleted                     // has its outcome; terminal
)

var attemptStateNames = [...]string{"waiting", "assigned", "completed"}

// String returns the state's name for log lines.
func (s attemptState) String() string { return attemptStateNames[s] }

var attemptTransitions = transitions[attemptState]{
	attemptWaiting:  {attemptAssigned, attemptCompleted},
	attemptAssigned: {attemptCompleted},
}

// setAttemptState changes the state of an attempt, if that is allowed.
func (n *Node) setAttemptState(att *attempt, next attemptState) {
	changeState(n, "attempt", &att.state, next, attemptTransitions)
}

// isCompleted reports whether the attempt has its outcome.
func (a *attempt) isCompleted() bool { return a.state == attemptCompleted }

// lifecycleState is the constraint that the state types above satisfy.
type lifecycleState interface {
	~uint8
	fmt.Stringer
}

// transitions lists, for each state, the states that may follow it. A terminal state has no entry.
type transitions[S lifecycleState] map[S][]S

// changeState sets a state if it may follow the current one. Any other change is a bug in this package: the state
// stays as it is, and the first change of each kind is logged. Setting the current state again has no effect.
func changeState[S lifecycleState](n *Node, object string, current *S, next S, allowed transitions[S]) {
	if *current == next {
		return
	}
	if slices.Contains(allowed[*current], next) {
		*current = next
		return
	}
	n.reportInvalidTransition(invalidTransition{object, (*current).String(), next.String()})
}

// invalidTransition identifies one kind of state change that is not allowed.
type invalidTransition struct{ object, from, to string }

// reportInvalidTransition logs a state change that is not allowed, unless one of the same kind has been logged.
func (n *Node) reportInvalidTransition(change invalidTransition) {
	if _, reported := n.invalidTransitions[change]; reported {
		return
	}
	n.invalidTransitions[change] = struct{}{}
	n.log.Error("invalid state transition", "object", change.object, "from", change.from, "to", change.to)
}
