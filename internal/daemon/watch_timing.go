package daemon

import "time"

// Timing of calls to discovery.
//
// A discovery service that is cut off, or has lost a call, sends nothing, and its connections look alive; so each call is
// given up some slack after the wait that it asked for. What such a call misses counts as notified 6 s after discovery
// stopped answering, or 2 s after the call's wait where that is later. By then a new call must have been answered, so
// at most 5 s may pass until a timeout is noticed.
const (
	// maxWatchWait is how long a watch call may wait for events. Each call draws its wait from the upper half: all nodes
	// are answered at the moment of a change, and without jitter their next calls would time out in the same moment too.
	maxWatchWait = 4 * time.Second
	// watchTimeoutSlack is how long after its wait a watch call is given up. Ending one takes discovery no processing slot.
	watchTimeoutSlack = time.Second
	// immediateCallTimeout is for calls that do not wait. Discovery queues these, and itself rejects one that has been
	// queued for 2 or 3 s.
	immediateCallTimeout = 3200 * time.Millisecond
	// queueingThreshold tells a queued call from one that failed at once: rejected after so long, it met too many callers.
	queueingThreshold = time.Second
	// minCallInterval is the least time from one call to the next. Discovery drops a watch after 200 ms without a call.
	minCallInterval = 100 * time.Millisecond
	// dialTimeout bounds the opening of a connection to discovery.
	dialTimeout = time.Second
	// maxTimeoutDoublings bounds how far the timeout grows after calls without an answer: a discovery that takes longer
	// than one call allows would otherwise never be received.
	maxTimeoutDoublings = 2
	// listValidityAfterAddressChange is for how long the list from the old address still counts (protocol, new configurations).
	listValidityAfterAddressChange = 4 * time.Second
	// earlierAddressTimeout is how long after a change of address the answer to a call in flight there is waited for: by then
	// discovery has closed its connections (protocol, new configurations).
	earlierAddressTimeout = 1500 * time.Millisecond
	// answerLatencyTolerance is by how much an answer may exceed the wait of its call and still count as written on
	// arrival. A later one was held up in the network, or this process was.
	answerLatencyTolerance = 200 * time.Millisecond
)

// maxListBytes bounds the body of one answer of discovery.
const maxListBytes = 4 << 20
