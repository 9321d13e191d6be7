// Package rollout plans a rolling change of a fleet's nodes. It changes the nodes site by site, and limits how many are
// unavailable at the same time. The package does no I/O. The caller saves the progress in a note before each step, so
// that another process can continue from there. docs/lease-design.md explains the design.
package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// Node identifies a node of the fleet and holds its addresses.
type Node struct {
	Name          string `toml:"name"`
	Site          string `toml:"site"`
	AdminAddress  string `toml:"operator"` // address of the node's admin server
	ClientAddress string `toml:"listen"`   // address at which the node serves clients
}

// Step is a step in the change of one node.
type Step string

// The steps of a node's change, in order. Their values are stored.
const (
	Standby Step = "standby" // the node is told to send its clients to other nodes
	Change  Step = "change"  // the command that changes the node runs
	Resume  Step = "back"    // the command has ended, and the node must serve clients again
)

// Task is a node's change, which is to continue with Step. Retry means that an earlier process may have begun that step
// already.
type Task struct {
	Node
	Step  Step
	Retry bool
}

// ErrInProgress is returned by New if the note is that of another change that is not complete.
var ErrInProgress = errors.New("another change is under way")

// Rollout is a rolling change of a fleet's nodes. It is not safe for concurrent use.
type Rollout struct {
	nodes          []Node
	maxUnavailable int
	progress       progress
	running        map[string]bool // names of the nodes for which this process has a task
	failed         bool
}

// New returns a Rollout that starts a change or, if the note is that of the same change, continues it. A change that is
// complete according to its note is not started again. An empty note means that there was no earlier change.
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

// uniqueNames returns the set of the nodes' names, or an error if a node has no name or two nodes have the same one.
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

// Next returns the tasks to start now, if any. The caller must save Note before it starts them. When no node is left,
// Next marks the change as complete.
func (r *Rollout) Next() (tasks []Task) {
	if r.failed || r.progress.Complete {
		return nil
	}
	for _, node := range r.nodes { // continue with the nodes that an earlier process has started
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

// currentSite returns the site of the nodes whose change is in progress, and the number of these nodes.
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

// startTask records that this process has a task for a node, and returns the task.
func (r *Rollout) startTask(node Node, retry bool) Task {
	r.running[node.Name] = true
	return Task{Node: node, Step: r.progress.InProgress[node.Name], Retry: retry}
}

// RecordStep records that a step of a node's change is about to begin. The caller must save Note before it begins the
// step.
func (r *Rollout) RecordStep(node string, step Step) {
	if _, ok := r.progress.InProgress[node]; ok {
		r.progress.InProgress[node] = step
	}
}

// RecordDone records that a node's change is done and the node serves clients again.
func (r *Rollout) RecordDone(node string) {
	delete(r.progress.InProgress, node)
	delete(r.running, node)
	r.progress.Done = append(r.progress.Done, node)
}

// RecordFailure records that a node's task has failed. Next returns no more tasks after that. The note keeps the nodes
// in progress, so that the next process continues with them.
func (r *Rollout) RecordFailure(node string) {
	delete(r.running, node)
	r.failed = true
}

// RunningTasks returns the number of tasks that this process has started and that have neither been done nor failed.
func (r *Rollout) RunningTasks() int { return len(r.running) }

// Complete reports whether the change is complete. Next determines that, once all nodes are done.
func (r *Rollout) Complete() bool { return r.progress.Complete }

// DoneNodes returns the names of the nodes whose change is done.
func (r *Rollout) DoneNodes() []string { return r.progress.Done }

// Note returns the progress in the form that New accepts. The note of a complete change names no nodes.
func (r *Rollout) Note() string { return r.progress.note() }
