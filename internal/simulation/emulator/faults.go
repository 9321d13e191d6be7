package emulator

import (
	"slices"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/eventqueue"
	"tulipglade/internal/simulation/scenario"
)

// Kinds of the faults' events.
const (
	faultStart            = iota // Argument: the fault's index
	faultEnd                     // Argument: the fault's index
	faultConnectionsReset        // connections whose messages a partition dropped are reset
	faultDrainDeadline           // Argument: the backend's ID; Payload: its incarnation, which is stopped if it still drains
	faultNodeDownDetected        // Payload: the node that the frontend finds down, unless it runs again
)

// Faults returns the faults that the scenario plays with that seed, with all defaults applied.
func Faults(sc *scenario.Scenario, seed uint64) []faultinject.Fault {
	return sc.ApplyDefaults(eventqueue.NewStream(seed, "faults"))
}

// scheduleFaults starts the faults that are active from the beginning, and schedules the rest.
func (s *Simulation) scheduleFaults() {
	for i, f := range s.faults {
		if f.Start == 0 {
			s.startFault(origin, i)
		} else {
			s.scheduleFaultEvent(f.Start, eventqueue.Event{Target: s, Kind: faultStart, Argument: int64(i)})
		}
		if f.Duration > 0 {
			s.scheduleFaultEvent(f.End(), eventqueue.Event{Target: s, Kind: faultEnd, Argument: int64(i)})
		}
	}
}

// scheduleFaultEvent sets an event at so many milliseconds after the start of the run.
func (s *Simulation) scheduleFaultEvent(milliseconds int64, event eventqueue.Event) {
	s.events.Schedule(&s.faultSource, origin+milliseconds*eventqueue.Millisecond, event)
}

// Handle processes the events of faults.
func (s *Simulation) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case faultStart:
		s.startFault(now, int(e.Argument))
	case faultEnd:
		s.endFault(now, int(e.Argument))
	case faultConnectionsReset:
		s.resetLostAttempts()
	case faultDrainDeadline:
		if b := s.backendsByID[balancer.EndpointID(e.Argument)]; b.draining && e.Payload == b.incarnation {
			b.stopProcess(now, false)
			s.discovery.scheduleChange(s.detectionDelay(false), s.endpointOf(b, balancer.PhaseRemoved))
		}
	case faultNodeDownDetected:
		if n := e.Payload.(*Node); n.incarnation == nil {
			n.believedUp = false
		}
	}
}

// resetLostAttempts resets the connections of attempts whose messages were dropped, where the link is back.
func (s *Simulation) resetLostAttempts() {
	stillLost := s.lostAttempts[:0]
	for _, a := range s.lostAttempts {
		switch {
		case !a.awaited:
		case s.partitioned(a.request.node.site, a.backend.site) || a.backend.unreachable:
			stillLost = append(stillLost, a)
		default:
			reset := eventqueue.Event{Target: a.request.replyTo, Kind: nodeReply, Payload: a, Argument: int64(balancer.OutcomeReset)}
			s.events.ScheduleAfter(&s.faultSource, 0, reset)
		}
	}
	clear(s.lostAttempts[len(stillLost):])
	s.lostAttempts = stillLost
}

// startFault makes a fault active.
func (s *Simulation) startFault(now eventqueue.Time, faultIndex int) {
	f := s.faults[faultIndex]
	s.activeFaults[faultIndex] = true
	site := slices.Index(s.scenario.Fleet.Sites, f.Site)
	switch f.Kind {
	case faultinject.FastErrors, faultinject.Slow, faultinject.Resets, faultinject.Garbage, faultinject.Freeze:
		for _, place := range f.Backends {
			s.applyFaults(now, s.backends[place])
		}
	case faultinject.Kill, faultinject.Replace:
		for _, place := range f.Backends {
			s.killBackend(now, s.backends[place], false)
		}
	case faultinject.Drain:
		for _, place := range f.Backends {
			s.drainBackend(s.backends[place], f.Duration*eventqueue.Millisecond)
		}
	case faultinject.SiteLost, faultinject.SiteSilent:
		for _, b := range s.backends {
			if b.site == site {
				s.killBackend(now, b, f.Kind == faultinject.SiteSilent)
			}
		}
		if f.WithNodes {
			s.stopNodes(func(n *Node) bool { return n.site == site })
		}
	case faultinject.SitePartition:
		s.partitions[site]++
	case faultinject.DiscoveryDown:
		s.discovery.beginOutage()
	case faultinject.NodeKill:
		s.stopNodes(func(n *Node) bool { return slices.Contains(f.Nodes, n.index) })
	case faultinject.ClockSkew:
		for _, i := range f.Nodes {
			s.nodes[i].clockOffsets = append(s.nodes[i].clockOffsets, fromMilliseconds(f.Size))
		}
	case faultinject.MessageLoss:
		s.peerMessageLoss = max(s.peerMessageLoss, f.Size)
	case faultinject.HotNode:
		for _, i := range f.Nodes {
			s.nodes[i].extraTraffic += f.Size / float64(len(f.Nodes))
		}
	}
}

// endFault ends a fault and undoes its effects, unless another active fault keeps them up.
func (s *Simulation) endFault(now eventqueue.Time, faultIndex int) {
	f := s.faults[faultIndex]
	if !s.activeFaults[faultIndex] {
		return
	}
	delete(s.activeFaults, faultIndex)
	site := slices.Index(s.scenario.Fleet.Sites, f.Site)
	switch f.Kind {
	case faultinject.FastErrors, faultinject.Slow, faultinject.Resets, faultinject.Garbage, faultinject.Freeze:
		for _, place := range f.Backends {
			s.applyFaults(now, s.backends[place])
		}
	case faultinject.Kill, faultinject.Drain:
		for _, place := range f.Backends {
			s.restartBackend(now, s.backends[place])
		}
	case faultinject.Replace:
		for _, place := range f.Backends {
			s.replaceBackend(now, place)
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
		s.events.ScheduleAfter(&s.faultSource, fromMilliseconds(s.scenario.Net.Silent), eventqueue.Event{Target: s, Kind: faultConnectionsReset})
	case faultinject.SitePartition:
		s.partitions[site]--
		s.events.ScheduleAfter(&s.faultSource, fromMilliseconds(s.scenario.Net.Silent), eventqueue.Event{Target: s, Kind: faultConnectionsReset})
	case faultinject.DiscoveryDown:
		s.discovery.endOutage()
	case faultinject.NodeKill:
		s.startNodes(now, func(n *Node) bool { return slices.Contains(f.Nodes, n.index) })
	case faultinject.ClockSkew:
		for _, i := range f.Nodes {
			n := s.nodes[i]
			if index := slices.Index(n.clockOffsets, fromMilliseconds(f.Size)); index >= 0 {
				n.clockOffsets = slices.Delete(n.clockOffsets, index, index+1)
			}
		}
	case faultinject.MessageLoss:
		s.peerMessageLoss = 0
		for i, other := range s.faults {
			if s.activeFaults[i] && other.Kind == faultinject.MessageLoss {
				s.peerMessageLoss = max(s.peerMessageLoss, other.Size)
			}
		}
	case faultinject.HotNode:
		for _, i := range f.Nodes {
			n := s.nodes[i]
			n.extraTraffic = max(0, n.extraTraffic-f.Size/float64(len(f.Nodes)))
		}
	}
}
