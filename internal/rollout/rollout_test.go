package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tulipglade/internal/lease"
)

// randomRollout is a rollout of randomly drawn nodes, which is run by processes that may crash.
type randomRollout struct {
	nodes          []Node
	sites          map[string]string // the site of each node, by name
	maxUnavailable int
	savedNote      string // the note that was saved last
	unavailable    map[string]bool
	changed        map[string]int
}

func newRandomRollout(t *rapid.T) *randomRollout {
	t.Helper()
	d := &randomRollout{sites: map[string]string{}, unavailable: map[string]bool{}, changed: map[string]int{}}
	for i := range rapid.IntRange(1, 9).Draw(t, "nodes") {
		node := Node{Name: fmt.Sprint("n", i), Site: rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "site")}
		d.nodes = append(d.nodes, node)
		d.sites[node.Name] = node.Site
	}
	d.maxUnavailable = rapid.IntRange(1, 3).Draw(t, "max unavailable")
	return d
}

// runProcess runs one process until the rollout is complete or the process crashes. It crashes after crashAfter steps
// (never, if that is negative), or before it saves the note of a step. It reports whether the rollout is complete.
func (d *randomRollout) runProcess(t *rapid.T, crashAfter int) bool {
	t.Helper()
	r, err := New(d.nodes, d.maxUnavailable, "v2", d.savedNote)
	if err != nil {
		t.Fatal(err)
	}
	var openTasks []Task
	for step := 0; step != crashAfter; step++ {
		openTasks = append(openTasks, r.Next()...)
		d.savedNote = r.Note()
		if len(openTasks) == 0 {
			if !r.Complete() {
				t.Fatal("no task is left, but the rollout is not complete")
			}
			return true
		}
		i := rapid.IntRange(0, len(openTasks)-1).Draw(t, "task")
		if d.advance(r, &openTasks[i]) {
			openTasks = append(openTasks[:i], openTasks[i+1:]...)
		}
		d.checkUnavailable(t)
		isSaved := rapid.Bool().Draw(t, "note saved")
		if !isSaved && crashAfter >= 0 {
			break
		}
		d.savedNote = r.Note()
	}
	return r.Complete() && len(openTasks) == 0
}

// advance performs the current step of a task, and reports whether the task is done.
func (d *randomRollout) advance(r *Rollout, task *Task) bool {
	switch task.Step {
	case Standby:
		d.unavailable[task.Name] = true
		task.Step = Change
		r.RecordStep(task.Name, Change)
	case Change:
		if d.unavailable[task.Name] && d.changed[task.Name] == 0 { // the command skips a changed node
			d.changed[task.Name]++
		}
		task.Step = Resume
		r.RecordStep(task.Name, Resume)
	case Resume:
		delete(d.unavailable, task.Name)
		r.RecordDone(task.Name)
		return true
	}
	return false
}

// checkUnavailable checks that the unavailable nodes belong to one site and that there are at most maxUnavailable of
// them.
func (d *randomRollout) checkUnavailable(t *rapid.T) {
	t.Helper()
	sites := map[string]int{}
	for name := range d.unavailable {
		sites[d.sites[name]]++
	}
	for site, count := range sites {
		if len(sites) > 1 || count > d.maxUnavailable {
			t.Fatalf("too many unavailable nodes or sites: %v, site %s", d.unavailable, site)
		}
	}
}

// When a process crashes at any point and another one continues from the last saved note, nodes of two sites are never
// unavailable at the same time, nor too many of one site. Each node goes through its steps in order, and in the end all
// nodes are done.
func TestRolloutContinuesAfterCrashAtAnyPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newRandomRollout(t)
		for process := 0; ; process++ {
			crashAfter := -1
			if process < 5 {
				crashAfter = rapid.IntRange(0, 20).Draw(t, "crash after")
			}
			if d.runProcess(t, crashAfter) {
				break
			}
		}
		if len(d.unavailable) > 0 || len(d.changed) != len(d.nodes) {
			t.Fatalf("unavailable %v, changed %v of %d", d.unavailable, d.changed, len(d.nodes))
		}
	})
}

// New rejects the note of another change, unless that change is complete. A complete change is not started again. After
// a failure no more tasks are started, and a later process continues with the failed node.
func TestNewReadsNoteOfEarlierRollout(t *testing.T) {
	nodes := []Node{{Name: "a", Site: "x"}, {Name: "b", Site: "x"}}
	r, err := New(nodes, 1, "v1", "")
	if err != nil || len(r.Next()) != 1 {
		t.Fatal(err)
	}
	if _, err := New(nodes, 1, "v2", r.Note()); !errors.Is(err, ErrInProgress) || !strings.Contains(err.Error(), "v1") {
		t.Error(err)
	}
	r.RecordFailure("a")
	if tasks := r.Next(); len(tasks) != 0 || r.Complete() {
		t.Error("tasks after a failure, or the rollout is complete:", tasks)
	}
	if r, err = New(nodes, 1, "v1", r.Note()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a", "b"} {
		tasks := r.Next()
		if len(tasks) != 1 || tasks[0].Name != want || tasks[0].Retry != (want == "a") {
			t.Fatal(tasks)
		}
		r.RecordDone(want)
	}
	if r.Next(); !r.Complete() {
		t.Error("the rollout is not complete after its last node")
	}
	if repeated, err := New(nodes, 1, "v1", r.Note()); err != nil || len(repeated.Next()) > 0 || !repeated.Complete() {
		t.Error("a complete change is started again:", err)
	}
	if next, err := New(nodes, 1, "v2", r.Note()); err != nil || len(next.Next()) != 1 {
		t.Error("the next change does not start:", err)
	}
	if _, err := New([]Node{{Name: "a"}, {Name: "a"}}, 1, "v1", ""); err == nil {
		t.Error("two nodes with the same name are accepted")
	}
}

// The note of a rollout of 1,024 nodes with names of the maximum length fits into a lease at every step. Regression:
// notes were limited to 32 KB, which is enough for 250 such names or 900 names of 35 bytes, and larger rollouts stopped
// at that point.
func TestNoteOfManyNodesFitsIntoLease(t *testing.T) {
	var nodes []Node
	for i := range 1024 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("n%0127d", i), Site: fmt.Sprint("s", i%3)})
	}
	r, err := New(nodes, 64, "v2", "")
	if err != nil {
		t.Fatal(err)
	}
	largest := 0
	for !r.Complete() {
		for _, task := range r.Next() {
			largest = max(largest, len(r.Note()))
			r.RecordDone(task.Name)
		}
	}
	if len(r.DoneNodes()) != len(nodes) || largest > lease.MaxNoteBytes {
		t.Errorf("%d nodes done, notes of up to %d bytes, where at most %d fit", len(r.DoneNodes()), largest, lease.MaxNoteBytes)
	}
}

// Nodes without a site form one site, and the limit applies to them. Regression: an empty site was taken to mean that
// no node is in progress, so all nodes without a site were started at once, whatever the limit, and the whole fleet
// restarted together.
func TestLimitHoldsForNodesWithoutSite(t *testing.T) {
	nodes := []Node{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d", Site: "s1"}}
	r, err := New(nodes, 2, "v2", "")
	if err != nil {
		t.Fatal(err)
	}
	if tasks := r.Next(); len(tasks) != 2 {
		t.Errorf("%d nodes are started, want 2: %v", len(tasks), tasks)
	}
}
