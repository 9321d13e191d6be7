package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"tulipglade/internal/admin"
	"tulipglade/internal/node"
)

// drainGrace is how long after SIGTERM new requests still come and count: 0.7 s, and the slack of all limits.
const drainGrace = 750 * time.Millisecond

// stopWithin bounds a stop: by then every deadline has passed.
const stopWithin = 15 * time.Second

// limit keeps the process within its limits: one thread of Go code a core and one poller, and a collector that
// works harder before memory runs out. It returns the limit of descriptors: the system's own where that is lower.
func limit(c *Config, log *slog.Logger) (sockets int, err error) {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	memory(c.MemoryMB, 1)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	sockets = int(min(files.Cur, 1<<20))
	if c.Node.MaxDescriptors > 0 {
		sockets = min(sockets, c.Node.MaxDescriptors)
	}
	return sockets, node.ConfigurePoller(slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer())
}

// reload takes up a new configuration, and returns the one in force from here on: where the new one is not sound,
// the old one stays, whole.
func reload(old *Config, load func() (*Config, error), w *watch, n *node.Node, log *slog.Logger) *Config {
	c, err := load()
	if err == nil {
		err = shape(old.tree, c.tree, "")
	}
	if err != nil {
		log.Error("configuration not taken up", "err", err)
		return old
	}
	log.Info("configuration taken up", "discovery", c.Discovery)
	if fields := fixed(old, c); len(fields) > 0 {
		log.Warn("changes need a restart", "fields", strings.Join(fields, ","))
	}
	w.SetAddress(c.Discovery)
	running := *c // but for what takes a restart
	running.Name, running.Listen, running.Admin, running.Endpoints = old.Name, old.Listen, old.Admin, old.Endpoints
	running.Cores, running.MemoryMB = old.Cores, old.MemoryMB
	running.Node.Seed, running.Node.MaxDescriptors, running.Node.MemoryLimit = old.Node.Seed, old.Node.MaxDescriptors, old.Node.MemoryLimit
	running.Node.Zones, running.Node.Balancer.Zone = old.Node.Zones, old.Node.Balancer.Zone
	running.Node.Balancer.PollDiscovery, running.Node.Balancer.ListLease = old.Node.Balancer.PollDiscovery, old.Node.Balancer.ListLease
	if !running.Node.Balancer.PollDiscovery {
		w.heed(running.ShutdownGrace)
	}
	if !reflect.DeepEqual(old.Node, running.Node) {
		n.Reconfigure(running.Node)
	}
	return &running
}

// fixed names the fields that differ and that a running node does not change. The list of backends and the seed are for
// the start alone: a list in a file is older than what discovery has told since, and would bring back hosts that are
// gone.
func fixed(old, c *Config) (fields []string) {
	for _, f := range []struct {
		name    string
		differs bool
	}{
		{"name", old.Name != c.Name},
		{"listen", old.Listen != c.Listen},
		{"operator", old.Admin != c.Admin},
		{"limits", old.Cores != c.Cores || old.MemoryMB != c.MemoryMB || old.Node.MaxDescriptors != c.Node.MaxDescriptors},
		{"settings.zones", !slices.Equal(old.Node.Zones, c.Node.Zones)},
		{"settings.my_zone", old.Node.Balancer.Zone != c.Node.Balancer.Zone},
		{"settings.discovery", old.Node.Balancer.PollDiscovery != c.Node.Balancer.PollDiscovery},
	} {
		if f.differs {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// NotifyReload takes SIGHUP in from here on; before that, one ends the process. A program calls it before it reads its configuration: a
// SIGHUP that crosses its start stands for a file that is newer than the one it may have read.
func NotifyReload() <-chan os.Signal {
	hup := make(chan os.Signal, 1) // one that waits stands for all behind it: the file is read after them
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// Serve runs a node until ctx ends or a signal to stop comes, and returns once all that was taken has been
// answered. At each of hup it takes up the configuration that load returns then; see reload.
func Serve(ctx context.Context, c *Config, load func() (*Config, error), hup <-chan os.Signal, log *slog.Logger) error {
	ctx, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	set := c.Node
	var err error
	if set.MaxDescriptors, err = limit(c, log); err != nil {
		return err
	}
	known := c.Endpoints
	path := offerPath(c, log)
	var old *taken
	if path != "" {
		if old = takeOver(path, log); old != nil && old.EndpointList.Rev >= known.Rev && len(old.EndpointList.Targets) > 0 {
			known = old.EndpointList
		}
		if old != nil {
			defer func() { _ = old.Close() }()
		}
	}
	w := newWatch(c.Discovery, known.Rev)
	n, err := node.New(set, w, log)
	if err != nil {
		return err
	}
	w.to = n
	at := ""
	var calls *admin.Server
	if c.Admin != "" { // before any client is taken: should this fail, an older process serves on
		if calls, err = admin.Listen(c.Admin, n, log); err != nil {
			return err
		}
		defer func() { _ = calls.Close() }()
		at = calls.Addr().String()
		if old != nil {
			calls.RestoreTokens(old.Fence)
		}
	}
	ln, err := listen(c, old)
	if err != nil {
		return err
	}
	gate := &node.GatedListener{Listener: ln}
	loop, err := n.Serve()
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	n.UpdateEndpoints(known, true)
	if !c.Node.Balancer.PollDiscovery {
		w.pushed(c.ShutdownGrace, func(err error) { log.Warn("the agent that pushes lists does not answer", "err", err) })
	}
	if old != nil {
		n.ImportState(old.HotRestartState)
	}
	with := &shares{n: n, mb: c.MemoryMB}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		n.Run(stop)
		close(stopped)
	}()
	failed := make(chan error, 1)
	go func() { failed <- loop.Serve(gate) }()
	if old != nil {
		with.add(1)
		old.ReportServing(func() {
			with.add(-1)
			log.Info("the older process has ended")
		})
	}
	g := &predecessor{n: n, calls: calls, gate: gate, with: with, log: log}
	withdraw := offer(path, g, log)
	defer withdraw()
	go func() { // beside the rest, so also while the node drains
		for running := c; ; {
			select {
			case <-hup:
				running = reload(running, load, w, n, log)
			case <-stopped:
				return
			}
		}
	}()
	log.Info("serving", "name", c.Name, "listen", ln.Addr().String(), "discovery", c.Discovery, "operator", at,
		"backends", len(known.Targets), "sockets", set.MaxDescriptors, "memory_mb", c.MemoryMB)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		log.Info("stopping")
	}
	g.stop()
	drained := make(chan struct{})
	n.Drain(drainGrace, func() { close(drained) })
	select {
	case <-drained:
		log.Info("stopped")
	case <-time.After(stopWithin):
		log.Error("stopped with requests unanswered")
	}
	close(stop)
	<-stopped
	_ = ln.Close()
	return nil
}
