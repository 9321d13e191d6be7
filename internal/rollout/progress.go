package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// progress is what the note of a rollout records. Its JSON form is stored.
type progress struct {
	Change     string          `json:"change"` // name of the change
	Done       []string        `json:"done,omitempty"`
	InProgress map[string]Step `json:"doing,omitempty"`
	Complete   bool            `json:"over,omitempty"`
}

// parseNote reads the note of an earlier process.
func parseNote(note string) (progress, error) {
	var p progress
	if err := json.Unmarshal([]byte(note), &p); err != nil {
		return progress{}, fmt.Errorf("note of the earlier rollout: %w", err)
	}
	if p.InProgress == nil {
		p.InProgress = map[string]Step{}
	}
	return p, nil
}

// note returns the form that parseNote reads.
func (p progress) note() string {
	if p.Complete {
		p.Done = nil
	}
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // impossible: it consists of strings and a bool
	}
	return string(raw)
}

// removeUnlisted removes nodes that are not listed any more.
func (p *progress) removeUnlisted(names map[string]bool) {
	p.Done = slices.DeleteFunc(p.Done, func(name string) bool { return !names[name] })
	maps.DeleteFunc(p.InProgress, func(name string, _ Step) bool { return !names[name] })
}
