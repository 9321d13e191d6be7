// Package rollout plans a rolling change of a fleet's nodes: site by site, with a limit of nodes at a time. It has no I/O. Its progress is
// recorded in a note before each step, so that another process can continue from there. docs/lease-design.md explains the design.
package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// Node is a node of the fleet.
type Node struct {
	Name          string `toml:"name"`
	Site          string `toml:"site"`
	AdminAddress  string `toml:"operator"` // admin address
	ClientAddress string `toml:"listen"`   // address for clients
}

// Step is what is being done with a node.
type Step string

// The steps, in order. Their values are stored.
const (
	Standby Step = "standby" // the node sends its clients to others
	Change  Step = "change"  // the command runs
	Resume  Step = "back"    // the node runs again, and is to take clients
)

// Task is a node and the step to continue with. Retry says that an earlier process has been at that step.
type Task struct {
	Node
	Step  Step
	Retry bool
}

// ErrInProgress is returned while another change is not complete.
var ErrInProgress = errors.New("another change is under way")

// Rollout is a rolling change. It is not safe for concurrent use.
type Rollout struct {
	nodes          []Node
	maxUnavailable int
	progress       progress
	running        map[string]bool // nodes that this process has a task for
	failed         bool
}

// New starts a change, or continues it if the note says that it was started. A change that is complete is not started again.
func New(nodes []Node, maxUnavailable int, change, note string) (*Rollout, error) {
	names, err := uniqueNames(nodes)
	if err != nil {
		return nil, err
	}
	r := &Rollout{
		nodes:          nodes,
		maxUnavailable: maxUnavailable,
		progress:       progress{Change: change, InProgress: map[string]Step{}},
		running:        map[string]bool{},
	}
	if note == "" {
		return r, nil
	}
	previous, err := parseNote(note)
	if err != nil {
		return nil, err
	}
	if previous.Change == change {
		previous.removeUnlisted(names)
		r.progress = previous
		return r, nil
	}
	if !previous.Complete {
		return nil, fmt.Errorf("%w: %q, with %d nodes done and %d in progress",
			ErrInProgress, previous.Change, len(previous.Done), len(previous.InProgress))
	}
	return r, nil
}

// uniqueNames returns the nodes' names, which must be unique.
func uniqueNames(nodes []Node) (map[string]bool, error) {
	names := map[string]bool{}
	for _, node := range nodes {
		if node.Name == "" || names[node.Name] {
			return nil, fmt.Errorf("node %q: it has no name of its own", node.Name)
		}
		names[node.Name] = true
	}
	return names, nil
}

// Next returns the tasks to start now, if any. Note must be saved before they are started.
func (r *Rollout) Next() (tasks []Task) {
	if r.failed || r.progress.Complete {
		return nil
	}
	for _, node := range r.nodes { // what an earlier process has started
		if r.isInProgress(node) && !r.running[node.Name] {
			tasks = append(tasks, r.startTask(node, true))
		}
	}
	site, unavailable := r.currentSite()
	for _, node := range r.nodes {
		if r.isInProgress(node) || slices.Contains(r.progress.Done, node.Name) {
			continue
		}
		if unavailable == 0 {
			site = node.Site
		} else if node.Site != site || unavailable >= r.maxUnavailable {
			continue
		}
		unavailable++
		r.progress.InProgress[node.Name] = Standby
		tasks = append(tasks, r.startTask(node, false))
	}
	r.progress.Complete = len(r.progress.InProgress) == 0
	return tasks
}

// currentSite returns the site of the nodes that are in progress, and how many they are.
func (r *Rollout) currentSite() (site string, unavailable int) {
	for _, node := range r.nodes {
		if r.isInProgress(node) {
			site = node.Site
			unavailable++
		}
	}
	return site, unavailable
}

func (r *Rollout) isInProgress(node Node) bool {
	_, ok := r.progress.InProgress[node.Name]
	return ok
}

// startTask returns the task for a node.
func (r *Rollout) startTask(node Node, retry bool) Task {
	r.running[node.Name] = true
	return Task{Node: node, Step: r.progress.InProgress[node.Name], Retry: retry}
}

// RecordStep records that a node is about to be at a step. Note must be saved before it is.
func (r *Rollout) RecordStep(node string, step Step) {
	if _, ok := r.progress.InProgress[node]; ok {
		r.progress.InProgress[node] = step
	}
}

// RecordDone records that a node takes clients again.
func (r *Rollout) RecordDone(node string) {
	delete(r.progress.InProgress, node)
	delete(r.running, node)
	r.progress.Done = append(r.progress.Done, node)
}

// RecordFailure records that a node's task has failed. No more tasks are started; the note keeps those in progress for the next
// process.
func (r *Rollout) RecordFailure(node string) {
	delete(r.running, node)
	r.failed = true
}

// RunningTasks returns how many tasks this process has.
func (r *Rollout) RunningTasks() int { return len(r.running) }

// Complete reports whether all nodes are done.
func (r *Rollout) Complete() bool { return r.progress.Complete }

// DoneNodes returns the names of the nodes that are done.
func (r *Rollout) DoneNodes() []string { return r.progress.Done }

// Note returns the progress in the form that New reads. That of a complete change names no nodes.
func (r *Rollout) Note() string { return r.progress.note() }
