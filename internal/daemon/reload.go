package daemon

import (
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"strings"
	"syscall"

	"tulipglade/internal/node"
)

// NotifyReload returns a channel that receives SIGHUP from here on. Without it, the signal terminates the process. A
// program must call it before it reads its configuration: a SIGHUP that arrives during the start then causes a reload,
// as the file may have changed after it was read.
func NotifyReload() <-chan os.Signal {
	signals := make(chan os.Signal, 1) // one pending signal is enough: the file is read after those dropped
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// reloadOnSignal reloads the configuration at each signal until the node has stopped, which includes the time while it
// drains.
func (s *server) reloadOnSignal(load func() (*Config, error), signals <-chan os.Signal) {
	running := s.config
	for {
		select {
		case <-signals:
			running = reload(running, load, s.watch, s.node, s.log)
		case <-s.nodeStopped:
			return
		}
	}
}

// reload loads a new configuration and applies it. It returns the configuration that is in force afterwards, which is
// the running one, unchanged, if the new one is invalid.
func reload(running *Config, load func() (*Config, error), endpointWatch *watch, runningNode *node.Node, log *slog.Logger) *Config {
	loaded, err := load()
	if err == nil {
		err = checkShape(running.document, loaded.document, "")
	}
	if err != nil {
		log.Error("configuration rejected", "err", err)
		return running
	}
	log.Info("configuration reloaded", "discovery", loaded.Discovery)
	if fields := restartOnlyChanges(running, loaded); len(fields) > 0 {
		log.Warn("changes need a restart", "fields", strings.Join(fields, ","))
	}
	endpointWatch.SetAddress(loaded.Discovery)
	next := keepRestartOnlyFields(running, loaded)
	if !next.Node.Balancer.PollDiscovery {
		endpointWatch.setDrainGrace(next.DrainGrace)
	}
	if !reflect.DeepEqual(running.Node, next.Node) {
		runningNode.Reconfigure(next.Node)
	}
	return next
}

// keepRestartOnlyFields returns the loaded configuration, with the running values of the fields that only a restart can
// change. The endpoint list and the seed are used only at the start: the list in a file is older than the lists that
// discovery has sent since, and would bring back endpoints that have been removed.
func keepRestartOnlyFields(running, loaded *Config) *Config {
	next := *loaded
	next.Name = running.Name
	next.Listen = running.Listen
	next.Admin = running.Admin
	next.Endpoints = running.Endpoints
	next.Cores = running.Cores
	next.MemoryMB = running.MemoryMB
	next.Node.Seed = running.Node.Seed
	next.Node.MaxDescriptors = running.Node.MaxDescriptors
	next.Node.MemoryLimit = running.Node.MemoryLimit
	next.Node.Zones = running.Node.Zones
	next.Node.Balancer.Zone = running.Node.Balancer.Zone
	next.Node.Balancer.PollDiscovery = running.Node.Balancer.PollDiscovery
	next.Node.Balancer.ListLease = running.Node.Balancer.ListLease
	return &next
}

// restartOnlyChanges returns the names of the fields that differ but that only a restart can change. It ignores the
// endpoint list and the seed, which are used only at the start.
func restartOnlyChanges(running, loaded *Config) []string {
	limitsDiffer := running.Cores != loaded.Cores ||
		running.MemoryMB != loaded.MemoryMB ||
		running.Node.MaxDescriptors != loaded.Node.MaxDescriptors
	runningBalancer, loadedBalancer := running.Node.Balancer, loaded.Node.Balancer
	checks := []struct {
		field   string
		differs bool
	}{
		{"name", running.Name != loaded.Name},
		{"listen", running.Listen != loaded.Listen},
		{"operator", running.Admin != loaded.Admin},
		{"limits", limitsDiffer},
		{"settings.zones", !slices.Equal(running.Node.Zones, loaded.Node.Zones)},
		{"settings.my_zone", runningBalancer.Zone != loadedBalancer.Zone},
		{"settings.discovery", runningBalancer.PollDiscovery != loadedBalancer.PollDiscovery},
	}
	var fields []string
	for _, check := range checks {
		if check.differs {
			fields = append(fields, check.field)
		}
	}
	return fields
}
