package emulator

import (
	"slices"
	"strconv"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// What the faults' events mean. A: the fault's number.
const (
	faultStart = iota
	faultEnd
	faultConnectionsReset // what a cut has swallowed is reset
	faultDrainDeadline    // P: the box's life, which has had its time to finish
	faultNodeDownDetected // P: the node, whose death the front notices
)

// Faults are the faults that the scenario plays with that seed, nothing left open.
func Faults(sc *scenario.Scenario, seed uint64) []faultinject.Fault {
	r := eventqueue.NewStream(seed, "faults")
	return sc.ApplyDefaults(r)
}

func (s *Simulation) scheduleFaults() {
	for i, f := range s.faults {
		if f.Start == 0 {
			s.startFault(origin, i)
		} else {
			s.events.At(&s.faultSource, origin+f.Start*eventqueue.Millisecond, eventqueue.Event{To: s, Kind: faultStart, A: int64(i)})
		}
		if f.Duration > 0 {
			s.events.At(&s.faultSource, origin+f.End()*eventqueue.Millisecond, eventqueue.Event{To: s, Kind: faultEnd, A: int64(i)})
		}
	}
}

// Handle takes the events of faults.
func (s *Simulation) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case faultStart:
		s.startFault(now, int(e.A))
	case faultEnd:
		s.endFault(now, int(e.A))
	case faultConnectionsReset:
		stillLost := s.lostAttempts[:0]
		for _, a := range s.lostAttempts {
			switch {
			case !a.awaited:
			case s.partitioned(a.request.node.site, a.backend.site) || a.backend.unreachable:
				stillLost = append(stillLost, a)
			default:
				s.events.After(&s.faultSource, 0, eventqueue.Event{To: a.request.replyTo, Kind: nodeReply, P: a, A: int64(balancer.OutcomeReset)})
			}
		}
		clear(s.lostAttempts[len(stillLost):])
		s.lostAttempts = stillLost
	case faultDrainDeadline:
		if b := s.backendsByID[balancer.EndpointID(e.A)]; b.draining && e.P == b.incarnation {
			b.stopProcess(now, false)
			s.discovery.scheduleChange(s.detectionDelay(false), s.endpointOf(b, balancer.PhaseRemoved))
		}
	case faultNodeDownDetected:
		if n := e.P.(*Node); n.incarnation == nil {
			n.believedUp = false
		}
	}
}

func (s *Simulation) detectionDelay(unreachable bool) eventqueue.Span {
	delayRange := s.scenario.Discovery.Notice
	if unreachable {
		delayRange = s.scenario.Discovery.Silent
	}
	return fromMilliseconds(interpolate(delayRange, s.discovery.random.Float64()))
}

// faultAffects tells whether the fault is on and hits the box.
func (s *Simulation) faultAffects(faultIndex int, backend *Backend) bool {
	f := &s.faults[faultIndex]
	switch f.Kind {
	case faultinject.SiteLost, faultinject.SiteSilent:
		return s.activeFaults[faultIndex] && s.scenario.Fleet.Sites[backend.site] == f.Site
	}
	return s.activeFaults[faultIndex] && slices.Contains(f.Backends, backend.place)
}

// applyFaults works out anew what all faults that are on do to a box.
func (s *Simulation) applyFaults(now eventqueue.Time, backend *Backend) {
	backend.advanceService(now)
	backend.slowdown, backend.errorRate, backend.resetRate, backend.garbageRate, backend.frozen = 1, 0, 0, 0, false
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

// keptDownByFault tells whether any fault that is on keeps the box from running.
func (s *Simulation) keptDownByFault(backend *Backend) bool {
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

// drainTimeout is how long a box that drains has to finish what it holds.
const drainTimeout = 5 * eventqueue.Second

func (s *Simulation) startFault(now eventqueue.Time, faultIndex int) {
	f := s.faults[faultIndex]
	s.activeFaults[faultIndex] = true
	site := slices.Index(s.scenario.Fleet.Sites, f.Site)
	switch f.Kind {
	case faultinject.FastErrors, faultinject.Slow, faultinject.Resets, faultinject.Garbage, faultinject.Freeze:
		for _, p := range f.Backends {
			s.applyFaults(now, s.backends[p])
		}
	case faultinject.Kill, faultinject.Replace:
		for _, p := range f.Backends {
			s.killBackend(now, s.backends[p], false)
		}
	case faultinject.Drain:
		for _, p := range f.Backends {
			if b := s.backends[p]; b.running && !b.draining {
				b.draining = true
				s.discovery.scheduleChange(0, s.endpointOf(b, balancer.PhaseDraining))
				time := drainTimeout
				if f.Duration > 0 {
					time = min(time, f.Duration*eventqueue.Millisecond/2)
				}
				s.events.After(&s.faultSource, time, eventqueue.Event{To: s, Kind: faultDrainDeadline, A: int64(b.id), P: b.incarnation})
			}
		}
	case faultinject.SiteLost, faultinject.SiteSilent:
		for _, b := range s.backends {
			if b.site == site {
				s.killBackend(now, b, f.Kind == faultinject.SiteSilent)
			}
		}
		if f.WithNodes {
			s.stopNodes(now, func(n *Node) bool { return n.site == site })
		}
	case faultinject.SiteCut:
		s.partitions[site]++
	case faultinject.ListDown:
		s.discovery.beginOutage()
	case faultinject.NodeKill:
		s.stopNodes(now, func(n *Node) bool { return slices.Contains(f.Nodes, n.index) })
	case faultinject.ClockOff:
		for _, faultIndex := range f.Nodes {
			s.nodes[faultIndex].clockOffsets = append(s.nodes[faultIndex].clockOffsets, fromMilliseconds(f.Size))
		}
	case faultinject.DatagramsLost:
		s.peerMessageLoss = max(s.peerMessageLoss, f.Size)
	case faultinject.HotNode:
		for _, faultIndex := range f.Nodes {
			s.nodes[faultIndex].extraTraffic += f.Size / float64(len(f.Nodes))
		}
	}
}

// killBackend kills a box, of which discovery learns late.
func (s *Simulation) killBackend(now eventqueue.Time, backend *Backend, unreachable bool) {
	if !backend.running {
		backend.unreachable = backend.unreachable || unreachable
		return
	}
	backend.stopProcess(now, unreachable)
	s.discovery.scheduleChange(s.detectionDelay(unreachable), s.endpointOf(backend, balancer.PhaseRemoved))
}

func (s *Simulation) stopNodes(now eventqueue.Time, which func(*Node) bool) {
	for _, n := range s.nodes {
		if which(n) {
			if n.stoppingFaults++; n.incarnation != nil {
				n.stopProcess(now)
			}
			s.events.After(&s.faultSource, fromMilliseconds(s.scenario.Nodes.Notice), eventqueue.Event{To: s, Kind: faultNodeDownDetected, P: n})
		}
	}
}

func (s *Simulation) startNodes(now eventqueue.Time, which func(*Node) bool) {
	for _, n := range s.nodes {
		if !which(n) {
			continue
		}
		if n.stoppingFaults--; n.stoppingFaults == 0 && n.incarnation == nil {
			if err := n.startProcess(now); err != nil {
				panic(err) // the same settings were sound at the start
			}
			s.events.After(&n.source, fromMilliseconds(s.scenario.Nodes.Notice), eventqueue.Event{To: n, Kind: nodeReady})
		}
	}
}

func (s *Simulation) endFault(now eventqueue.Time, faultIndex int) {
	f := s.faults[faultIndex]
	if !s.activeFaults[faultIndex] {
		return
	}
	delete(s.activeFaults, faultIndex)
	site := slices.Index(s.scenario.Fleet.Sites, f.Site)
	switch f.Kind {
	case faultinject.FastErrors, faultinject.Slow, faultinject.Resets, faultinject.Garbage, faultinject.Freeze:
		for _, p := range f.Backends {
			s.applyFaults(now, s.backends[p])
		}
	case faultinject.Kill, faultinject.Drain:
		for _, p := range f.Backends {
			s.restartBackend(now, s.backends[p])
		}
	case faultinject.Replace:
		for _, p := range f.Backends {
			s.replaceBackend(now, p)
		}
	case faultinject.SiteLost, faultinject.SiteSilent:
		for _, b := range s.backends {
			if b.site == site {
				s.restartBackend(now, b)
			}
		}
		if f.WithNodes {
			s.startNodes(now, func(n *Node) bool { return n.site == site })
		}
		s.events.After(&s.faultSource, fromMilliseconds(s.scenario.Net.Silent), eventqueue.Event{To: s, Kind: faultConnectionsReset})
	case faultinject.SiteCut:
		s.partitions[site]--
		s.events.After(&s.faultSource, fromMilliseconds(s.scenario.Net.Silent), eventqueue.Event{To: s, Kind: faultConnectionsReset})
	case faultinject.ListDown:
		s.discovery.endOutage()
	case faultinject.NodeKill:
		s.startNodes(now, func(n *Node) bool { return slices.Contains(f.Nodes, n.index) })
	case faultinject.ClockOff:
		for _, faultIndex := range f.Nodes {
			n := s.nodes[faultIndex]
			if at := slices.Index(n.clockOffsets, fromMilliseconds(f.Size)); at >= 0 {
				n.clockOffsets = slices.Delete(n.clockOffsets, at, at+1)
			}
		}
	case faultinject.DatagramsLost:
		s.peerMessageLoss = 0
		for faultIndex, g := range s.faults {
			if s.activeFaults[faultIndex] && g.Kind == faultinject.DatagramsLost {
				s.peerMessageLoss = max(s.peerMessageLoss, g.Size)
			}
		}
	case faultinject.HotNode:
		for _, faultIndex := range f.Nodes {
			s.nodes[faultIndex].extraTraffic = max(0, s.nodes[faultIndex].extraTraffic-f.Size/float64(len(f.Nodes)))
		}
	}
}

// restartBackend starts a box's process again, if nothing else keeps it down.
func (s *Simulation) restartBackend(now eventqueue.Time, backend *Backend) {
	if s.keptDownByFault(backend) {
		return
	}
	if backend.running && backend.draining { // its end has not come yet: it is restarted in place
		backend.stopProcess(now, false)
	}
	if backend.running {
		return
	}
	backend.startProcess(now)
	s.applyFaults(now, backend)
	s.discovery.scheduleChange(s.detectionDelay(false), s.endpointOf(backend, balancer.PhaseReady))
}

// replaceBackend puts a new box at the address of one that is gone for good.
func (s *Simulation) replaceBackend(now eventqueue.Time, place int) {
	old := s.backends[place]
	if s.keptDownByFault(old) {
		return
	}
	old.replaced = true
	s.lastBackendID++
	b := s.newBackend(place, s.lastBackendID, "box "+strconv.FormatUint(uint64(s.lastBackendID), 10)+" in place")
	b.running = false
	s.backends[place], s.backendsByID[b.id] = b, b
	b.startProcess(now)
	s.applyFaults(now, b)
	s.discovery.scheduleChange(s.detectionDelay(false), s.endpointOf(b, balancer.PhaseReady))
	if every := fromMilliseconds(s.scenario.Fleet.Report.Every); every > 0 {
		s.events.After(&b.source, every, eventqueue.Event{To: b, Kind: backendReportMeasured})
	}
}
