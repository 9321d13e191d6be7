package daemon

import "time"

// Timing of calls to discovery.
//
// A discovery service that is cut off from the network, or has lost a call, sends nothing, while its connections look
// alive. Each call is therefore given up some slack after the end of the wait that it asked for. The node counts as
// notified of a change that such a call misses 6 s after discovery stopped answering, or 2 s after the end of the
// call's wait if that is later. A new call must have been answered by then, so a timeout must be detected within 5 s.
const (
	// maxWatchWait is the maximum time that a watch call waits for events. Each call draws a random wait from the upper
	// half of this time: discovery answers all nodes at the moment of a change, and without jitter their next calls
	// would also time out at the same moment.
	maxWatchWait = 4 * time.Second
	// watchTimeoutSlack is the time from the end of its wait until a watch call is given up. It may be short, as
	// discovery needs no processing slot to end a watch call.
	watchTimeoutSlack = time.Second
	// immediateCallTimeout is the timeout of calls that do not wait for events. Discovery queues these calls, and
	// rejects a call itself once it has been queued for 2 or 3 s.
	immediateCallTimeout = 3200 * time.Millisecond
	// queueingThreshold distinguishes a call that was queued from one that failed immediately. A call that fails after
	// this time has met an overloaded discovery service.
	queueingThreshold = time.Second
	// minCallInterval is the minimum time from the start of one call to the start of the next. Discovery drops a watch
	// after 200 ms without a call.
	minCallInterval = 100 * time.Millisecond
	// dialTimeout bounds the time to open a connection to discovery.
	dialTimeout = time.Second
	// maxTimeoutDoublings bounds the growth of the timeout, which doubles after each call without an answer. Without
	// the growth, a discovery service that always answers later than the first timeout would never be heard.
	maxTimeoutDoublings = 2
	// listValidityAfterAddressChange is the time for which the list from the old address remains valid (protocol, new
	// configurations).
	listValidityAfterAddressChange = 4 * time.Second
	// earlierAddressTimeout is the time after a change of address for which the node waits for the answer to the call
	// in flight at the old address. By then discovery has closed its connections (protocol, new configurations).
	earlierAddressTimeout = 1500 * time.Millisecond
	// answerLatencyTolerance is the time after the end of its call's wait within which an answer counts as written when
	// it arrives. A later answer was delayed by the network or by this process, and counts as written at the end of
	// this time.
	answerLatencyTolerance = 200 * time.Millisecond
)

// maxListBytes is the maximum size of the body of an answer of discovery.
const maxListBytes = 4 << 20
