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
	faultBegins = iota
	faultEnds
	faultResets  // what a cut has swallowed is reset
	faultDrained // P: the box's life, which has had its time to finish
	faultFront   // P: the node, whose death the front notices
)

// Faults are the faults that the scenario plays with that seed, nothing left open.
func Faults(sc *scenario.Scenario, seed uint64) []faultinject.Fault {
	r := eventqueue.NewStream(seed, "faults")
	return sc.ApplyDefaults(r)
}

func (w *Simulation) scheduleFaults() {
	for i, f := range w.faults {
		if f.Start == 0 {
			w.begin(origin, i)
		} else {
			w.sim.At(&w.faultSrc, origin+f.Start*eventqueue.Millisecond, eventqueue.Event{To: w, Kind: faultBegins, A: int64(i)})
		}
		if f.Duration > 0 {
			w.sim.At(&w.faultSrc, origin+f.End()*eventqueue.Millisecond, eventqueue.Event{To: w, Kind: faultEnds, A: int64(i)})
		}
	}
}

// Handle takes the events of faults.
func (w *Simulation) Handle(now eventqueue.Time, e eventqueue.Event) {
	switch e.Kind {
	case faultBegins:
		w.begin(now, int(e.A))
	case faultEnds:
		w.finish(now, int(e.A))
	case faultResets:
		kept := w.swallowed[:0]
		for _, a := range w.swallowed {
			switch {
			case !a.open:
			case w.parted(a.req.node.site, a.box.site) || a.box.silent:
				kept = append(kept, a)
			default:
				w.sim.After(&w.faultSrc, 0, eventqueue.Event{To: a.req.to, Kind: nodeReply, P: a, A: int64(balancer.OutcomeReset)})
			}
		}
		clear(w.swallowed[len(kept):])
		w.swallowed = kept
	case faultDrained:
		if b := w.byID[balancer.EndpointID(e.A)]; b.draining && e.P == b.life {
			b.die(now, false)
			w.disc.noticed(w.notice(false), w.line(b, balancer.PhaseRemoved))
		}
	case faultFront:
		if n := e.P.(*Node); n.life == nil {
			n.believed = false
		}
	}
}

func (w *Simulation) notice(silent bool) eventqueue.Span {
	r := w.sc.Discovery.Notice
	if silent {
		r = w.sc.Discovery.Silent
	}
	return us(between(r, w.disc.rand.Float64()))
}

// hits tells whether the fault is on and hits the box.
func (w *Simulation) hits(i int, b *Backend) bool {
	f := &w.faults[i]
	switch f.Kind {
	case faultinject.SiteLost, faultinject.SiteSilent:
		return w.active[i] && w.sc.Fleet.Sites[b.site] == f.Site
	}
	return w.active[i] && slices.Contains(f.Backends, b.place)
}

// afflict works out anew what all faults that are on do to a box.
func (w *Simulation) afflict(now eventqueue.Time, b *Backend) {
	b.advance(now)
	b.slow, b.errors, b.resets, b.garbage, b.frozen = 1, 0, 0, 0, false
	for i := range w.faults {
		if !w.hits(i, b) {
			continue
		}
		switch f := &w.faults[i]; f.Kind {
		case faultinject.Slow:
			b.slow *= f.Size
		case faultinject.FastErrors:
			b.errors = max(b.errors, f.Size)
		case faultinject.Resets:
			b.resets = max(b.resets, f.Size)
		case faultinject.Garbage:
			b.garbage = max(b.garbage, f.Size)
		case faultinject.Freeze:
			b.frozen = true
		}
	}
	b.change(now)
}

// heldDown tells whether any fault that is on keeps the box from running.
func (w *Simulation) heldDown(b *Backend) bool {
	for i := range w.faults {
		switch w.faults[i].Kind {
		case faultinject.Kill, faultinject.Drain, faultinject.Replace, faultinject.SiteLost, faultinject.SiteSilent:
			if w.hits(i, b) {
				return true
			}
		}
	}
	return false
}

// drainTime is how long a box that drains has to finish what it holds.
const drainTime = 5 * eventqueue.Second

func (w *Simulation) begin(now eventqueue.Time, i int) {
	f := w.faults[i]
	w.active[i] = true
	site := slices.Index(w.sc.Fleet.Sites, f.Site)
	switch f.Kind {
	case faultinject.FastErrors, faultinject.Slow, faultinject.Resets, faultinject.Garbage, faultinject.Freeze:
		for _, p := range f.Backends {
			w.afflict(now, w.boxes[p])
		}
	case faultinject.Kill, faultinject.Replace:
		for _, p := range f.Backends {
			w.fell(now, w.boxes[p], false)
		}
	case faultinject.Drain:
		for _, p := range f.Backends {
			if b := w.boxes[p]; b.up && !b.draining {
				b.draining = true
				w.disc.noticed(0, w.line(b, balancer.PhaseDraining))
				time := drainTime
				if f.Duration > 0 {
					time = min(time, f.Duration*eventqueue.Millisecond/2)
				}
				w.sim.After(&w.faultSrc, time, eventqueue.Event{To: w, Kind: faultDrained, A: int64(b.id), P: b.life})
			}
		}
	case faultinject.SiteLost, faultinject.SiteSilent:
		for _, b := range w.boxes {
			if b.site == site {
				w.fell(now, b, f.Kind == faultinject.SiteSilent)
			}
		}
		if f.WithNodes {
			w.downNodes(now, func(n *Node) bool { return n.site == site })
		}
	case faultinject.SiteCut:
		w.cut[site]++
	case faultinject.ListDown:
		w.disc.fall()
	case faultinject.NodeKill:
		w.downNodes(now, func(n *Node) bool { return slices.Contains(f.Nodes, n.index) })
	case faultinject.ClockOff:
		for _, i := range f.Nodes {
			w.nodes[i].offs = append(w.nodes[i].offs, us(f.Size))
		}
	case faultinject.DatagramsLost:
		w.peerLoss = max(w.peerLoss, f.Size)
	case faultinject.HotNode:
		for _, i := range f.Nodes {
			w.nodes[i].hot += f.Size / float64(len(f.Nodes))
		}
	}
}

// fell kills a box, of which discovery learns late.
func (w *Simulation) fell(now eventqueue.Time, b *Backend, silent bool) {
	if !b.up {
		b.silent = b.silent || silent
		return
	}
	b.die(now, silent)
	w.disc.noticed(w.notice(silent), w.line(b, balancer.PhaseRemoved))
}

func (w *Simulation) downNodes(now eventqueue.Time, which func(*Node) bool) {
	for _, n := range w.nodes {
		if which(n) {
			if n.down++; n.life != nil {
				n.die(now)
			}
			w.sim.After(&w.faultSrc, us(w.sc.Nodes.Notice), eventqueue.Event{To: w, Kind: faultFront, P: n})
		}
	}
}

func (w *Simulation) upNodes(now eventqueue.Time, which func(*Node) bool) {
	for _, n := range w.nodes {
		if !which(n) {
			continue
		}
		if n.down--; n.down == 0 && n.life == nil {
			if err := n.start(now); err != nil {
				panic(err) // the same settings were sound at the start
			}
			w.sim.After(&n.src, us(w.sc.Nodes.Notice), eventqueue.Event{To: n, Kind: nodeReady})
		}
	}
}

func (w *Simulation) finish(now eventqueue.Time, i int) {
	f := w.faults[i]
	if !w.active[i] {
		return
	}
	delete(w.active, i)
	site := slices.Index(w.sc.Fleet.Sites, f.Site)
	switch f.Kind {
	case faultinject.FastErrors, faultinject.Slow, faultinject.Resets, faultinject.Garbage, faultinject.Freeze:
		for _, p := range f.Backends {
			w.afflict(now, w.boxes[p])
		}
	case faultinject.Kill, faultinject.Drain:
		for _, p := range f.Backends {
			w.raise(now, w.boxes[p])
		}
	case faultinject.Replace:
		for _, p := range f.Backends {
			w.replace(now, p)
		}
	case faultinject.SiteLost, faultinject.SiteSilent:
		for _, b := range w.boxes {
			if b.site == site {
				w.raise(now, b)
			}
		}
		if f.WithNodes {
			w.upNodes(now, func(n *Node) bool { return n.site == site })
		}
		w.sim.After(&w.faultSrc, us(w.sc.Net.Silent), eventqueue.Event{To: w, Kind: faultResets})
	case faultinject.SiteCut:
		w.cut[site]--
		w.sim.After(&w.faultSrc, us(w.sc.Net.Silent), eventqueue.Event{To: w, Kind: faultResets})
	case faultinject.ListDown:
		w.disc.rise()
	case faultinject.NodeKill:
		w.upNodes(now, func(n *Node) bool { return slices.Contains(f.Nodes, n.index) })
	case faultinject.ClockOff:
		for _, i := range f.Nodes {
			n := w.nodes[i]
			if at := slices.Index(n.offs, us(f.Size)); at >= 0 {
				n.offs = slices.Delete(n.offs, at, at+1)
			}
		}
	case faultinject.DatagramsLost:
		w.peerLoss = 0
		for i, g := range w.faults {
			if w.active[i] && g.Kind == faultinject.DatagramsLost {
				w.peerLoss = max(w.peerLoss, g.Size)
			}
		}
	case faultinject.HotNode:
		for _, i := range f.Nodes {
			w.nodes[i].hot = max(0, w.nodes[i].hot-f.Size/float64(len(f.Nodes)))
		}
	}
}

// raise starts a box's process again, if nothing else keeps it down.
func (w *Simulation) raise(now eventqueue.Time, b *Backend) {
	if w.heldDown(b) {
		return
	}
	if b.up && b.draining { // its end has not come yet: it is restarted in place
		b.die(now, false)
	}
	if b.up {
		return
	}
	b.start(now)
	w.afflict(now, b)
	w.disc.noticed(w.notice(false), w.line(b, balancer.PhaseReady))
}

// replace puts a new box at the address of one that is gone for good.
func (w *Simulation) replace(now eventqueue.Time, place int) {
	old := w.boxes[place]
	if w.heldDown(old) {
		return
	}
	old.retired = true
	w.lastID++
	b := w.newBox(place, w.lastID, "box "+strconv.FormatUint(uint64(w.lastID), 10)+" in place")
	b.up = false
	w.boxes[place], w.byID[b.id] = b, b
	b.start(now)
	w.afflict(now, b)
	w.disc.noticed(w.notice(false), w.line(b, balancer.PhaseReady))
	if every := us(w.sc.Fleet.Report.Every); every > 0 {
		w.sim.After(&b.src, every, eventqueue.Event{To: b, Kind: boxRefresh})
	}
}
