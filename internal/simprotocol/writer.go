package simprotocol

import (
	"encoding/binary"
	"io"
	"math"

	"tulipglade/internal/balancer"
)

const (
	replyHeaderSize = 8
	commandSize     = 24

	// commandFieldsOffset is the offset in a command of the fields that follow the code and the instance.
	commandFieldsOffset = 5
)

// commandCode is the code at the start of each record that the adapter sends. It identifies the command.
type commandCode byte

// The command codes. The comment on each gives the record's name in the simulator's protocol.
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

// Writer collects the commands of one reply, which is a frame of a header, records, and a tail. The zero value is ready
// to use.
type Writer struct {
	count   uint32
	records []byte
	tail    []byte
}

// Flush writes the collected commands to output as one reply, and starts the next reply.
func (w *Writer) Flush(output io.Writer) error {
	size := len(w.records) + len(w.tail)
	frame := make([]byte, replyHeaderSize, replyHeaderSize+size)
	binary.BigEndian.PutUint32(frame, w.count)
	binary.BigEndian.PutUint32(frame[4:], uint32(size))
	frame = append(frame, w.records...)
	frame = append(frame, w.tail...)
	w.count, w.records, w.tail = 0, w.records[:0], w.tail[:0]
	_, err := output.Write(frame)
	return err
}

// addCommand adds a command to the reply. It returns the bytes of the command's fields, all 0, for the caller to fill in.
func (w *Writer) addCommand(code commandCode, instance uint32) []byte {
	w.count++
	start := len(w.records)
	w.records = append(w.records, make([]byte, commandSize)...)
	record := w.records[start:]
	record[0] = byte(code)
	binary.BigEndian.PutUint32(record[1:], instance)
	return record[commandFieldsOffset:]
}

// addRequestCommand adds a command whose first field is a request's ID. It returns the bytes of the fields that follow.
func (w *Writer) addRequestCommand(code commandCode, instance uint32, id balancer.RequestID) []byte {
	fields := w.addCommand(code, instance)
	binary.BigEndian.PutUint32(fields, uint32(id))
	return fields[4:]
}

// addTextCommand adds a command with a text. The text goes into the tail, and the fields hold its offset and length.
func (w *Writer) addTextCommand(code commandCode, instance uint32, text string) {
	fields := w.addCommand(code, instance)
	binary.BigEndian.PutUint32(fields, uint32(len(w.tail)))
	binary.BigEndian.PutUint32(fields[4:], uint32(len(text)))
	w.tail = append(w.tail, text...)
}

// ReportFault adds a Fault record, which reports that the decision module of an instance has panicked. The text
// describes the panic.
func (w *Writer) ReportFault(instance uint32, text string) {
	w.addTextCommand(commandFault, instance, text)
}

// InstanceCommands implements balancer.Commands for the Balancer of one instance: it adds each command to the Writer's
// reply.
type InstanceCommands struct {
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
func (i InstanceCommands) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, timeout balancer.Span) {
	fields := i.Writer.addRequestCommand(commandSendAttempt, i.ID, id)
	putEndpoint(fields, endpoint)
	putSpan(fields[6:], timeout)
}

// CancelAttempt implements balancer.Commands.
func (i InstanceCommands) CancelAttempt(id balancer.RequestID, attempt int) {
	fields := i.Writer.addRequestCommand(commandCancelAttempt, i.ID, id)
	binary.BigEndian.PutUint16(fields, uint16(attempt))
}

// Reject implements balancer.Commands.
func (i InstanceCommands) Reject(id balancer.RequestID, retryAfter balancer.Span) {
	putSpan(i.Writer.addRequestCommand(commandReject, i.ID, id), retryAfter)
}

// Fail implements balancer.Commands.
func (i InstanceCommands) Fail(id balancer.RequestID) {
	i.Writer.addRequestCommand(commandFail, i.ID, id)
}

// CheckHealth implements balancer.Commands.
func (i InstanceCommands) CheckHealth(endpoint balancer.EndpointID) {
	putEndpoint(i.Writer.addCommand(commandCheckHealth, i.ID), endpoint)
}

// SetTimer implements balancer.Commands.
func (i InstanceCommands) SetTimer(id balancer.TimerID, delay balancer.Span) {
	fields := i.Writer.addCommand(commandSetTimer, i.ID)
	binary.BigEndian.PutUint64(fields, uint64(id))
	putSpan(fields[8:], delay)
}

// WatchEndpoints implements balancer.Commands.
func (i InstanceCommands) WatchEndpoints(on bool) {
	fields := i.Writer.addCommand(commandWatchEndpoints, i.ID)
	if on {
		fields[0] = 1
	}
}

// PollEndpoints implements balancer.Commands.
func (i InstanceCommands) PollEndpoints() { i.Writer.addCommand(commandPollEndpoints, i.ID) }

// Log implements balancer.Commands.
func (i InstanceCommands) Log(text string) { i.Writer.addTextCommand(commandLog, i.ID, text) }
