package emulator

import (
	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/eventqueue"
)

// liveFaults handles the starts and ends of faults in place of a Simulation.
type liveFaults struct{ live *LiveBackends }

// Handle starts or ends a fault.
func (f liveFaults) Handle(now eventqueue.Time, event eventqueue.Event) {
	if event.Kind == faultStart {
		f.live.startFault(now, int(event.Argument))
	} else {
		f.live.endFault(now, int(event.Argument))
	}
}

func (l *LiveBackends) scheduleFault(index int, f faultinject.Fault) {
	l.simulation.scheduleFaultEvent(f.Start, eventqueue.Event{Target: liveFaults{l}, Kind: faultStart, Argument: int64(index)})
	l.scheduleFaultEnd(index, f)
}

// scheduleFaultEnd schedules the end of a fault that has one.
func (l *LiveBackends) scheduleFaultEnd(index int, f faultinject.Fault) {
	if f.Duration > 0 {
		l.simulation.scheduleFaultEvent(f.End(), eventqueue.Event{Target: liveFaults{l}, Kind: faultEnd, Argument: int64(index)})
	}
}

// outsideBackends reports whether a kind of fault has no effect within the backends: those of nodes, of discovery, and of
// the form of answers.
func outsideBackends(kind faultinject.Kind) bool {
	switch kind {
	case faultinject.Garbage, faultinject.Interim, faultinject.NodeKill, faultinject.ClockSkew,
		faultinject.MessageLoss, faultinject.HotNode, faultinject.Surge, faultinject.DiscoveryDown:
		return true
	}
	return false
}

func (l *LiveBackends) startFault(now eventqueue.Time, index int) {
	f := l.simulation.faults[index]
	if !outsideBackends(f.Kind) {
		l.simulation.startFault(now, index)
	}
	l.effects.Began(f)
	l.publishChanges()
}

func (l *LiveBackends) endFault(now eventqueue.Time, index int) {
	f := l.simulation.faults[index]
	if !outsideBackends(f.Kind) {
		l.simulation.endFault(now, index)
	}
	l.effects.Ended(f)
	l.publishChanges()
}

// Begin starts a fault now, whatever its own start says; it lasts for its own duration, or until End. Its defaults are
// drawn from the seed. It returns the fault's index and the fault as played.
func (l *LiveBackends) Begin(f faultinject.Fault) (int, faultinject.Fault) {
	s := l.simulation
	siteName := func(i int) string { return s.scenario.Fleet.Sites[s.scenario.Site(i)] }
	f = f.ApplyDefaults(s.scenario.Scope(siteName, siteName), eventqueue.NewStream(s.seed, "order "+string(f.Kind)))
	f.Start = (s.events.Now() - origin) / eventqueue.Millisecond
	index := len(s.faults)
	s.faults = append(s.faults, f)
	l.startFault(s.events.Now(), index)
	l.scheduleFaultEnd(index, f)
	return index, f
}

// End ends the fault of that index, and reports whether it was active.
func (l *LiveBackends) End(index int) bool {
	if index < 0 || index >= len(l.simulation.faults) {
		return false
	}
	if !l.simulation.activeFaults[index] && !outsideBackends(l.simulation.faults[index].Kind) {
		return false
	}
	l.endFault(l.simulation.events.Now(), index)
	return true
}
