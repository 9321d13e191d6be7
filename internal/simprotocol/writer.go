package simprotocol

import (
	"encoding/binary"
	"io"
	"math"

	"tulipglade/internal/balancer"
)

const (
	replyHeadSize = 8
	commandSize   = 24

	// commandFields is the offset of the fields behind the code and the instance.
	commandFields = 5
)

// commandCode is the code of a record that the adapter sends.
type commandCode byte

// The codes of commands; the comments give the records' names in the simulator's protocol.
const (
	commandSetTimer       commandCode = 80 // WakeAt
	commandFail           commandCode = 82 // FinishError
	commandSendAttempt    commandCode = 83 // Try
	commandCheckHealth    commandCode = 84 // AskLoad
	commandLog            commandCode = 85 // Print
	commandCancelAttempt  commandCode = 86 // StopAttempt
	commandWatchEndpoints commandCode = 88 // Observe
	commandFault          commandCode = 89 // Fault
	commandReject         commandCode = 90 // Decline
	commandPollEndpoints  commandCode = 91 // Refresh
)

// Writer collects the commands of one reply.
type Writer struct {
	count   uint32
	records []byte
	tail    []byte
}

// Flush writes the reply to output and starts the next one.
func (w *Writer) Flush(output io.Writer) error {
	size := len(w.records) + len(w.tail)
	frame := make([]byte, replyHeadSize, replyHeadSize+size)
	binary.BigEndian.PutUint32(frame, w.count)
	binary.BigEndian.PutUint32(frame[4:], uint32(size))
	frame = append(frame, w.records...)
	frame = append(frame, w.tail...)
	w.count, w.records, w.tail = 0, w.records[:0], w.tail[:0]
	_, err := output.Write(frame)
	return err
}

// add adds a command and returns its fields, all 0.
func (w *Writer) add(code commandCode, instance uint32) []byte {
	w.count++
	start := len(w.records)
	w.records = append(w.records, make([]byte, commandSize)...)
	record := w.records[start:]
	record[0] = byte(code)
	binary.BigEndian.PutUint32(record[1:], instance)
	return record[commandFields:]
}

// addForRequest adds a command whose first field is a request's ID, and returns the fields behind it.
func (w *Writer) addForRequest(code commandCode, instance uint32, id balancer.RequestID) []byte {
	fields := w.add(code, instance)
	binary.BigEndian.PutUint32(fields, uint32(id))
	return fields[4:]
}

// addText adds a command whose fields are a section of the tail with a text.
func (w *Writer) addText(code commandCode, instance uint32, text string) {
	fields := w.add(code, instance)
	binary.BigEndian.PutUint32(fields, uint32(len(w.tail)))
	binary.BigEndian.PutUint32(fields[4:], uint32(len(text)))
	w.tail = append(w.tail, text...)
}

// Fault reports that the decision module of an instance has panicked.
func (w *Writer) Fault(instance uint32, text string) { w.addText(commandFault, instance, text) }

// Instance writes the commands of one Balancer. It implements balancer.Commands.
type Instance struct {
	Writer *Writer
	ID     uint32
}

func putEndpoint(fields []byte, id balancer.EndpointID) {
	binary.BigEndian.PutUint32(fields, uint32(id>>16))
	binary.BigEndian.PutUint16(fields[4:], uint16(id))
}

func putSpan(fields []byte, span balancer.Span) {
	binary.BigEndian.PutUint32(fields, uint32(max(0, min(span, math.MaxUint32))))
}

// SendAttempt implements balancer.Commands.
func (i Instance) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, timeout balancer.Span) {
	fields := i.Writer.addForRequest(commandSendAttempt, i.ID, id)
	putEndpoint(fields, endpoint)
	putSpan(fields[6:], timeout)
}

// CancelAttempt implements balancer.Commands.
func (i Instance) CancelAttempt(id balancer.RequestID, attempt int) {
	fields := i.Writer.addForRequest(commandCancelAttempt, i.ID, id)
	binary.BigEndian.PutUint16(fields, uint16(attempt))
}

// Reject implements balancer.Commands.
func (i Instance) Reject(id balancer.RequestID, retryAfter balancer.Span) {
	putSpan(i.Writer.addForRequest(commandReject, i.ID, id), retryAfter)
}

// Fail implements balancer.Commands.
func (i Instance) Fail(id balancer.RequestID) { i.Writer.addForRequest(commandFail, i.ID, id) }

// CheckHealth implements balancer.Commands.
func (i Instance) CheckHealth(endpoint balancer.EndpointID) {
	putEndpoint(i.Writer.add(commandCheckHealth, i.ID), endpoint)
}

// SetTimer implements balancer.Commands.
func (i Instance) SetTimer(id balancer.TimerID, delay balancer.Span) {
	fields := i.Writer.add(commandSetTimer, i.ID)
	binary.BigEndian.PutUint64(fields, uint64(id))
	putSpan(fields[8:], delay)
}

// WatchEndpoints implements balancer.Commands.
func (i Instance) WatchEndpoints(on bool) {
	fields := i.Writer.add(commandWatchEndpoints, i.ID)
	if on {
		fields[0] = 1
	}
}

// PollEndpoints implements balancer.Commands.
func (i Instance) PollEndpoints() { i.Writer.add(commandPollEndpoints, i.ID) }

// Log implements balancer.Commands.
func (i Instance) Log(text string) { i.Writer.addText(commandLog, i.ID, text) }
