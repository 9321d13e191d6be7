package emulator

import (
	"fmt"
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/eventqueue"
)

// detectionDelay draws the time until discovery learns of a stopped or started backend.
func (s *Simulation) detectionDelay(unreachable bool) eventqueue.Span {
	delayRange := s.scenario.Discovery.Notice
	if unreachable {
		delayRange = s.scenario.Discovery.Silent
	}
	return fromMilliseconds(interpolate(delayRange, s.discovery.random.Float64()))
}

// faultAffects reports whether the fault is active and affects the backend.
func (s *Simulation) faultAffects(faultIndex int, backend *Backend) bool {
	f := &s.faults[faultIndex]
	switch f.Kind {
	case faultinject.SiteLost, faultinject.SiteSilent:
		return s.activeFaults[faultIndex] && s.scenario.Fleet.Sites[backend.site] == f.Site
	}
	return s.activeFaults[faultIndex] && slices.Contains(f.Backends, backend.place)
}

// applyFaults computes anew the effect of all active faults on a backend's service.
func (s *Simulation) applyFaults(now eventqueue.Time, backend *Backend) {
	backend.advanceService(now)
	backend.slowdown, backend.frozen = 1, false
	backend.errorRate, backend.resetRate, backend.garbageRate = 0, 0, 0
	for i := range s.faults {
		if !s.faultAffects(i, backend) {
			continue
		}
		switch f := &s.faults[i]; f.Kind {
		case faultinject.Slow:
			backend.slowdown *= f.Size
		case faultinject.FastErrors:
			backend.errorRate = max(backend.errorRate, f.Size)
		case faultinject.Resets:
			backend.resetRate = max(backend.resetRate, f.Size)
		case faultinject.Garbage:
			backend.garbageRate = max(backend.garbageRate, f.Size)
		case faultinject.Freeze:
			backend.frozen = true
		}
	}
	backend.handleLoadChange(now)
}

// isStoppedByFault reports whether any active fault keeps the backend from running.
func (s *Simulation) isStoppedByFault(backend *Backend) bool {
	for i := range s.faults {
		switch s.faults[i].Kind {
		case faultinject.Kill, faultinject.Drain, faultinject.Replace, faultinject.SiteLost, faultinject.SiteSilent:
			if s.faultAffects(i, backend) {
				return true
			}
		}
	}
	return false
}

// drainTimeout is how long a draining backend has to finish its attempts.
const drainTimeout = 5 * eventqueue.Second

// killBackend kills a backend's process; discovery learns of it after detectionDelay.
func (s *Simulation) killBackend(now eventqueue.Time, backend *Backend, unreachable bool) {
	if !backend.running {
		backend.unreachable = backend.unreachable || unreachable
		return
	}
	backend.stopProcess(now, unreachable)
	s.discovery.scheduleChange(s.detectionDelay(unreachable), s.endpointOf(backend, balancer.PhaseRemoved))
}

// drainBackend starts a backend's graceful shutdown. It is stopped after drainTimeout, or half the fault's duration if that
// is shorter and not 0.
func (s *Simulation) drainBackend(backend *Backend, faultDuration eventqueue.Span) {
	if !backend.running || backend.draining {
		return
	}
	backend.draining = true
	s.discovery.scheduleChange(0, s.endpointOf(backend, balancer.PhaseDraining))
	timeout := drainTimeout
	if faultDuration > 0 {
		timeout = min(timeout, faultDuration/2)
	}
	deadline := eventqueue.Event{Target: s, Kind: faultDrainDeadline, Argument: int64(backend.id), Payload: backend.incarnation}
	s.events.ScheduleAfter(&s.faultSource, timeout, deadline)
}

// stopNodes kills the selected nodes; the frontend learns of it after the scenario's delay.
func (s *Simulation) stopNodes(selected func(*Node) bool) {
	for _, n := range s.nodes {
		if !selected(n) {
			continue
		}
		n.stoppingFaults++
		if n.incarnation != nil {
			n.stopProcess()
		}
		delay := fromMilliseconds(s.scenario.Nodes.Notice)
		s.events.ScheduleAfter(&s.faultSource, delay, eventqueue.Event{Target: s, Kind: faultNodeDownDetected, Payload: n})
	}
}

// startNodes restarts the selected nodes that no other active fault stops.
func (s *Simulation) startNodes(now eventqueue.Time, selected func(*Node) bool) {
	for _, n := range s.nodes {
		if !selected(n) {
			continue
		}
		n.stoppingFaults--
		if n.stoppingFaults > 0 || n.incarnation != nil {
			continue
		}
		if err := n.startProcess(now); err != nil {
			panic(err) // the policy was made with the same settings at the start
		}
		n.schedule(fromMilliseconds(s.scenario.Nodes.Notice), eventqueue.Event{Target: n, Kind: nodeReady})
	}
}

// restartBackend starts a backend's process again, unless another active fault keeps it down.
func (s *Simulation) restartBackend(now eventqueue.Time, backend *Backend) {
	if s.isStoppedByFault(backend) {
		return
	}
	if backend.running && backend.draining { // the fault ends before the drain deadline
		backend.stopProcess(now, false)
	}
	if backend.running {
		return
	}
	backend.startProcess(now)
	s.applyFaults(now, backend)
	s.discovery.scheduleChange(s.detectionDelay(false), s.endpointOf(backend, balancer.PhaseReady))
}

// replaceBackend puts a new backend at the address of a killed one.
func (s *Simulation) replaceBackend(now eventqueue.Time, place int) {
	old := s.backends[place]
	if s.isStoppedByFault(old) {
		return
	}
	old.replaced = true
	s.lastBackendID++
	streamName := fmt.Sprintf("box %d in place", s.lastBackendID)
	b := s.newBackend(place, s.lastBackendID, streamName)
	b.running = false
	s.backends[place], s.backendsByID[b.id] = b, b
	b.startProcess(now)
	s.applyFaults(now, b)
	s.discovery.scheduleChange(s.detectionDelay(false), s.endpointOf(b, balancer.PhaseReady))
	if interval := fromMilliseconds(s.scenario.Fleet.Report.Every); interval > 0 {
		b.schedule(interval, eventqueue.Event{Target: b, Kind: backendReportMeasured})
	}
}
