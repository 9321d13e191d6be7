// Package faultinject is the one vocabulary of what goes wrong: which kinds there are, whom they hit, when, and how hard.
// The lab plays faults in virtual time and the stand-ins play them on sockets; neither has words of its own.
package faultinject

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"tulipglade/internal/tomlfile"
)

// Kind is a kind of fault.
type Kind string

// The kinds. Size means what stands behind each; where nothing stands, it has none.
const (
	FastErrors    Kind = "fast-errors"    // boxes answer this share of requests with an error, at once
	Slow          Kind = "slow"           // boxes work this many times slower
	Freeze        Kind = "freeze"         // boxes stand still: connections stay open, nothing is answered
	Kill          Kind = "kill"           // processes die, and start again cold when the fault ends
	Replace       Kind = "replace"        // boxes die for good; one with a new id takes their address when the fault ends
	Drain         Kind = "drain"          // boxes finish what they have, and go; they start again cold when the fault ends
	Rolling       Kind = "rolling"        // every box of the choice in turn drains and starts again, evenly over the time
	Resets        Kind = "resets"         // this share of answers is lost in a reset after the request has run
	Garbage       Kind = "garbage"        // this share of answers is noise, after the request has run
	Interim       Kind = "interim"        // this share of answers has informational responses before it
	SiteLost      Kind = "site-lost"      // all boxes of a site die, and start again cold
	SiteSilent    Kind = "site-silent"    // the same, but the machines vanish: nothing is reset
	SiteCut       Kind = "site-cut"       // the links between a site and the others drop everything
	ListDown      Kind = "list-down"      // the list service answers nothing and ends its watches
	NodeKill      Kind = "node-kill"      // nodes die, and start again from nothing when the fault ends
	ClockOff      Kind = "clock-off"      // nodes' clocks are off by this many ms
	DatagramsLost Kind = "datagrams-lost" // this share of what nodes tell each other is lost
	Surge         Kind = "surge"          // clients send this many times as much; of one tenant, if one is named
	HotNode       Kind = "hot-node"       // this share of all traffic comes in at the nodes chosen

	// Of processes of our own that talk to each other: agents, and who asks them.
	ProcessKill    Kind = "process-kill" // SIGKILL; it starts again from its disk when the fault ends
	ProcessStop    Kind = "process-stop" // SIGSTOP, and SIGCONT when the fault ends
	LinkCut        Kind = "link-cut"     // what it sends and what it is sent is reset
	LinkSendCut    Kind = "link-mute"    // what it sends is reset
	LinkReceiveCut Kind = "link-deaf"    // what it is sent is reset
	LinkBridge     Kind = "link-bridge"  // two halves of the others see each other only by way of it
	LinkFlap       Kind = "link-flap"    // cut and not, by turns, for so many ms each
	LinkSilent     Kind = "link-silent"  // its connections stay open, and nothing comes through
	LinkDelay      Kind = "link-delay"   // what it sends and is sent is this many ms late
	LinkReset      Kind = "link-reset"   // this share of pieces of what it sends ends in a reset
	ClockRate      Kind = "clock-rate"   // its clock runs at this rate
	ClockJump      Kind = "clock-jump"   // its clock jumps by this many ms; it stays there
	DiskStall      Kind = "disk-stall"   // each write takes this many ms longer
	DiskFull       Kind = "disk-full"    // nothing can be written
	DiskSync       Kind = "disk-sync"    // what is written fails its sync
)

type target uint8

const (
	nobody target = iota
	boxes
	sites
	nodes
	processes
)

type trait struct {
	of       target
	min, max float64 // of Size; equal: it has none
	usual    float64
}

var traits = map[Kind]trait{
	FastErrors: {boxes, 0, 1, 1}, Slow: {boxes, 1, 1000, 3}, Freeze: {of: boxes}, Kill: {of: boxes}, Replace: {of: boxes},
	Drain: {of: boxes}, Rolling: {of: boxes}, Resets: {boxes, 0, 1, 0.5}, Garbage: {boxes, 0, 1, 0.5}, Interim: {boxes, 0, 1, 1}, SiteLost: {of: sites}, SiteSilent: {of: sites},
	SiteCut: {of: sites}, ListDown: {of: nobody}, NodeKill: {of: nodes}, ClockOff: {nodes, -60000, 60000, 300},
	ProcessKill: {of: processes}, ProcessStop: {of: processes}, LinkCut: {of: processes}, LinkSendCut: {of: processes}, LinkReceiveCut: {of: processes},
	LinkBridge: {of: processes}, LinkFlap: {processes, 10, 10000, 150}, LinkSilent: {of: processes}, LinkDelay: {processes, 1, 10000, 200},
	LinkReset: {processes, 0, 1, 0.1}, ClockRate: {processes, 0.1, 10, 1.2}, ClockJump: {processes, 1, 60000, 2000},
	DiskStall: {processes, 1, 10000, 300}, DiskFull: {of: processes}, DiskSync: {of: processes},
	DatagramsLost: {nobody, 0, 1, 0.5}, Surge: {nobody, 0, 100, 2}, HotNode: {nodes, 0, 1, 0.2},
}

// Kinds are all kinds, by name.
func Kinds() []Kind {
	var all []Kind
	for k := range traits {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Fault is one thing that goes wrong for a time. Whom it hits is said by numbers or by a share: Boxes and Nodes name
// them, counted from 0; Share takes that part of them, drawn by the seed; Site takes those of one site.
type Fault struct {
	Kind     Kind    `toml:"kind" json:"kind"`
	Start    int64   `toml:"at_ms" json:"at_ms"`                     // since the start
	Duration int64   `toml:"for_ms" json:"for_ms"`                   // how long it lasts; 0: until the end
	Size     float64 `toml:"size,omitempty" json:"size,omitempty"`   // see the kinds; 0: the kind's usual one
	Backends []int   `toml:"boxes,omitempty" json:"boxes,omitempty"` //
	Nodes    []int   `toml:"nodes,omitempty" json:"nodes,omitempty"`
	// Processes are counted by whoever has them. -1 is the one that leads when the fault begins.
	Processes []int   `toml:"processes,omitempty" json:"processes,omitempty"`
	Share     float64 `toml:"share,omitempty" json:"share,omitempty"`
	Site      string  `toml:"site,omitempty" json:"site,omitempty"`
	// WithNodes: nodes of a lost site die too.
	WithNodes bool   `toml:"with_nodes,omitempty" json:"with_nodes,omitempty"`
	Tenant    string `toml:"tenant,omitempty" json:"tenant,omitempty"` // of a surge; empty: all
}

// End is when the fault ends, in ms; never for one that lasts.
func (f Fault) End() int64 {
	if f.Duration == 0 {
		return math.MaxInt64 / 2000
	}
	return f.Start + f.Duration
}

func (f Fault) String() string {
	s := fmt.Sprintf("%s at %.1f s", f.Kind, float64(f.Start)/1000)
	if f.Duration > 0 {
		s += fmt.Sprintf(" for %.1f s", float64(f.Duration)/1000)
	}
	if t := traits[f.Kind]; t.min != t.max {
		s += fmt.Sprintf(", size %g", f.Size)
	}
	if f.Site != "" {
		s += ", site " + f.Site
	}
	if f.Tenant != "" {
		s += ", tenant " + f.Tenant
	}
	if len(f.Backends) > 0 {
		s += fmt.Sprintf(", boxes %v", f.Backends)
	}
	if len(f.Nodes) > 0 {
		s += fmt.Sprintf(", nodes %v", f.Nodes)
	}
	if len(f.Processes) > 0 {
		s += fmt.Sprintf(", processes %v", f.Processes)
	}
	return s
}

// Scope is what there is to be hit.
type Scope struct {
	Backends, Nodes int
	Processes       int // of our own that talk to each other
	Sites, Tenants  []string
	BackendSite     func(box int) string
	NodeSite        func(node int) string
}

// Check tells what is impossible about the fault; path is where it stands in its file.
func (f Fault) Check(path string, s Scope) error {
	t, ok := traits[f.Kind]
	if !ok {
		return tomlfile.Invalidf(path+".kind", "%q is none of %v", f.Kind, Kinds())
	}
	bad := func(field, format string, args ...any) error {
		return tomlfile.Invalidf(path+"."+field, format, args...)
	}
	switch {
	case f.Start < 0:
		return bad("at_ms", "%d is before the start", f.Start)
	case f.Duration < 0:
		return bad("for_ms", "%d is below 0", f.Duration)
	case f.Duration == 0 && f.Kind == Rolling:
		return bad("for_ms", "a rolling change needs a length")
	case t.min == t.max && f.Size != 0:
		return bad("size", "%s has no size", f.Kind)
	case t.min != t.max && f.Size != 0 && (f.Size < t.min || f.Size > t.max):
		return bad("size", "%g is not within %g and %g, as %s needs", f.Size, t.min, t.max, f.Kind)
	case f.Share < 0 || f.Share > 1:
		return bad("share", "%g is not within 0 and 1", f.Share)
	case len(f.Backends) > 0 && t.of != boxes:
		return bad("boxes", "%s does not hit boxes", f.Kind)
	case t.of == processes && s.Processes == 0:
		return bad("kind", "%s: there are no processes to hit here", f.Kind)
	case len(f.Processes) > 0 && t.of != processes:
		return bad("processes", "%s does not hit processes", f.Kind)
	case len(f.Nodes) > 0 && t.of != nodes:
		return bad("nodes", "%s does not hit nodes", f.Kind)
	case f.Site != "" && t.of == nobody:
		return bad("site", "%s hits no site", f.Kind)
	case f.Site != "" && !slices.Contains(s.Sites, f.Site):
		return bad("site", "%q is none of %v", f.Site, s.Sites)
	case f.Site == "" && t.of == sites:
		return bad("site", "%s needs one of %v", f.Kind, s.Sites)
	case f.WithNodes && t.of != sites:
		return bad("with_nodes", "%s does not take nodes along", f.Kind)
	case f.Tenant != "" && (f.Kind != Surge || !slices.Contains(s.Tenants, f.Tenant)):
		return bad("tenant", "%q: only a surge has a tenant, one of %v", f.Tenant, s.Tenants)
	case f.Share != 0 && (t.of == nobody || t.of == sites || len(f.Backends)+len(f.Nodes) > 0):
		return bad("share", "%s takes no share here", f.Kind)
	}
	for _, list := range []struct {
		name string
		of   []int
		n    int
	}{{"boxes", f.Backends, s.Backends}, {"nodes", f.Nodes, s.Nodes}} {
		for _, i := range list.of {
			if i < 0 || i >= list.n {
				return bad(list.name, "there is no number %d among %d", i, list.n)
			}
		}
	}
	return nil
}

// Rand is what drawing needs of a random source.
type Rand interface {
	Float64() float64
	IntN(int) int
	Perm(int) []int
}

// ApplyDefaults returns the fault with nothing left open: the usual size filled in, and a share or a site turned into the
// numbers of those hit. A fault that names nobody hits one box, or one node, drawn by r.
func (f Fault) ApplyDefaults(s Scope, r Rand) Fault {
	t := traits[f.Kind]
	if f.Size == 0 && t.min != t.max {
		f.Size = t.usual
	}
	choose := func(n int, site func(int) string) []int {
		var from []int
		for _, i := range r.Perm(n) {
			if f.Site == "" || site(i) == f.Site {
				from = append(from, i)
			}
		}
		take := len(from)
		if f.Share > 0 {
			take = max(1, int(math.Round(f.Share*float64(take))))
		} else if f.Site == "" {
			take = 1
			if f.Kind == Rolling {
				take = len(from)
			}
		}
		from = from[:min(take, len(from))]
		slices.Sort(from)
		return from
	}
	if t.of == boxes && len(f.Backends) == 0 {
		f.Backends, f.Share, f.Site = choose(s.Backends, s.BackendSite), 0, ""
	}
	if t.of == nodes && len(f.Nodes) == 0 {
		f.Nodes, f.Share, f.Site = choose(s.Nodes, s.NodeSite), 0, ""
	}
	return f
}

// Expand turns a rolling change into its single drains; any other fault stays one.
func (f Fault) Expand() []Fault {
	if f.Kind != Rolling {
		return []Fault{f}
	}
	var all []Fault
	step := f.Duration / int64(max(len(f.Backends), 1))
	for i, b := range f.Backends {
		all = append(all, Fault{Kind: Drain, Start: f.Start + int64(i)*step, Duration: max(step, 2000), Backends: []int{b}})
	}
	return all
}

// RandomFaults says how to draw faults at random.
type RandomFaults struct {
	Count int    `toml:"count"`
	Kinds []Kind `toml:"kinds"` // empty: all but rolling
	MinMs int64  `toml:"min_ms"`
	MaxMs int64  `toml:"max_ms"`
}

// Check tells what is impossible about it.
func (d RandomFaults) Check(path string) error {
	switch {
	case d.Count < 0 || d.Count > 1000:
		return tomlfile.Invalidf(path+".count", "%d is not within 0 and 1000", d.Count)
	case d.Count > 0 && (d.MinMs <= 0 || d.MaxMs < d.MinMs):
		return tomlfile.Invalidf(path+".max_ms", "min_ms %d and max_ms %d are no range above 0", d.MinMs, d.MaxMs)
	}
	for i, k := range d.Kinds {
		if t, ok := traits[k]; !ok || t.of == processes {
			return tomlfile.Invalidf(fmt.Sprintf("%s.kinds", path), "%q at place %d is none of %v", k, i, Kinds())
		}
	}
	return nil
}

// Draw draws them over a run of so many ms. They may overlap.
func (d RandomFaults) Draw(s Scope, length int64, r Rand) []Fault {
	kinds := d.Kinds
	if len(kinds) == 0 {
		kinds = slices.DeleteFunc(Kinds(), func(k Kind) bool { return k == Rolling || (traits[k].of == processes) != (s.Processes > 0) })
	}
	var all []Fault
	for range d.Count {
		k := kinds[r.IntN(len(kinds))]
		t := traits[k]
		last := min(d.MinMs+int64(r.Float64()*float64(d.MaxMs-d.MinMs)), length)
		f := Fault{Kind: k, Duration: last, Start: int64(r.Float64() * float64(length-last))}
		switch t.of {
		case sites:
			f.Site = s.Sites[r.IntN(len(s.Sites))]
			f.WithNodes = k != SiteCut && r.Float64() < 0.5
		case boxes:
			f.Share = 0.05 + 0.15*r.Float64()
		case processes: // the one that leads as often as any other
			f.Processes = []int{r.IntN(2*s.Processes) - s.Processes}
			f.Processes[0] = max(f.Processes[0], -1)
		}
		if t.min != t.max {
			f.Size = t.usual * (0.5 + r.Float64())
			f.Size = min(max(f.Size, t.min), t.max)
		}
		all = append(all, f.ApplyDefaults(s, r))
	}
	slices.SortStableFunc(all, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), strings.Compare(string(a.Kind), string(b.Kind)))
	})
	return all
}
