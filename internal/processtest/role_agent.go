package processtest

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/consensus"
)

// runAgent runs an agent of the group, with the clock, the connections and the disk that the harness can disturb.
func (p *process) runAgent(ctx context.Context) error {
	listener, err := net.Listen("tcp4", p.Listen)
	if err != nil {
		return err
	}
	return agent.Serve(ctx, p.Dir, agent.Options{
		Log:      slog.New(&eventHandler{p}),
		Clock:    p.clock,
		Dial:     p.dial,
		Listener: listener,
		Failover: p.Failover,
		WrapStorage: func(disk consensus.Storage) consensus.Storage {
			return faultyStorage{p, disk}
		},
	})
}

// eventHandler is a slog.Handler that reports log records as events.
type eventHandler struct{ process *process }

// Enabled returns true for all levels, since every record becomes an event.
func (h *eventHandler) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs returns the handler itself: the agent adds no attributes to its logger.
func (h *eventHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup returns the handler itself: the agent uses no groups.
func (h *eventHandler) WithGroup(string) slog.Handler { return h }

// Handle reports a record as an event whose kind is the record's message.
func (h *eventHandler) Handle(_ context.Context, record slog.Record) error {
	var attributes []string
	record.Attrs(func(attribute slog.Attr) bool {
		attributes = append(attributes, attribute.String())
		return true
	})
	h.process.report(Event{Kind: EventKind(record.Message), Text: strings.Join(attributes, " ")})
	return nil
}

// faultyStorage is the storage of an agent with the disk faults that the harness has ordered.
type faultyStorage struct {
	process *process
	disk    consensus.Storage
}

// Save stores an update, unless a fault prevents it.
func (s faultyStorage) Save(update consensus.StorageUpdate) error {
	s.process.mu.Lock()
	stall, full, syncFails := s.process.diskStall, s.process.diskFull, s.process.syncFails
	s.process.mu.Unlock()
	time.Sleep(stall)
	switch {
	case full:
		return errInjected
	case s.process.Disabled.Sync:
		return nil
	}
	if err := s.disk.Save(update); err != nil || !syncFails {
		return err
	}
	return errInjected // the agent cannot know whether the update is on the disk, as after a failed sync
}
