package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tulipglade/internal/lease"
)

// Whoever is at it dies at any point, and another goes on from the last note: never two sites, never more than so many of one, each
// node's steps in order, and all are done in the end.
func TestTakenOverAtAnyPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []Node
		for i := range rapid.IntRange(1, 9).Draw(t, "nodes") {
			nodes = append(nodes, Node{Name: fmt.Sprint("n", i), Site: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "site"))})
		}
		atOnce := rapid.IntRange(1, 3).Draw(t, "at once")
		site := map[string]string{}
		for _, n := range nodes {
			site[n.Name] = n.Site
		}
		note, away, changed := "", map[string]bool{}, map[string]int{}
		for lives := 0; ; lives++ {
			r, err := New(nodes, atOnce, "v2", note)
			if err != nil {
				t.Fatal(err)
			}
			var open []Task
			dies := -1
			if lives < 5 {
				dies = rapid.IntRange(0, 20).Draw(t, "dies after")
			}
			for act := 0; act != dies; act++ {
				open = append(open, r.Next()...)
				note = r.Note()
				if len(open) == 0 {
					if !r.Complete() {
						t.Fatal("nothing to do, and not over")
					}
					break
				}
				at := rapid.IntRange(0, len(open)-1).Draw(t, "whose turn")
				task := &open[at]
				switch task.Step {
				case Standby:
					away[task.Name] = true
					task.Step = Change
					r.Reached(task.Name, Change)
				case Change:
					if away[task.Name] && changed[task.Name] == 0 { // as the one who does it finds out
						changed[task.Name]++
					}
					task.Step = Resume
					r.Reached(task.Name, Resume)
				case Resume:
					delete(away, task.Name)
					r.Done(task.Name)
					open = append(open[:at], open[at+1:]...)
				}
				sites := map[string]int{}
				for name := range away {
					sites[site[name]]++
				}
				for s, n := range sites {
					if len(sites) > 1 || n > atOnce {
						t.Fatalf("away: %v, site %s", away, s)
					}
				}
				if rapid.Bool().Draw(t, "noted") {
					note = r.Note()
				} else {
					act = dies - 1 // it dies before that is written down
					if dies < 0 {
						note = r.Note()
						act = 0
					}
				}
			}
			if r.Complete() && len(open) == 0 {
				break
			}
		}
		if len(away) > 0 || len(changed) != len(nodes) {
			t.Fatalf("away %v, changed %v of %d", away, changed, len(nodes))
		}
	})
}

// A note of another change stops this one, unless that is over; one that is over is not begun again; a failure begins nothing more.
func TestNotes(t *testing.T) {
	nodes := []Node{{Name: "a", Site: "x"}, {Name: "b", Site: "x"}}
	r, err := New(nodes, 1, "v1", "")
	if err != nil || len(r.Next()) != 1 {
		t.Fatal(err)
	}
	if _, err := New(nodes, 1, "v2", r.Note()); !errors.Is(err, ErrInProgress) || !strings.Contains(err.Error(), "v1") {
		t.Error(err)
	}
	r.Failed("a")
	if tasks := r.Next(); len(tasks) != 0 || r.Complete() {
		t.Error("after a failure:", tasks)
	}
	if r, err = New(nodes, 1, "v1", r.Note()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a", "b"} {
		tasks := r.Next()
		if len(tasks) != 1 || tasks[0].Name != want || tasks[0].Retry != (want == "a") {
			t.Fatal(tasks)
		}
		r.Done(want)
	}
	if r.Next(); !r.Complete() {
		t.Error("not over")
	}
	if again, err := New(nodes, 1, "v1", r.Note()); err != nil || len(again.Next()) > 0 || !again.Complete() {
		t.Error("it begins again:", err)
	}
	if next, err := New(nodes, 1, "v2", r.Note()); err != nil || len(next.Next()) != 1 {
		t.Error("the next change:", err)
	}
	if _, err := New([]Node{{Name: "a"}, {Name: "a"}}, 1, "v1", ""); err == nil {
		t.Error("two of one name")
	}
}

// A roll over 1,024 nodes, with names as long as may be, can be written down at every step. Guards: notes had 32 KB, which is full
// after 250 such names or 900 of 35 bytes, and the roll ended there.
func TestManyNodesCanBeWrittenDown(t *testing.T) {
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
			r.Done(task.Name)
		}
	}
	if len(r.Finished()) != len(nodes) || largest > lease.MaxNoteBytes {
		t.Errorf("%d nodes done, notes of %d bytes where %d fit", len(r.Finished()), largest, lease.MaxNoteBytes)
	}
}
