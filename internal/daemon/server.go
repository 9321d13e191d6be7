// Package daemon runs a node as a process: it reads the configuration, opens the listeners, polls and watches
// discovery, handles signals, and takes part in hot restarts.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"tulipglade/internal/admin"
	"tulipglade/internal/node"
	"tulipglade/internal/protocol"
)

// newRequestGrace is the time after SIGTERM in which clients may still send new requests that must be answered: 0.7 s,
// plus the tolerance that applies to all time limits.
const newRequestGrace = 750 * time.Millisecond

// shutdownTimeout bounds a graceful shutdown. After this time the deadline of every request has passed.
const shutdownTimeout = 15 * time.Second

// Serve runs a node until ctx ends or the process receives SIGTERM or SIGINT. It returns once every accepted request
// has been answered, or after shutdownTimeout. At each signal from reloadSignals it calls load and applies the
// configuration; see reload.
func Serve(
	ctx context.Context, config *Config, load func() (*Config, error), reloadSignals <-chan os.Signal, log *slog.Logger,
) error {
	ctx, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	s := &server{config: config, log: log}
	defer s.close()
	if err := s.open(); err != nil {
		return err
	}
	s.start()
	s.reportServing()
	s.offerHandoff()
	go s.reloadOnSignal(load, reloadSignals)
	s.logServing()
	select {
	case err := <-s.serveFailed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		log.Info("stopping")
	}
	s.shutDown()
	return nil
}

// server is a node together with its listeners, its watch of discovery and its part in hot restarts.
type server struct {
	config    *Config
	log       *slog.Logger
	settings  node.Settings // the configured settings, with the effective limit of file descriptors
	endpoints protocol.List // the endpoint list that is used until discovery has answered

	handoffSocketPath string          // path of the Unix socket for handoffs; empty: no hot restart
	inherited         *inheritedState // received from the predecessor; nil: no handoff was received
	watch             *watch
	node              *node.Node
	admin             *admin.Server // nil: no admin address is configured
	listener          *node.Listener
	eventLoop         netpoll.EventLoop
	group             *processGroup
	predecessorRole   *predecessorRole

	stopNode    chan struct{} // closed to end the node's goroutine
	nodeStopped chan struct{} // closed when the node's goroutine has ended
	serveFailed chan error    // receives the error with which the event loop ended

	closers []func() // functions that close calls, in reverse order
}

// open applies the process limits, receives a handoff, creates the node and opens its listeners. No client is accepted
// before it has returned.
func (s *server) open() error {
	s.settings = s.config.Node
	descriptors, err := applyProcessLimits(s.config, s.log)
	if err != nil {
		return err
	}
	s.settings.MaxDescriptors = descriptors
	s.inheritState()
	if err := s.createNode(); err != nil {
		return err
	}
	if err := s.openAdmin(); err != nil {
		return err
	}
	return s.openListener()
}

// onClose registers release to be called by close, before the functions that were registered earlier.
func (s *server) onClose(release func()) { s.closers = append(s.closers, release) }

// close calls the functions that open and offerHandoff have registered, the last one first.
func (s *server) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// inheritState receives the state of a predecessor, if there is one. The predecessor's endpoint list replaces the
// configured one, even if it is empty. The configured list is kept only if it has a higher revision and the
// predecessor had no valid lease on its list.
func (s *server) inheritState() {
	s.endpoints = s.config.Endpoints
	s.handoffSocketPath = handoffSocketPath(s.config, s.log)
	if s.handoffSocketPath == "" {
		return
	}
	s.inherited = receiveHandoff(s.handoffSocketPath, s.log)
	if s.inherited == nil {
		return
	}
	s.onClose(func() { _ = s.inherited.Close() }) // the handoff is over
	s.listener = s.inherited.listener
	s.onClose(s.closeListener)
	list := s.inherited.EndpointList
	if list.Revision >= s.endpoints.Revision || s.inherited.Learned.ListLeaseRemaining > 0 {
		s.endpoints = list
	}
}

// createNode creates the watch of discovery and the node, which use each other.
func (s *server) createNode() error {
	s.watch = newWatch(s.config.Discovery, s.endpoints.Revision, s.log)
	s.onClose(s.watch.Stop)
	newNode, err := node.New(s.settings, s.watch, s.log)
	if err != nil {
		return err
	}
	s.node = newNode
	s.watch.listener = newNode
	return nil
}

// openAdmin opens the admin address, if one is configured. It runs before openListener, so that a predecessor continues
// to serve if it fails.
func (s *server) openAdmin() error {
	if s.config.Admin == "" {
		return nil
	}
	adminServer, err := admin.Listen(s.config.Admin, s.node, s.log)
	if err != nil {
		return err
	}
	s.admin = adminServer
	s.onClose(func() { _ = adminServer.Close() }) // the process exits, whether or not this fails
	if s.inherited != nil {
		adminServer.RestoreTokens(s.inherited.Fence)
	}
	return nil
}

// openListener opens the address for clients, unless the listening socket of the predecessor is used, and creates the
// event loop for clients.
func (s *server) openListener() error {
	if s.listener == nil {
		listener, err := node.Listen(s.config.Listen, s.config.Admin != "")
		if err != nil {
			return err
		}
		s.listener = listener
		s.onClose(s.closeListener)
	}
	eventLoop, err := s.node.NewClientEventLoop()
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	s.eventLoop = eventLoop
	return nil
}

// closeListener removes the listener from the poller and closes it. The order matters: where another process shares the
// socket, the poller would go on to report its events, and remove what has the same number by then. Calls after the
// first have no effect.
func (s *server) closeListener() {
	if s.eventLoop != nil {
		noWait, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.eventLoop.Shutdown(noWait) // the node has closed its connections; what is left ends with the process
	}
	_ = s.listener.Close() // the event loop closes it only if it has begun to serve; the process exits if this fails
}

// start passes the known endpoint list and the inherited state to the node, and starts the goroutines that run the node
// and accept clients.
func (s *server) start() {
	s.node.UpdateEndpoints(s.endpoints, true)
	if !s.config.Node.Balancer.PollDiscovery {
		s.watch.startPushed(s.config.DrainGrace, func(err error) {
			s.log.Warn("call to the agent failed", "err", err)
		})
	}
	if s.inherited != nil {
		s.node.ImportState(s.inherited.HotRestartState)
	}
	s.group = &processGroup{node: s.node, memoryMB: s.config.MemoryMB}
	s.stopNode = make(chan struct{})
	s.nodeStopped = make(chan struct{})
	go func() {
		s.node.Run(s.stopNode)
		close(s.nodeStopped)
	}()
	s.serveFailed = make(chan error, 1)
	go func() { s.serveFailed <- s.eventLoop.Serve(s.listener) }()
}

func (s *server) logServing() {
	adminAddress := ""
	if s.admin != nil {
		adminAddress = s.admin.Addr().String()
	}
	s.log.Info("serving",
		"name", s.config.Name,
		"listen", s.listener.Addr().String(),
		"discovery", s.config.Discovery,
		"operator", adminAddress,
		"backends", len(s.endpoints.Targets),
		"sockets", s.settings.MaxDescriptors,
		"memory_mb", s.config.MemoryMB)
}

// shutDown drains the node, waits until it has answered every accepted request, or for shutdownTimeout, and stops it.
func (s *server) shutDown() {
	s.predecessorRole.startShutdown()
	drained := make(chan struct{})
	s.node.Drain(newRequestGrace, func() { close(drained) })
	select {
	case <-drained:
		s.log.Info("stopped")
	case <-time.After(shutdownTimeout):
		s.log.Error("stopped with requests unanswered")
	}
	close(s.stopNode)
	<-s.nodeStopped
	s.closeListener()
}
