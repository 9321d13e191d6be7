package node

import "slices"

// arrival is when the input of a connection up to some byte was received, kept while requests in it wait for earlier
// answers.
type arrival struct {
	endOffset  int
	receivedAt int64
}

// arrivalMergeInterval bounds the number of arrivals, in microseconds: input that follows sooner counts as received
// with what came before.
const arrivalMergeInterval = 10_000

// recordArrival records when so many bytes were received.
func (c *clientConn) recordArrival(length int, receivedAt int64) {
	c.receivedBytes += length
	if c.request == nil && !c.writingAnswer { // all complete requests before it have been parsed
		c.arrivals = c.arrivals[:0]
	}
	if last := len(c.arrivals) - 1; last >= 0 && receivedAt-c.arrivals[last].receivedAt < arrivalMergeInterval {
		c.arrivals[last].endOffset = c.receivedBytes
		return
	}
	c.arrivals = append(c.arrivals, arrival{c.receivedBytes, receivedAt})
}

// arrivalTime returns when the last byte before so many others was received: a request's deadline counts from its own
// last byte, also if it has waited behind another.
func (c *clientConn) arrivalTime(bytesAfter int) (receivedAt int64) {
	index := slices.IndexFunc(c.arrivals, func(arrived arrival) bool { return arrived.endOffset >= c.receivedBytes-bytesAfter })
	if index < 0 {
		return c.node.now()
	}
	c.arrivals = c.arrivals[index:]
	return c.arrivals[0].receivedAt
}
