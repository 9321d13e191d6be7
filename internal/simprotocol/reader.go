package simprotocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"tulipglade/internal/balancer"
)

const (
	frameHeaderSize  = 16
	recordSize       = 48
	maxFrameSize     = 1 << 30 // bytes; a frame with a greater length is treated as corrupt
	maxEndpointLists = 16
)

// Reader reads batches from a stream. It retains the numbered endpoint lists, and the names of each instance's load
// report fields, across batches.
type Reader struct {
	input        io.Reader
	buffer       bytes.Buffer
	lists        [maxEndpointLists]endpointList
	reportFields map[uint32][]string // names of the fields in load reports, by instance
}

// endpointList is the list that the last Inventory record with some number has defined.
type endpointList struct {
	defined   bool // there was such a record, and it is valid
	endpoints []balancer.Endpoint
}

// NewReader returns a Reader that reads batches from input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: input, reportFields: map[uint32][]string{}}
}

// frameHeader is the decoded header of a frame. A frame holds one batch: a header, records, and a tail.
type frameHeader struct {
	size  int64 // bytes of the records and the tail together
	now   balancer.Time
	count int64 // number of records
}

// Next reads the next batch. It returns io.EOF if the input ends between two frames, and another error if it ends
// within a frame.
func (r *Reader) Next() (Batch, error) {
	header, err := r.readHeader()
	if err != nil {
		return Batch{}, err
	}
	r.buffer.Reset()
	// The buffer grows with the data that arrives, so a wrong length can't cause a large allocation.
	if n, err := io.CopyN(&r.buffer, r.input, header.size); err != nil {
		return Batch{}, fmt.Errorf("frame body: read only %d of %d bytes", n, header.size)
	}
	body := r.buffer.Bytes()
	tail := body[header.count*recordSize:]
	batch := Batch{Now: header.now, Events: make([]Event, 0, header.count)}
	for i := range header.count {
		event, err := r.decodeRecord(body[i*recordSize:(i+1)*recordSize], tail)
		if err != nil {
			return Batch{}, fmt.Errorf("record %d at byte %d: %w", i, frameHeaderSize+i*recordSize, err)
		}
		if event.Code != recordInventory {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, nil
}

func (r *Reader) readHeader() (frameHeader, error) {
	var raw [frameHeaderSize]byte
	if n, err := io.ReadFull(r.input, raw[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return frameHeader{}, io.EOF
		}
		return frameHeader{}, fmt.Errorf("frame header: read only %d of %d bytes", n, frameHeaderSize)
	}
	size := int64(binary.BigEndian.Uint32(raw[0:]))
	now := binary.BigEndian.Uint64(raw[4:])
	count := int64(binary.BigEndian.Uint32(raw[12:]))
	if now > math.MaxInt64 {
		return frameHeader{}, fmt.Errorf("frame header: clock %d at byte 4 is out of range", now)
	}
	if size > maxFrameSize {
		return frameHeader{}, fmt.Errorf("frame header: length %d at byte 0 is over %d", size, maxFrameSize)
	}
	if count*recordSize > size {
		return frameHeader{}, fmt.Errorf("frame header: %d records at byte 12 do not fit in %d bytes", count, size)
	}
	return frameHeader{size: size, now: balancer.Time(now), count: count}, nil
}
