package simprotocol

import (
	"encoding/binary"
	"fmt"
	"math"

	"tulipglade/internal/balancer"
)

// cursor reads the fields of a record one after the other. Records have a fixed size, so it never reads beyond the end.
type cursor struct {
	remaining []byte
}

func (c *cursor) advance(n int) { c.remaining = c.remaining[n:] }

func (c *cursor) uint8() byte {
	value := c.remaining[0]
	c.advance(1)
	return value
}

func (c *cursor) uint16() int {
	value := binary.BigEndian.Uint16(c.remaining)
	c.advance(2)
	return int(value)
}

func (c *cursor) uint32() uint32 {
	value := binary.BigEndian.Uint32(c.remaining)
	c.advance(4)
	return value
}

func (c *cursor) uint64() uint64 {
	value := binary.BigEndian.Uint64(c.remaining)
	c.advance(8)
	return value
}

// float32 reads a number of 32 bits as one of 64.
func (c *cursor) float32() float64 { return float64(math.Float32frombits(c.uint32())) }

func (c *cursor) requestID() balancer.RequestID { return balancer.RequestID(c.uint32()) }

// span reads a duration of 32 bits, in microseconds.
func (c *cursor) span() balancer.Span { return balancer.Span(c.uint32()) }

// endpointID reads an address and a port.
func (c *cursor) endpointID() balancer.EndpointID {
	address := c.uint32()
	port := c.uint16()
	return balancer.EndpointID(address)<<16 | balancer.EndpointID(port)
}

// time reads a point in time. It returns false where that is out of range.
func (c *cursor) time() (balancer.Time, uint64, bool) {
	value := c.uint64()
	return balancer.Time(value), value, value <= math.MaxInt64
}

// tailSection reads an offset and a count, and returns so many units of the tail from that offset on.
func (c *cursor) tailSection(tail []byte, unitSize int64, code EventCode) ([]byte, error) {
	offset, count := int64(c.uint32()), int64(c.uint32())
	if offset > int64(len(tail)) || count*unitSize > int64(len(tail))-offset {
		return nil, fmt.Errorf("%s: offset %d and count %d run past the tail of %d bytes", code, offset, count, len(tail))
	}
	return tail[offset : offset+count*unitSize], nil
}
