// Package simprotocol turns the simulator's frames into events and actions into frames. It decides nothing.
package simprotocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"tulipglade/internal/balancer"
	"tulipglade/internal/settings"
)

const (
	headSize   = 16
	eventSize  = 48
	actionSize = 24
	entrySize  = 25
	maxFrame   = 1 << 30 // bytes; a longer length is taken as damage
)

// Event codes.
const (
	PowerOn   = 16
	Members   = 17
	Request   = 18
	Streaming = 19
	Settled   = 20
	Gone      = 21
	Elapsed   = 22
	Check     = 23
	Peer      = 24
	Detach    = 25
	Inventory = 26
)

// Event is one decoded record; Code says which fields count.
type Event struct {
	Code     byte
	Instance uint32
	Seed     uint64
	Config   balancer.Config
	List     balancer.ListKind
	Hosts    []balancer.Endpoint
	Arrival  balancer.Request
	Settled  balancer.AttemptResult
	Token    balancer.TimerID
	From     int
	Data     []byte
}

// Batch is one round of events.
type Batch struct {
	Now    balancer.Time
	Events []Event
}

// Reader reads batches from a stream. Numbered lists and each instance's report layout live across batches.
type Reader struct {
	in     io.Reader
	buf    bytes.Buffer
	lists  [16][]balancer.Endpoint
	known  [16]bool
	fields map[uint32][]string
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in, fields: map[uint32][]string{}} }

// Next reads a batch. It returns io.EOF only where a frame could begin.
func (r *Reader) Next() (Batch, error) {
	var head [headSize]byte
	if n, err := io.ReadFull(r.in, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header: %d of %d bytes", n, headSize)
	}
	size := int64(binary.BigEndian.Uint32(head[0:]))
	now := binary.BigEndian.Uint64(head[4:])
	count := int64(binary.BigEndian.Uint32(head[12:]))
	if now > math.MaxInt64 {
		return Batch{}, fmt.Errorf("frame header: clock %d at byte 4 is out of range", now)
	}
	if size > maxFrame {
		return Batch{}, fmt.Errorf("frame header: length %d at byte 0 is over %d", size, maxFrame)
	}
	if count*eventSize > size {
		return Batch{}, fmt.Errorf("frame header: %d records at byte 12 do not fit in %d bytes", count, size)
	}
	r.buf.Reset()
	// The buffer grows with what arrives, so a wrong length cannot claim memory.
	if n, err := io.CopyN(&r.buf, r.in, size); err != nil {
		return Batch{}, fmt.Errorf("frame body: %d of %d bytes", n, size)
	}
	body := r.buf.Bytes()
	b := Batch{Now: int64(now), Events: make([]Event, 0, count)}
	tail := body[count*eventSize:]
	for i := int64(0); i < count; i++ {
		ev, skip, err := r.record(body[i*eventSize:(i+1)*eventSize], tail)
		if err != nil {
			return Batch{}, fmt.Errorf("record %d at byte %d: %w", i, headSize+i*eventSize, err)
		}
		if !skip {
			b.Events = append(b.Events, ev)
		}
	}
	return b, nil
}

func u16(b []byte) int    { return int(binary.BigEndian.Uint16(b)) }
func u32(b []byte) uint32 { return binary.BigEndian.Uint32(b) }

func host(b []byte) balancer.EndpointID {
	return balancer.EndpointID(u32(b))<<16 | balancer.EndpointID(u16(b[4:]))
}

// slice cuts n units of size unit out of the tail at the place that rec names.
func slice(rec, tail []byte, unit int64, what string) ([]byte, error) {
	off, n := int64(u32(rec)), int64(u32(rec[4:]))
	if off > int64(len(tail)) || n*unit > int64(len(tail))-off {
		return nil, fmt.Errorf("%s: offset %d and count %d run past the tail of %d bytes", what, off, n, len(tail))
	}
	return tail[off : off+n*unit], nil
}

func (r *Reader) record(rec, tail []byte) (ev Event, skip bool, err error) {
	ev = Event{Code: rec[0], Instance: u32(rec[1:])}
	switch rec[0] {
	case Inventory:
		n := u16(rec[1:])
		if n >= len(r.lists) {
			return ev, true, fmt.Errorf("record Inventory: list number %d is over 15", n)
		}
		raw, err := slice(rec[3:], tail, entrySize, "Inventory")
		if err != nil {
			return ev, true, err
		}
		r.lists[n], err = entries(raw)
		r.known[n] = err == nil
		return ev, true, err
	case PowerOn:
		ev.Seed = binary.BigEndian.Uint64(rec[5:])
		raw, err := slice(rec[13:], tail, 1, "PowerOn")
		if err != nil {
			return ev, false, err
		}
		deployment, err := settings.Parse(raw)
		if err != nil {
			return ev, false, fmt.Errorf("record PowerOn: boot_info: %w", err)
		}
		ev.Config = deployment.Balancer
		r.fields[ev.Instance] = deployment.LoadReportFields
	case Members:
		ev.List = balancer.ListKind(rec[5])
		if ev.List > balancer.ListFailed {
			return ev, false, fmt.Errorf("record Members: unknown mode %d at byte 5", rec[5])
		}
		if ev.List != balancer.ListFailed {
			n := u16(rec[6:])
			if n >= len(r.lists) || !r.known[n] {
				return ev, false, fmt.Errorf("record Members: no Inventory with number %d", n)
			}
			ev.Hosts = r.lists[n]
		}
	case Request:
		at := binary.BigEndian.Uint64(rec[24:])
		if at > math.MaxInt64 {
			return ev, false, fmt.Errorf("record Request: client_deadline_us %d is out of range", at)
		}
		ev.Arrival = balancer.Request{ID: balancer.RequestID(u32(rec[5:])), AffinityKey: binary.BigEndian.Uint64(rec[14:]), Tenant: u16(rec[22:]),
			Deadline: int64(at), Class: u16(rec[32:]), IsRetry: rec[9]&2 != 0}
		if rec[9]&1 != 0 {
			ev.Arrival.CostHint = int64(u32(rec[10:]))
		}
	case Streaming:
		ev.Settled = balancer.AttemptResult{ID: balancer.RequestID(u32(rec[5:])), Latency: int64(u32(rec[9:])),
			Endpoint: host(rec[13:]), Attempt: u16(rec[19:])}
	case Settled:
		code, err := outcome(u16(rec[11:]))
		if err != nil {
			return ev, false, fmt.Errorf("record Settled: %w", err)
		}
		ev.Settled = balancer.AttemptResult{ID: balancer.RequestID(u32(rec[5:])), Attempt: u16(rec[9:]), Outcome: code,
			Latency: int64(u32(rec[13:])), Endpoint: host(rec[17:]), RequestDone: rec[23] != 0}
		if ev.Settled.Load, err = r.report(ev.Instance, rec[24:]); err != nil {
			return ev, false, fmt.Errorf("record Settled: %w", err)
		}
	case Gone:
		ev.Settled.ID = balancer.RequestID(u32(rec[5:]))
	case Elapsed:
		ev.Token = balancer.TimerID(binary.BigEndian.Uint64(rec[5:]))
	case Check:
		code, err := outcome(u16(rec[5:]))
		if err != nil {
			return ev, false, fmt.Errorf("record CheckResult: %w", err)
		}
		ev.Settled = balancer.AttemptResult{Outcome: code, Endpoint: host(rec[7:]), Latency: int64(u32(rec[13:]))}
		if ev.Settled.Load, err = r.report(ev.Instance, rec[17:]); err != nil {
			return ev, false, fmt.Errorf("record CheckResult: %w", err)
		}
	case Peer:
		raw, err := slice(rec[7:], tail, 1, "PeerData")
		if err != nil {
			return ev, false, err
		}
		ev.From, ev.Data = u16(rec[5:]), bytes.Clone(raw)
	case Detach:
	default:
		return ev, false, fmt.Errorf("unknown record code %d", rec[0])
	}
	return ev, false, nil
}

func outcome(n int) (balancer.Outcome, error) {
	if n%10 != 0 || n < 10 || n > 80 {
		return 0, fmt.Errorf("unknown outcome %d", n)
	}
	return balancer.Outcome(n), nil
}

func entries(raw []byte) ([]balancer.Endpoint, error) {
	out := make([]balancer.Endpoint, 0, len(raw)/entrySize)
	for i := 0; i < len(raw); i += entrySize {
		e := raw[i:]
		if e[0] > byte(balancer.PhaseDraining) {
			return nil, fmt.Errorf("record Inventory: entry %d: unknown phase %d", i/entrySize, e[0])
		}
		at := binary.BigEndian.Uint64(e[9:])
		if at > math.MaxInt64 {
			return nil, fmt.Errorf("record Inventory: entry %d: start time %d is out of range", i/entrySize, at)
		}
		out = append(out, balancer.Endpoint{Phase: balancer.Phase(e[0]), Weight: float64(f32(e[1:])),
			Cell: u16(e[5:]), Zone: u16(e[7:]), StartedAt: int64(at), ID: host(e[17:])})
	}
	return out, nil
}

func f32(b []byte) float32 { return math.Float32frombits(u32(b)) }

func (r *Reader) report(inst uint32, rec []byte) (*balancer.LoadReport, error) {
	n := int(rec[0])
	if n > 4 {
		return nil, fmt.Errorf("load report of %d values", n)
	}
	if n == 0 {
		return nil, nil
	}
	rep := &balancer.LoadReport{Outstanding: -1, Backlog: -1, Utilization: -1}
	for i, name := range r.fields[inst] {
		if i >= n {
			break
		}
		v := float64(f32(rec[1+4*i:]))
		if math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch name {
		case "outstanding":
			rep.Outstanding = v
		case "backlog":
			rep.Backlog = v
		case "utilization":
			rep.Utilization = v
		}
	}
	return rep, nil
}

// Writer gathers one reply.
type Writer struct {
	count uint32
	recs  []byte
	tail  []byte
}

// Flush writes the reply to out and starts the next one.
func (w *Writer) Flush(out io.Writer) error {
	frame := make([]byte, 8, 8+len(w.recs)+len(w.tail))
	binary.BigEndian.PutUint32(frame, w.count)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(w.recs)+len(w.tail)))
	frame = append(append(frame, w.recs...), w.tail...)
	w.count, w.recs, w.tail = 0, w.recs[:0], w.tail[:0]
	_, err := out.Write(frame)
	return err
}

func (w *Writer) add(code byte, inst uint32) []byte {
	w.count++
	n := len(w.recs)
	w.recs = append(w.recs, make([]byte, actionSize)...)
	rec := w.recs[n:]
	rec[0] = code
	binary.BigEndian.PutUint32(rec[1:], inst)
	return rec
}

func (w *Writer) text(rec []byte, s string) {
	binary.BigEndian.PutUint32(rec, uint32(len(w.tail)))
	binary.BigEndian.PutUint32(rec[4:], uint32(len(s)))
	w.tail = append(w.tail, s...)
}

// Fault reports that the decisions of an instance broke.
func (w *Writer) Fault(inst uint32, s string) { w.text(w.add(89, inst)[5:], s) }

// Instance carries out one Balancer's actions.
type Instance struct {
	W  *Writer
	ID uint32
}

func putHost(b []byte, h balancer.EndpointID) {
	binary.BigEndian.PutUint32(b, uint32(h>>16))
	binary.BigEndian.PutUint16(b[4:], uint16(h))
}

func span(d balancer.Span) uint32 { return uint32(max(0, min(d, math.MaxUint32))) }

func (a Instance) req(code byte, id balancer.RequestID) []byte {
	rec := a.W.add(code, a.ID)
	binary.BigEndian.PutUint32(rec[5:], uint32(id))
	return rec
}

// SendAttempt launches an attempt.
func (a Instance) SendAttempt(id balancer.RequestID, h balancer.EndpointID, timeout balancer.Span) {
	rec := a.req(83, id)
	putHost(rec[9:], h)
	binary.BigEndian.PutUint32(rec[15:], span(timeout))
}

// CancelAttempt quits waiting on an attempt.
func (a Instance) CancelAttempt(id balancer.RequestID, attempt int) {
	binary.BigEndian.PutUint16(a.req(86, id)[9:], uint16(attempt))
}

// Reject refuses a request.
func (a Instance) Reject(id balancer.RequestID, retryIn balancer.Span) {
	binary.BigEndian.PutUint32(a.req(90, id)[9:], span(retryIn))
}

// Fail ends a request as failed.
func (a Instance) Fail(id balancer.RequestID) { a.req(82, id) }

// CheckHealth health-checks a host.
func (a Instance) CheckHealth(h balancer.EndpointID) { putHost(a.W.add(84, a.ID)[5:], h) }

// SetTimer asks for an Elapsed event.
func (a Instance) SetTimer(t balancer.TimerID, delay balancer.Span) {
	rec := a.W.add(80, a.ID)
	binary.BigEndian.PutUint64(rec[5:], uint64(t))
	binary.BigEndian.PutUint32(rec[13:], span(delay))
}

// WatchEndpoints subscribes to discovery, or ends that.
func (a Instance) WatchEndpoints(on bool) {
	rec := a.W.add(88, a.ID)
	if on {
		rec[5] = 1
	}
}

// PollEndpoints asks discovery for the whole list, once.
func (a Instance) PollEndpoints() { a.W.add(91, a.ID) }

// Log writes a line for the report.
func (a Instance) Log(s string) { a.W.text(a.W.add(85, a.ID)[5:], s) }
