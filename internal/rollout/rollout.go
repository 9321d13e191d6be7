// Package rollout is a rolling change of a fleet's nodes: site by site, so many of one at a time, and what has to be written down before
// each step, so that another process can go on from there. It has no I/O. docs/lease-design.md says why.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Node is one of the fleet.
type Node struct {
	Name     string `toml:"name"`
	Site     string `toml:"site"`
	Operator string `toml:"operator"` // address of its operator's calls
	Listen   string `toml:"listen"`   // address of its clients
}

// Step is what is being done with a node.
type Step string

// The steps, in order.
const (
	Standby Step = "standby" // it sends its clients away
	Change  Step = "change"  // the command runs
	Back    Step = "back"    // it is up, and is to take clients again
)

// record is what is written down.
type record struct {
	Change string          `json:"change"` // what is being rolled
	Done   []string        `json:"done,omitempty"`
	Doing  map[string]Step `json:"doing,omitempty"`
	Over   bool            `json:"over,omitempty"`
}

// Roll is a rolling change. Its methods are called from one goroutine.
type Roll struct {
	nodes  []Node
	atOnce int
	is     record
	run    map[string]bool // what this process is at
	failed bool
}

// Task is a node and where to go on with it. Again: somebody was at that step before.
type Task struct {
	Node
	Step  Step
	Again bool
}

// ErrOther is that another change is under way.
var ErrOther = errors.New("another change is under way")

// New begins a change, or goes on with it where the note says that it has begun. A change that is over is not begun again.
func New(nodes []Node, atOnce int, change, note string) (*Roll, error) {
	r := &Roll{nodes: nodes, atOnce: atOnce, is: record{Change: change, Doing: map[string]Step{}}, run: map[string]bool{}}
	names := map[string]bool{}
	for _, n := range nodes {
		if n.Name == "" || names[n.Name] {
			return nil, fmt.Errorf("node %q: it has no name of its own", n.Name)
		}
		names[n.Name] = true
	}
	if note == "" {
		return r, nil
	}
	var was record
	if err := json.Unmarshal([]byte(note), &was); err != nil {
		return nil, fmt.Errorf("the note of the one before: %w", err)
	}
	switch {
	case was.Change != change && !was.Over:
		return nil, fmt.Errorf("%w: %q, with %d nodes done and %d begun", ErrOther, was.Change, len(was.Done), len(was.Doing))
	case was.Change != change:
		return r, nil
	}
	if was.Doing == nil {
		was.Doing = map[string]Step{}
	}
	// A node that is no longer listed is nobody's any more.
	was.Done = slices.DeleteFunc(was.Done, func(name string) bool { return !names[name] })
	maps.DeleteFunc(was.Doing, func(name string, _ Step) bool { return !names[name] })
	r.is = was
	return r, nil
}

// Next are the tasks to begin now, if any. They are written down first, as Note says.
func (r *Roll) Next() (tasks []Task) {
	if r.failed || r.is.Over {
		return nil
	}
	site, away := "", 0
	for _, n := range r.nodes {
		if _, ok := r.is.Doing[n.Name]; ok {
			site = n.Site
			away++
		}
	}
	add := func(n Node, again bool) {
		r.run[n.Name] = true
		tasks = append(tasks, Task{n, r.is.Doing[n.Name], again})
	}
	for _, n := range r.nodes { // what the one before has begun
		if _, ok := r.is.Doing[n.Name]; ok && !r.run[n.Name] {
			add(n, true)
		}
	}
	for _, n := range r.nodes {
		_, doing := r.is.Doing[n.Name]
		switch {
		case doing || slices.Contains(r.is.Done, n.Name):
		case site == "":
			site = n.Site
			fallthrough
		case site == n.Site && away < r.atOnce:
			away++
			r.is.Doing[n.Name] = Standby
			add(n, false)
		}
	}
	r.is.Over = len(r.is.Doing) == 0
	return tasks
}

// Reached tells that a node is about to be at a step. It is written down before it is.
func (r *Roll) Reached(node string, s Step) {
	if _, ok := r.is.Doing[node]; ok {
		r.is.Doing[node] = s
	}
}

// Done tells that a node takes clients again.
func (r *Roll) Done(node string) {
	delete(r.is.Doing, node)
	delete(r.run, node)
	r.is.Done = append(r.is.Done, node)
}

// Failed tells that a node's task has ended without. Nothing is begun any more; what was is written down for the next one.
func (r *Roll) Failed(node string) {
	delete(r.run, node)
	r.failed = true
}

// Running is how many tasks this process is at.
func (r *Roll) Running() int { return len(r.run) }

// Over tells that all nodes are done.
func (r *Roll) Over() bool { return r.is.Over }

// Finished are the nodes that are done.
func (r *Roll) Finished() []string { return r.is.Done }

// Note is what is to be written down. Of a change that is over it names no nodes.
func (r *Roll) Note() string {
	is := r.is
	if is.Over {
		is.Done = nil
	}
	raw, err := json.Marshal(is)
	if err != nil {
		panic(err) // strings only
	}
	return string(raw)
}
