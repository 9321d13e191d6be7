package processtest

import (
	"fmt"
	"syscall"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/faultinject"
)

// linkFault returns the state that a fault puts the link of a route into; affected is false if it leaves the link
// alone.
type linkFault func(r route) (state linkState, affected bool)

// StartFault starts a fault and returns a function that ends it. A negative index in the processes of the fault stands
// for the agent that leads the group when the fault starts.
func (h *Harness) StartFault(fault faultinject.Fault) (end func()) {
	var ends []func()
	for _, index := range fault.Processes {
		if index < 0 {
			index = max(h.Leader(), 0)
		}
		h.log.add(Event{At: agent.Clock(), Process: h.processes[index].Name, Kind: EventFault, Text: fault.String()})
		ends = append(ends, h.startProcessFault(fault, index))
	}
	return func() {
		for _, end := range ends {
			end()
		}
		h.log.add(Event{At: agent.Clock(), Process: harnessName, Kind: EventFaultEnded, Text: fault.String()})
	}
}

// startProcessFault starts a fault of the process with the given index.
func (h *Harness) startProcessFault(fault faultinject.Fault, index int) (end func()) {
	restart := func() { _ = h.start(index) } // if the process does not start, its missing events show it
	switch fault.Kind {
	case faultinject.ProcessKill:
		h.kill(index)
		return restart
	case faultinject.ProcessStop:
		h.signalProcess(index, syscall.SIGSTOP)
		return func() { h.signalProcess(index, syscall.SIGCONT) }
	case faultinject.ClockRate:
		h.sendOrder(index, fmt.Sprint(orderClockRate, " ", fault.Size))
		return func() { h.sendOrder(index, orderClockRate+" 1") }
	case faultinject.ClockJump:
		h.sendOrder(index, fmt.Sprint(orderClockJump, " ", fault.Size))
		return func() {}
	case faultinject.DiskStall:
		h.sendOrder(index, fmt.Sprint(orderDiskStall, " ", fault.Size))
		return func() { h.sendOrder(index, orderDiskStall+" 0") }
	case faultinject.DiskFull:
		return h.failDisk(index, orderDiskFull)
	case faultinject.DiskSync:
		return h.failDisk(index, orderDiskSync)
	case faultinject.LinkFlap:
		return h.flapLinks(fault, index)
	}
	return h.applyLinkFault(fault, index)
}

// failDisk makes the disk writes of an agent fail. The agent exits at its next write, so ending the fault starts the
// agent again.
func (h *Harness) failDisk(index int, order string) (end func()) {
	h.sendOrder(index, order)
	return func() {
		h.kill(index)
		_ = h.start(index) // if the process does not start, its missing events show it
	}
}

// applyLinkFault applies a fault to the links of one process until the returned function is called.
func (h *Harness) applyLinkFault(fault faultinject.Fault, index int) (end func()) {
	id := h.newLinkFaultID()
	h.setLinkFault(id, h.linkFaultOf(fault, index))
	return func() { h.setLinkFault(id, nil) }
}

// flapLinks alternately cuts and restores the links of one process. Each phase lasts as many ms as the fault's size.
func (h *Harness) flapLinks(fault faultinject.Fault, index int) (end func()) {
	id := h.newLinkFaultID()
	cut := h.linkFaultOf(fault, index)
	h.setLinkFault(id, cut)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for connected := true; ; connected = !connected {
			select {
			case <-stop:
				h.setLinkFault(id, nil)
				return
			case <-time.After(time.Duration(fault.Size) * time.Millisecond):
			}
			if connected {
				h.setLinkFault(id, nil)
			} else {
				h.setLinkFault(id, cut)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

// linkFaultOf returns the effect that a fault of one process has on each link.
func (h *Harness) linkFaultOf(fault faultinject.Fault, index int) linkFault {
	affectsProcess := func(r route) bool { return r.from == index || r.to == index }
	switch fault.Kind {
	case faultinject.LinkCut, faultinject.LinkFlap:
		return func(r route) (linkState, bool) { return linkState{cut: true}, affectsProcess(r) }
	case faultinject.LinkSendCut:
		return func(r route) (linkState, bool) { return linkState{cut: true}, r.from == index }
	case faultinject.LinkReceiveCut:
		return func(r route) (linkState, bool) { return linkState{cut: true}, r.to == index }
	case faultinject.LinkBridge:
		return func(r route) (linkState, bool) {
			acrossHalves := r.from%2 != r.to%2 && r.to < h.options.Agents
			return linkState{cut: true}, !affectsProcess(r) && acrossHalves
		}
	case faultinject.LinkSilent:
		return func(r route) (linkState, bool) { return linkState{silent: true}, affectsProcess(r) }
	case faultinject.LinkDelay:
		delay := time.Duration(fault.Size) * time.Millisecond
		return func(r route) (linkState, bool) { return linkState{delay: delay}, affectsProcess(r) }
	case faultinject.LinkReset:
		return func(r route) (linkState, bool) { return linkState{resetFraction: fault.Size}, r.from == index }
	}
	panic(fmt.Sprintf("processtest: fault %q does not apply to processes", fault.Kind))
}

func (h *Harness) newLinkFaultID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextFault++
	return h.nextFault
}

// setLinkFault activates the link fault with an ID, or ends it if fault is nil, and updates the state of all links.
func (h *Harness) setLinkFault(id int, fault linkFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fault == nil {
		delete(h.linkFaults, id)
	} else {
		h.linkFaults[id] = fault
	}
	for r, relay := range h.relays {
		var state linkState
		for _, active := range h.linkFaults {
			if change, affected := active(r); affected {
				state = state.combine(change)
			}
		}
		relay.setState(state)
	}
}
