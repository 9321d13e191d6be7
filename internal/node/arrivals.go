package node

import (
	"slices"
)

// arrival is when the bytes of a connection up to a place had come, for what still waits for the answer before it.
type arrival struct {
	upToByte   int
	receivedAt int64
}

// arrivalMergeInterval bounds how many of these there are, in microseconds: what comes sooner behind another counts as come with it.
const arrivalMergeInterval = 10_000

// recordArrival notes when so many bytes have come.
func (c *clientConn) recordArrival(length int, receivedAt int64) {
	c.receivedBytes += length
	if c.request == nil && !c.writingAnswer { // every whole request of before has been read
		c.arrivals = c.arrivals[:0]
	}
	if last := len(c.arrivals) - 1; last >= 0 && receivedAt-c.arrivals[last].receivedAt < arrivalMergeInterval {
		c.arrivals[last].upToByte = c.receivedBytes
		return
	}
	c.arrivals = append(c.arrivals, arrival{c.receivedBytes, receivedAt})
}

// arrivalTime is when the last byte before so many others had come: a request's time counts from its own last byte, also where it has stood behind
// another.
func (c *clientConn) arrivalTime(behind int) (receivedAt int64) {
	index := slices.IndexFunc(c.arrivals, func(arrived arrival) bool { return arrived.upToByte >= c.receivedBytes-behind })
	if index < 0 {
		return c.node.now()
	}
	c.arrivals = c.arrivals[index:]
	return c.arrivals[0].receivedAt
}
