package simprotocol

import (
	"encoding/binary"
	"fmt"
	"math"

	"tulipglade/internal/balancer"
)

// cursor reads the fields of a record in order. Records have a fixed size, so decoding one never reads beyond its end.
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

// float32 reads a 32-bit floating-point number.
func (c *cursor) float32() float64 { return float64(math.Float32frombits(c.uint32())) }

func (c *cursor) requestID() balancer.RequestID { return balancer.RequestID(c.uint32()) }

// span reads a 32-bit duration in microseconds.
func (c *cursor) span() balancer.Span { return balancer.Span(c.uint32()) }

// endpointID reads an IPv4 address and a port, which together form an endpoint's ID.
func (c *cursor) endpointID() balancer.EndpointID {
	address := c.uint32()
	port := c.uint16()
	return balancer.EndpointID(address)<<16 | balancer.EndpointID(port)
}

// time reads a point in time. It returns the time, the raw value for error messages, and whether the value is in range.
func (c *cursor) time() (balancer.Time, uint64, bool) {
	value := c.uint64()
	return balancer.Time(value), value, value <= math.MaxInt64
}

// tailSection reads an offset and a count, and returns the section of the tail that starts at the offset and holds
// count units of unitSize bytes. The code names the record in errors.
func (c *cursor) tailSection(tail []byte, unitSize int64, code EventCode) ([]byte, error) {
	offset, count := int64(c.uint32()), int64(c.uint32())
	if offset > int64(len(tail)) || count*unitSize > int64(len(tail))-offset {
		return nil, fmt.Errorf("%s: offset %d and count %d exceed the tail of %d bytes", code, offset, count, len(tail))
	}
	return tail[offset : offset+count*unitSize], nil
}
