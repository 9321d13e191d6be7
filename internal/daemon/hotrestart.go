package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"tulipglade/internal/admin"
	"tulipglade/internal/fencing"
	"tulipglade/internal/hotrestart"
	"tulipglade/internal/node"
)

// errExportTimeout reports that the node has not exported its state in time for a hot restart.
var errExportTimeout = errors.New("the node did not export its state in time")

// noDescriptor is returned as the descriptor when the listener cannot be handed over.
const noDescriptor = -1

// handoffState is the state that a process sends to its successor, as JSON.
type handoffState struct {
	node.HotRestartState
	Fence []fencing.Grant `json:"Fence"` // the newest token that admin calls have presented for each lease
}

// inheritedState is the state and the listener that a process has received from its predecessor.
type inheritedState struct {
	*hotrestart.Handoff
	handoffState
	listener *node.Listener
}

// handoffSocketPath returns the path of the Unix socket for handoffs between processes of this node. It returns an
// empty path if the path is invalid or the node has no admin address: hot restarts need an admin address.
func handoffSocketPath(config *Config, log *slog.Logger) string {
	if config.Admin == "" {
		return ""
	}
	path, err := hotrestart.SocketPath(os.Getenv("TMPDIR"), config.Name, config.Listen)
	if err != nil {
		log.Warn("handoff unavailable", "err", err)
	}
	return path
}

// receiveHandoff requests the listener and the state of a predecessor that listens at path. It returns nil if there is
// no predecessor or the handoff fails. The process then starts with a listener and state of its own.
func receiveHandoff(path string, log *slog.Logger) *inheritedState {
	handoff, err := hotrestart.Receive(path)
	if err != nil {
		log.Info("no handoff received", "err", err)
		return nil
	}
	inherited := &inheritedState{Handoff: handoff}
	err = jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(handoff.Body, &inherited.handoffState)
	handoff.Body = nil // frees the body, which may be large
	if err == nil {
		inherited.listener, err = node.InheritListener(handoff.ListenerFD)
	}
	if err != nil {
		log.Warn("no handoff received", "err", err)
		_ = syscall.Close(handoff.ListenerFD) // only the error above is logged
		_ = handoff.Close()
		return nil
	}
	log.Info("handoff received",
		"rev", inherited.EndpointList.Revision,
		"backends", len(inherited.EndpointList.Targets),
		"open", len(inherited.TraceIDs))
	return inherited
}

// reportServing reports to the predecessor, if there is one, that this process accepts clients. Until the predecessor
// has exited, both processes share the limits of the node.
func (s *server) reportServing() {
	if s.inherited == nil {
		return
	}
	s.group.addProcess()
	s.inherited.ReportServing(func() {
		s.group.removeProcess()
		s.log.Info("predecessor exited")
	})
}

// offerHandoff starts to offer the listener and the state to successors, until the server is closed.
func (s *server) offerHandoff() {
	s.predecessorRole = &predecessorRole{node: s.node, admin: s.admin, listener: s.listener, group: s.group, log: s.log}
	if s.handoffSocketPath == "" {
		return
	}
	offer, err := hotrestart.NewOffer(s.handoffSocketPath, s.predecessorRole)
	if err != nil {
		s.log.Warn("handoff unavailable", "err", fmt.Errorf("%s: %w", s.handoffSocketPath, err))
		return
	}
	s.onClose(func() { _ = offer.Close() }) // the process exits, whether or not this fails
}

// predecessorRole is the part that this process has in a hot restart when a successor replaces it.
type predecessorRole struct {
	node     *node.Node
	admin    *admin.Server
	listener *node.Listener
	group    *processGroup
	log      *slog.Logger

	mutex            sync.Mutex
	successorServing bool // a successor accepts clients
	stopping         bool // the shutdown of this process has started
}

// ExportHandoff implements hotrestart.Predecessor. It returns the state of the node as JSON and a duplicate of the
// listener's descriptor.
func (p *predecessorRole) ExportHandoff() (body []byte, descriptor int, err error) {
	state, err := p.exportState()
	if err != nil {
		p.log.Warn("handoff failed", "err", err)
		return nil, noDescriptor, err
	}
	body, err = jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(handoffState{state, p.admin.SeenTokens()})
	descriptor = noDescriptor
	if err == nil {
		descriptor, err = p.listener.Duplicate()
	}
	if err != nil {
		p.log.Warn("handoff failed", "err", err)
		return nil, noDescriptor, err
	}
	p.group.addProcess()
	p.log.Info("handoff sent",
		"rev", state.EndpointList.Revision,
		"backends", len(state.EndpointList.Targets),
		"open", len(state.TraceIDs),
		"bytes", len(body))
	return body, descriptor, nil
}

// exportState requests the state from the node's goroutine, and waits for it until hotrestart.HandoffTimeout has
// passed.
func (p *predecessorRole) exportState() (node.HotRestartState, error) {
	exported := make(chan node.HotRestartState, 1)
	p.node.ExportState(func(state node.HotRestartState) { exported <- state })
	select {
	case state := <-exported:
		return state, nil
	case <-time.After(hotrestart.HandoffTimeout):
		return node.HotRestartState{}, errExportTimeout
	}
}

// SuccessorServing implements hotrestart.Predecessor. Both processes accept clients from here on. Once the shutdown of
// this process has started, it stops accepting, and new clients reach the successor.
func (p *predecessorRole) SuccessorServing() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.successorServing = true
	p.log.Info("successor serving")
	if p.stopping {
		p.listener.StopAccepting()
	}
}

// SuccessorExited implements hotrestart.Predecessor. This process has all limits of the node to itself again.
func (p *predecessorRole) SuccessorExited() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopping && p.successorServing {
		return // neither process accepts clients any more, and this one is about to exit
	}
	p.successorServing = false
	p.group.removeProcess()
	p.log.Info("successor exited")
}

// startShutdown marks this process as stopping. It stops accepting clients if a successor accepts them.
func (p *predecessorRole) startShutdown() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopping = true
	if p.successorServing {
		p.listener.StopAccepting()
	}
}
