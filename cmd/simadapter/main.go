// Command simadapter runs the decision module in the simulator. It reads the simulator's protocol from standard input
// and writes replies to standard output. Each instance in the simulator has its own Balancer, and Balancers share no
// state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"tulipglade/internal/balancer"
	"tulipglade/internal/simprotocol"
)

// inputBufferSize is the size in bytes of the buffer for standard input.
const inputBufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "simadapter: %v\n", err) // if this fails, the exit status still reports the error
		os.Exit(1)
	}
}

// run reads batches from input and writes one reply to output for each of them, until the input ends.
func run(input io.Reader, output io.Writer) error {
	reader := simprotocol.NewReader(bufio.NewReaderSize(input, inputBufferSize))
	adapter := newAdapter()
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := adapter.handleBatch(&batch); err != nil {
			return err
		}
		if err := adapter.writer.Flush(output); err != nil {
			return err
		}
	}
}

// adapter passes events to the Balancers of their instances, whose commands the writer collects.
type adapter struct {
	writer    *simprotocol.Writer
	balancers map[uint32]*balancer.Balancer // by instance
}

func newAdapter() *adapter {
	return &adapter{writer: &simprotocol.Writer{}, balancers: map[uint32]*balancer.Balancer{}}
}

func (a *adapter) handleBatch(batch *simprotocol.Batch) error {
	for i := range batch.Events {
		if err := a.handleEvent(batch.Now, &batch.Events[i]); err != nil {
			return fmt.Errorf("event %d of the batch at clock %d: %w", i, batch.Now, err)
		}
	}
	return nil
}

// handleEvent passes one event to the Balancer of its instance. A panic in the decision module is reported to the
// simulator as a Fault record, and doesn't end the program.
func (a *adapter) handleEvent(now balancer.Time, event *simprotocol.Event) error {
	defer func() {
		if cause := recover(); cause != nil {
			a.writer.ReportFault(event.Instance, fmt.Sprint(cause))
		}
	}()
	switch event.Code {
	case simprotocol.EventStart:
		return a.start(event)
	case simprotocol.EventStop:
		delete(a.balancers, event.Instance)
		return nil
	}
	b := a.balancers[event.Instance]
	if b == nil {
		return fmt.Errorf("instance %d is not running: it was never started, or has stopped", event.Instance)
	}
	return dispatch(b, now, event)
}

func (a *adapter) start(event *simprotocol.Event) error {
	commands := simprotocol.InstanceCommands{Writer: a.writer, ID: event.Instance}
	b, err := balancer.New(event.Config, event.Seed, commands)
	if err != nil {
		return err
	}
	a.balancers[event.Instance] = b
	return nil
}

// dispatch calls the method of the Balancer that handles the event.
func dispatch(b *balancer.Balancer, now balancer.Time, event *simprotocol.Event) error {
	result := &event.Result
	switch event.Code {
	case simprotocol.EventEndpoints:
		b.HandleEndpoints(now, event.ListKind, event.Endpoints)
	case simprotocol.EventRequest:
		if class := event.Request.Class; class >= len(b.Config().Classes) {
			return fmt.Errorf("record Request: class %d is not in the settings", class)
		}
		b.HandleRequest(now, event.Request)
	case simprotocol.EventResponseStart:
		b.HandleResponseStart(now, result.ID)
	case simprotocol.EventAttemptResult:
		b.HandleAttemptResult(now, *result)
	case simprotocol.EventCancellation:
		b.HandleCancellation(now, result.ID)
	case simprotocol.EventTimer:
		b.HandleTimer(now, event.Timer)
	case simprotocol.EventHealthCheck:
		b.HandleHealthCheck(now, result.Endpoint, result.Outcome, result.Latency, result.Load)
	case simprotocol.EventPeerMessage:
		b.HandlePeerMessage(now, event.Peer, event.Data)
	}
	return nil
}
