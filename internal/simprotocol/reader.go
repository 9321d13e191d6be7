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
	frameHeadSize = 16
	recordSize    = 48
	maxFrameSize  = 1 << 30 // bytes; a greater length is taken as damage
	maxLists      = 16
)

// Reader reads batches from a stream. Numbered lists and each instance's load report fields are retained across batches.
type Reader struct {
	input        io.Reader
	buffer       bytes.Buffer
	lists        [maxLists]endpointList
	reportFields map[uint32][]string // by instance
}

// endpointList is the list that an Inventory record has given under one number.
type endpointList struct {
	known     bool
	endpoints []balancer.Endpoint
}

// NewReader returns a Reader on input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: input, reportFields: map[uint32][]string{}}
}

// frameHead is the head of a batch.
type frameHead struct {
	size  int64 // of the records and the tail
	now   balancer.Time
	count int64 // of the records
}

// Next reads a batch. It returns io.EOF only where a frame could start.
func (r *Reader) Next() (Batch, error) {
	head, err := r.readHead()
	if err != nil {
		return Batch{}, err
	}
	r.buffer.Reset()
	// The buffer grows with what arrives, so a wrong length cannot claim memory.
	if n, err := io.CopyN(&r.buffer, r.input, head.size); err != nil {
		return Batch{}, fmt.Errorf("frame body: %d of %d bytes", n, head.size)
	}
	body := r.buffer.Bytes()
	tail := body[head.count*recordSize:]
	batch := Batch{Now: head.now, Events: make([]Event, 0, head.count)}
	for i := range head.count {
		event, err := r.decode(body[i*recordSize:(i+1)*recordSize], tail)
		if err != nil {
			return Batch{}, fmt.Errorf("record %d at byte %d: %w", i, frameHeadSize+i*recordSize, err)
		}
		if event.Code != recordInventory {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, nil
}

func (r *Reader) readHead() (frameHead, error) {
	var raw [frameHeadSize]byte
	if n, err := io.ReadFull(r.input, raw[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return frameHead{}, io.EOF
		}
		return frameHead{}, fmt.Errorf("frame header: %d of %d bytes", n, frameHeadSize)
	}
	size := int64(binary.BigEndian.Uint32(raw[0:]))
	now := binary.BigEndian.Uint64(raw[4:])
	count := int64(binary.BigEndian.Uint32(raw[12:]))
	if now > math.MaxInt64 {
		return frameHead{}, fmt.Errorf("frame header: clock %d at byte 4 is out of range", now)
	}
	if size > maxFrameSize {
		return frameHead{}, fmt.Errorf("frame header: length %d at byte 0 is over %d", size, maxFrameSize)
	}
	if count*recordSize > size {
		return frameHead{}, fmt.Errorf("frame header: %d records at byte 12 do not fit in %d bytes", count, size)
	}
	return frameHead{size: size, now: balancer.Time(now), count: count}, nil
}
