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
	backendIdle                                   // in the pool, carries nothing
	backendWriting                                // carries an attempt whose request is not known to be written in full
	backendAwaitingAnswer                         // the request has been written; its answer is due or being forwarded
	backendClosed                                 // terminal
)

var backendConnStateNames = [...]string{"dialing", "idle", "writing", "awaiting answer", "closed"}

// String returns the state's name for log lines.
func (s backendConnState) String() string { return backendConnStateNames[s] }

var backendConnTransitions = transitions[backendConnState]{
	backendDialing: {backendIdle, backendClosed},
	backendIdle:    {backendWriting, backendClosed},
	// Idle follows where the attempt was withdrawn before its first byte, or was answered before the writer returned.
	backendWriting:        {backendAwaitingAnswer, backendIdle, backendClosed},
	backendAwaitingAnswer: {backendIdle, backendClosed},
}

// setState moves the connection to its next state.
func (b *backendConn) setState(next backendConnState) {
	changeState(b.node, "backend connection", &b.state, next, backendConnTransitions)
}

// clientConnState is the state of a connection from a client.
type clientConnState uint8

// States of a connection from a client.
const (
	clientOpen      clientConnState = iota // takes requests
	clientLingering                        // nothing new is read from it: its input is discarded until the client closes it
	clientClosed                           // terminal
)

var clientConnStateNames = [...]string{"open", "lingering", "closed"}

// String returns the state's name for log lines.
func (s clientConnState) String() string { return clientConnStateNames[s] }

var clientConnTransitions = transitions[clientConnState]{
	clientOpen:      {clientLingering, clientClosed},
	clientLingering: {clientClosed},
}

// setState moves the connection to its next state.
func (c *clientConn) setState(next clientConnState) {
	changeState(c.node, "client connection", &c.state, next, clientConnTransitions)
}

// requestState is the state of a request that the node has admitted.
type requestState uint8

// States of a request.
const (
	requestAdmitted requestState = iota // not yet handed to the decision module
	requestOpen                         // the decision module has it, and its client waits
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

// setRequestState moves a request to its next state.
func (n *Node) setRequestState(req *request, next requestState) {
	changeState(n, "request", &req.state, next, requestTransitions)
}

// isDone reports whether the request needs no answer any more.
func (r *request) isDone() bool { return r.state >= requestDone }

// attemptState is the state of one attempt of a request, or of a health check.
type attemptState uint8

// States of an attempt.
const (
	attemptWaiting   attemptState = iota // for a connection: nothing of it has been sent
	attemptAssigned                      // it has a connection, on which it is written and answered
	attemptCompleted                     // it has its outcome; terminal
)

var attemptStateNames = [...]string{"waiting", "assigned", "completed"}

// String returns the state's name for log lines.
func (s attemptState) String() string { return attemptStateNames[s] }

var attemptTransitions = transitions[attemptState]{
	attemptWaiting:  {attemptAssigned, attemptCompleted},
	attemptAssigned: {attemptCompleted},
}

// setAttemptState moves an attempt to its next state.
func (n *Node) setAttemptState(att *attempt, next attemptState) {
	changeState(n, "attempt", &att.state, next, attemptTransitions)
}

// isCompleted reports whether the attempt has its outcome.
func (a *attempt) isCompleted() bool { return a.state == attemptCompleted }

// lifecycleState is what the state types above have in common.
type lifecycleState interface {
	~uint8
	fmt.Stringer
}

// transitions lists the states that may follow each state.
type transitions[S lifecycleState] map[S][]S

// changeState sets a state if it may follow the current one. Any other change is a fault of this package: the state stays,
// and the first change of each kind is logged. To set the current state again has no effect.
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

// invalidTransition identifies one kind of state change that must not happen.
type invalidTransition struct{ object, from, to string }

func (n *Node) reportInvalidTransition(change invalidTransition) {
	if _, reported := n.invalidTransitions[change]; reported {
		return
	}
	n.invalidTransitions[change] = struct{}{}
	n.log.Error("invalid state transition", "object", change.object, "from", change.from, "to", change.to)
}
