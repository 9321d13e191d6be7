// Command simadapter runs Balancers on the simulator's wire: one for each instance, sharing nothing.
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

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simadapter: %v\n", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	reader, w := simprotocol.NewReader(bufio.NewReaderSize(in, 1<<16)), &simprotocol.Writer{}
	live := map[uint32]*balancer.Balancer{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			if err := step(live, w, batch.Now, &batch.Events[i]); err != nil {
				return fmt.Errorf("event %d of the batch at clock %d: %w", i, batch.Now, err)
			}
		}
		if err := w.Flush(out); err != nil {
			return err
		}
	}
}

// step hands one event to its instance; a panic in the module becomes a Fault.
func step(live map[uint32]*balancer.Balancer, w *simprotocol.Writer, now balancer.Time, ev *simprotocol.Event) error {
	defer func() {
		if p := recover(); p != nil {
			w.Fault(ev.Instance, fmt.Sprint(p))
		}
	}()
	if ev.Code == simprotocol.PowerOn {
		b, err := balancer.New(ev.Config, ev.Seed, simprotocol.Instance{W: w, ID: ev.Instance})
		if err != nil {
			return err
		}
		live[ev.Instance] = b
		return nil
	}
	if ev.Code == simprotocol.Detach {
		delete(live, ev.Instance)
		return nil
	}
	b := live[ev.Instance]
	if b == nil {
		return fmt.Errorf("instance %d was never started", ev.Instance)
	}
	switch ev.Code {
	case simprotocol.Members:
		b.HandleEndpoints(now, ev.List, ev.Hosts)
	case simprotocol.Request:
		if n := ev.Arrival.Class; n >= len(b.Config().Classes) {
			return fmt.Errorf("record Request: class %d is not in the settings", n)
		}
		b.HandleRequest(now, ev.Arrival)
	case simprotocol.Streaming:
		b.HandleResponseStart(now, ev.Settled.ID)
	case simprotocol.Settled:
		b.HandleAttemptResult(now, ev.Settled)
	case simprotocol.Gone:
		b.HandleCancellation(now, ev.Settled.ID)
	case simprotocol.Elapsed:
		b.HandleTimer(now, ev.Token)
	case simprotocol.Check:
		b.HandleHealthCheck(now, ev.Settled.Endpoint, ev.Settled.Outcome, ev.Settled.Latency, ev.Settled.Load)
	case simprotocol.Peer:
		b.HandlePeerMessage(now, ev.From, ev.Data)
	}
	return nil
}
