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
	maxFrameSize     = 1 << 30 // bytes; a greater length is taken as damage
	maxEndpointLists = 16
)

// Reader reads batches from a stream. Numbered lists and each instance's load report fields are retained across batches.
type Reader struct {
	input        io.Reader
	buffer       bytes.Buffer
	lists        [maxEndpointLists]endpointList
	reportFields map[uint32][]string // by instance
}

// endpointList is the list that an Inventory record has given under one number.
type endpointList struct {
	defined   bool
	endpoints []balancer.Endpoint
}

// NewReader returns a Reader on input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: input, reportFields: map[uint32][]string{}}
}

// frameHeader is the head of a batch.
type frameHeader struct {
	size  int64 // of the records and the tail
	now   balancer.Time
	count int64 // of the records
}

// Next reads a batch. It returns io.EOF only where a frame could start.
func (r *Reader) Next() (Batch, error) {
	header, err := r.readHeader()
	if err != nil {
		return Batch{}, err
	}
	r.buffer.Reset()
	// The buffer grows with what arrives, so a wrong length cannot claim memory.
	if n, err := io.CopyN(&r.buffer, r.input, header.size); err != nil {
		return Batch{}, fmt.Errorf("frame body: %d of %d bytes", n, header.size)
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
		return frameHeader{}, fmt.Errorf("frame header: %d of %d bytes", n, frameHeaderSize)
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
