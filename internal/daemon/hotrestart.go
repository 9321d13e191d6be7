package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	jsoniter "github.com/json-iterator/go"

	"tulipglade/internal/admin"
	"tulipglade/internal/fencing"
	"tulipglade/internal/hotrestart"
	"tulipglade/internal/node"
)

// errExportTimeout is a node that has not exported its state in time for a hot restart.
var errExportTimeout = errors.New("the node did not answer in time")

// noDescriptor stands for a listener that could not be passed on.
const noDescriptor = -1

// handoffState is what one process sends to its successor.
type handoffState struct {
	node.HotRestartState
	Fence []fencing.Grant `json:"Fence"` // the newest fencing tokens that operators' calls have presented
}

// inheritedState is what a process has received from its predecessor.
type inheritedState struct {
	*hotrestart.Handoff
	handoffState
	listener netpoll.Listener
}

// handoffSocketPath is the path of the Unix socket for handoffs between processes of this node, or nothing: only processes with an
// admin address are restarted hot.
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

// receiveHandoff asks a predecessor at path for its listener and state. It returns nil where there is none or it does not
// answer: the process starts on its own.
func receiveHandoff(path string, log *slog.Logger) *inheritedState {
	handoff, err := hotrestart.Receive(path)
	if err != nil {
		log.Info("no handoff received", "err", err)
		return nil
	}
	inherited := &inheritedState{Handoff: handoff}
	err = jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(handoff.Body, &inherited.handoffState)
	handoff.Body = nil // it may be large, and is not needed any more
	if err == nil {
		inherited.listener, err = node.InheritListener(handoff.ListenerFD)
	}
	if err != nil {
		log.Warn("no handoff received", "err", err)
		_ = syscall.Close(handoff.ListenerFD) // the error above is the one that counts
		_ = handoff.Close()
		return nil
	}
	log.Info("handoff received",
		"rev", inherited.EndpointList.Revision,
		"backends", len(inherited.EndpointList.Targets),
		"open", len(inherited.RequestIDs))
	return inherited
}

// reportServing tells the predecessor, where there is one, that this process accepts clients.
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

// offerHandoff offers the listener and the state to a successor, until the server is closed.
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
	s.onClose(func() { _ = offer.Close() }) // the process ends with it
}

// predecessorRole is this process as the older side of a hot restart.
type predecessorRole struct {
	node     *node.Node
	admin    *admin.Server
	listener *node.GatedListener
	group    *processGroup
	log      *slog.Logger

	mutex            sync.Mutex
	successorServing bool // a successor accepts clients
	stopping         bool
}

// ExportHandoff implements hotrestart.Predecessor.
func (p *predecessorRole) ExportHandoff() (body []byte, descriptor int, err error) {
	state, err := p.exportState()
	if err != nil {
		return nil, noDescriptor, err
	}
	body, err = jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(handoffState{state, p.admin.SeenTokens()})
	descriptor = noDescriptor
	if err == nil {
		descriptor, err = syscall.Dup(p.listener.Fd())
	}
	if err != nil {
		p.log.Warn("handoff failed", "err", err)
		return nil, noDescriptor, err
	}
	p.group.addProcess()
	p.log.Info("handoff sent",
		"rev", state.EndpointList.Revision,
		"backends", len(state.EndpointList.Targets),
		"open", len(state.RequestIDs),
		"bytes", len(body))
	return body, descriptor, nil
}

// exportState asks the node's goroutine for its state.
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

// SuccessorServing implements hotrestart.Predecessor. From here on new clients reach the successor, as soon as this
// process shuts down.
func (p *predecessorRole) SuccessorServing() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.successorServing = true
	p.log.Info("successor serving")
	if p.stopping {
		p.listener.StopAccepting()
	}
}

// SuccessorExited implements hotrestart.Predecessor.
func (p *predecessorRole) SuccessorExited() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopping && p.successorServing {
		return // neither process accepts any more, and this one is about to end
	}
	p.successorServing = false
	p.group.removeProcess()
	p.log.Info("successor exited")
}

// startShutdown stops accepting clients if a successor accepts them.
func (p *predecessorRole) startShutdown() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopping = true
	if p.successorServing {
		p.listener.StopAccepting()
	}
}
