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
	Name   string `toml:"name"`
	Site   string `toml:"site"`
	Admin  string `toml:"operator"` // address of its operator's calls
	Listen string `toml:"listen"`   // address of its clients
}

// Step is what is being done with a node.
type Step string

// The steps, in order.
const (
	Standby Step = "standby" // it sends its clients away
	Change  Step = "change"  // the command runs
	Resume  Step = "back"    // it is up, and is to take clients again
)

// record is what is written down.
type record struct {
	Change     string          `json:"change"` // what is being rolled
	Done       []string        `json:"done,omitempty"`
	InProgress map[string]Step `json:"doing,omitempty"`
	Complete   bool            `json:"over,omitempty"`
}

// Rollout is a rolling change. Its methods are called from one goroutine.
type Rollout struct {
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
	Retry bool
}

// ErrInProgress is that another change is under way.
var ErrInProgress = errors.New("another change is under way")

// New begins a change, or goes on with it where the note says that it has begun. A change that is over is not begun again.
func New(nodes []Node, atOnce int, change, note string) (*Rollout, error) {
	r := &Rollout{nodes: nodes, atOnce: atOnce, is: record{Change: change, InProgress: map[string]Step{}}, run: map[string]bool{}}
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
	case was.Change != change && !was.Complete:
		return nil, fmt.Errorf("%w: %q, with %d nodes done and %d begun", ErrInProgress, was.Change, len(was.Done), len(was.InProgress))
	case was.Change != change:
		return r, nil
	}
	if was.InProgress == nil {
		was.InProgress = map[string]Step{}
	}
	// A node that is no longer listed is nobody's any more.
	was.Done = slices.DeleteFunc(was.Done, func(name string) bool { return !names[name] })
	maps.DeleteFunc(was.InProgress, func(name string, _ Step) bool { return !names[name] })
	r.is = was
	return r, nil
}

// Next are the tasks to begin now, if any. They are written down first, as Note says.
func (r *Rollout) Next() (tasks []Task) {
	if r.failed || r.is.Complete {
		return nil
	}
	site, away := "", 0
	for _, n := range r.nodes {
		if _, ok := r.is.InProgress[n.Name]; ok {
			site = n.Site
			away++
		}
	}
	add := func(n Node, again bool) {
		r.run[n.Name] = true
		tasks = append(tasks, Task{n, r.is.InProgress[n.Name], again})
	}
	for _, n := range r.nodes { // what the one before has begun
		if _, ok := r.is.InProgress[n.Name]; ok && !r.run[n.Name] {
			add(n, true)
		}
	}
	for _, n := range r.nodes {
		_, doing := r.is.InProgress[n.Name]
		switch {
		case doing || slices.Contains(r.is.Done, n.Name):
		case site == "":
			site = n.Site
			fallthrough
		case site == n.Site && away < r.atOnce:
			away++
			r.is.InProgress[n.Name] = Standby
			add(n, false)
		}
	}
	r.is.Complete = len(r.is.InProgress) == 0
	return tasks
}

// Reached tells that a node is about to be at a step. It is written down before it is.
func (r *Rollout) Reached(node string, s Step) {
	if _, ok := r.is.InProgress[node]; ok {
		r.is.InProgress[node] = s
	}
}

// Done tells that a node takes clients again.
func (r *Rollout) Done(node string) {
	delete(r.is.InProgress, node)
	delete(r.run, node)
	r.is.Done = append(r.is.Done, node)
}

// Failed tells that a node's task has ended without. Nothing is begun any more; what was is written down for the next one.
func (r *Rollout) Failed(node string) {
	delete(r.run, node)
	r.failed = true
}

// Running is how many tasks this process is at.
func (r *Rollout) Running() int { return len(r.run) }

// Complete tells that all nodes are done.
func (r *Rollout) Complete() bool { return r.is.Complete }

// Finished are the nodes that are done.
func (r *Rollout) Finished() []string { return r.is.Done }

// Note is what is to be written down. Of a change that is over it names no nodes.
func (r *Rollout) Note() string {
	is := r.is
	if is.Complete {
		is.Done = nil
	}
	raw, err := json.Marshal(is)
	if err != nil {
		panic(err) // strings only
	}
	return string(raw)
}
