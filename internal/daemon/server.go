// Package daemon starts and stops a node: its configuration, the listener, discovery's watch, and signals.
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

// newRequestGrace is for how long after SIGTERM clients may still send new requests that must be answered: 0.7 s, and the
// tolerance that applies to all limits.
const newRequestGrace = 750 * time.Millisecond

// shutdownTimeout bounds a graceful shutdown: by then every request's deadline has passed.
const shutdownTimeout = 15 * time.Second

// Serve runs a node until ctx ends or a signal to stop comes, and returns once every accepted request has been
// answered. At each of reloadSignals it applies the configuration that load returns then; see reload.
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

// server is a node with the listeners, the watch and the hot restart that belong to it.
type server struct {
	config    *Config
	log       *slog.Logger
	settings  node.Settings
	endpoints protocol.List // known before discovery has answered

	handoffSocketPath string          // of the Unix socket for handoffs; empty: no hot restart
	inherited         *inheritedState // of the predecessor; nil: none
	watch             *watch
	node              *node.Node
	admin             *admin.Server // nil: no admin address
	listener          *node.GatedListener
	eventLoop         netpoll.EventLoop
	group             *processGroup
	predecessorRole   *predecessorRole

	stopNode    chan struct{} // ends the node's goroutine
	nodeStopped chan struct{} // closed when the node's goroutine has ended
	serveFailed chan error    // why the event loop ended

	closers []func() // what close calls, last first
}

// open acquires all that the node needs. No client is accepted before it returns.
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

// onClose has close call release, before all that was registered earlier.
func (s *server) onClose(release func()) { s.closers = append(s.closers, release) }

// close releases what the steps of open, and offerHandoff, have registered.
func (s *server) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// inheritState receives the state of a predecessor, where there is one. Its endpoint list counts, also without endpoints, unless
// the configured one is newer and the predecessor's was not known to be current.
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
	s.onClose(func() { _ = s.inherited.Close() }) // the connection has served its purpose
	list := s.inherited.EndpointList
	if list.Revision >= s.endpoints.Revision || s.inherited.Learned.ListLeaseRemaining > 0 {
		s.endpoints = list
	}
}

func (s *server) createNode() error {
	s.watch = newWatch(s.config.Discovery, s.endpoints.Revision, s.log)
	newNode, err := node.New(s.settings, s.watch, s.log)
	if err != nil {
		return err
	}
	s.node = newNode
	s.watch.listener = newNode
	return nil
}

// openAdmin opens the admin address. It comes before the clients' listener: where it fails, a predecessor serves on.
func (s *server) openAdmin() error {
	if s.config.Admin == "" {
		return nil
	}
	adminServer, err := admin.Listen(s.config.Admin, s.node, s.log)
	if err != nil {
		return err
	}
	s.admin = adminServer
	s.onClose(func() { _ = adminServer.Close() }) // the process ends with it
	if s.inherited != nil {
		adminServer.RestoreTokens(s.inherited.Fence)
	}
	return nil
}

// openListener opens the clients' address, or takes the predecessor's socket. A shutdown that has answered every request
// closes it; after an error it ends with the process.
func (s *server) openListener() error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	s.listener = &node.GatedListener{Listener: listener}
	s.eventLoop, err = s.node.NewClientEventLoop()
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (s *server) listen() (netpoll.Listener, error) {
	if s.inherited != nil {
		return s.inherited.listener, nil
	}
	return node.Listen(s.config.Listen, s.config.Admin != "")
}

// start hands the node what is known so far, and has it run and accept clients.
func (s *server) start() {
	s.node.UpdateEndpoints(s.endpoints, true)
	if !s.config.Node.Balancer.PollDiscovery {
		s.watch.startPushed(s.config.DrainGrace, func(err error) {
			s.log.Warn("agent does not answer", "err", err)
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
	_ = s.listener.Close() // the process ends with it
}
