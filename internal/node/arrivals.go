package node

import "slices"

// arrival records when the input of a connection up to some offset was received. It is kept for pipelined requests,
// which are parsed only after earlier requests have been answered.
type arrival struct {
	endOffset  int // count of bytes received on the connection, this input included
	receivedAt int64
}

// While a connection is not read, its client may send what is received only later, and its time counts from then. The
// node can't tell when it was sent: what is received after a stop counts as received at the stop, until the client has
// sent nothing for minPauseBetweenSends.

// minPauseBetweenSends is a time without input that shows that all input sent before has been received, in microseconds.
const minPauseBetweenSends = 50_000

// readingStopped records that the connection is not read from now on.
func (c *clientConn) readingStopped() {
	if c.stoppedAt == 0 {
		c.stoppedAt = c.node.now()
	}
}

// readingResumed records that the connection is read again.
func (c *clientConn) readingResumed() { c.lastInputAt = c.node.now() }

// sentBefore returns a time before which input was sent that was received at the given time.
func (c *clientConn) sentBefore(receivedAt int64) int64 {
	if receivedAt-c.lastInputAt >= minPauseBetweenSends {
		c.stoppedAt = 0
	}
	c.lastInputAt = receivedAt
	if c.stoppedAt > 0 {
		return min(receivedAt, c.stoppedAt)
	}
	return receivedAt
}

// arrivalMergeInterval is the shortest interval between two arrivals that are recorded separately, in microseconds.
// Input that follows sooner counts as received with the input before it, which bounds the number of arrivals.
const arrivalMergeInterval = 10_000

// recordArrival records when the next length bytes of the connection were received.
func (c *clientConn) recordArrival(length int, receivedAt int64) {
	c.receivedBytes += length
	if c.request == nil && !c.writingAnswer { // all complete requests before this input have been parsed
		c.arrivals = c.arrivals[:0]
	}
	if last := len(c.arrivals) - 1; last >= 0 && receivedAt-c.arrivals[last].receivedAt < arrivalMergeInterval {
		c.arrivals[last].endOffset = c.receivedBytes
		return
	}
	c.arrivals = append(c.arrivals, arrival{c.receivedBytes, receivedAt})
}

// arrivalTime returns when the last byte of a request was received, given the number of bytes received after it. The
// deadline of a request counts from its own last byte, even if it has waited for the answers to earlier requests.
func (c *clientConn) arrivalTime(bytesAfter int) (receivedAt int64) {
	index := slices.IndexFunc(c.arrivals, func(arrived arrival) bool { return arrived.endOffset >= c.receivedBytes-bytesAfter })
	if index < 0 {
		return c.node.now()
	}
	c.arrivals = c.arrivals[index:]
	return c.arrivals[0].receivedAt
}
